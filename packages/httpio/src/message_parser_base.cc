/**
 * @file message_parser_base.cc
 * HTTP/1.1 parsers based on Boost.Beast.
 */
#include "httpio/message_parser_base.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <cctype>
#include <limits>

namespace boragewharf::httpio {
namespace {

namespace http = boost::beast::http;

/** Maximum size of a response's header and of its trailers, in bytes; as that
 * of requests by default. */
constexpr uint32_t kResponseHeaderLimit = 16384;

/** Maximum length of a chunk's size with its extensions, in bytes. */
constexpr size_t kMaxChunkHead = 512;

constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "connection", "keep-alive",        "proxy-connection",
    "te",         "transfer-encoding", "trailer",
    "upgrade",    "content-length",    "proxy-authenticate",
};

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/**
 * Checks what a parser has left of a message whose header is complete: the
 * beginning of a chunk head, or of the last chunk with its trailers.
 */
ParseFault CheckRest(std::string_view rest, uint32_t trailer_limit) {
  constexpr std::string_view kLineEnd = "\r\n";
  if (rest.starts_with(kLineEnd)) {
    rest.remove_prefix(kLineEnd.size());  // It ends the chunk before.
  }
  const size_t line_end = rest.find(kLineEnd);
  if (std::min(line_end, rest.size()) > kMaxChunkHead) {
    return ParseFault::kMalformed;
  }
  return line_end != std::string_view::npos && rest.size() > trailer_limit
             ? ParseFault::kHeaderTooLarge
             : ParseFault::kNone;
}

std::string_view ToStdView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

bool EqualNoCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

std::string_view FindField(const Fields& fields, std::string_view name) {
  for (const auto& [field, value] : fields) {
    if (EqualNoCase(field, name)) {
      return value;
    }
  }
  return {};
}

bool ListContains(std::string_view list, std::string_view token) {
  size_t start = 0;
  while (start <= list.size()) {
    const size_t end = std::min(list.find(',', start), list.size());
    if (EqualNoCase(Trim(list.substr(start, end - start)), token)) {
      return true;
    }
    start = end + 1;
  }
  return false;
}

bool IsHopByHopField(std::string_view name) {
  return std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [&](std::string_view field) { return EqualNoCase(field, name); });
}

bool IsFieldValue(std::string_view text) {
  constexpr char kDelete = 0x7f;
  return std::ranges::none_of(text, [](char c) {
    return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == kDelete;
  });
}

void AppendField(std::string& message,
                 std::string_view name,
                 std::string_view value) {
  if (!IsFieldValue(name) || !IsFieldValue(value)) {
    return;
  }
  message.append(name).append(": ").append(value).append("\r\n");
}

RequestParser::RequestParser(uint32_t header_limit, uint64_t max_body)
    : trailer_limit(header_limit) {
  this->header_limit(header_limit);
  this->body_limit(max_body);
  this->eager(true);
}

size_t RequestParser::Feed(std::string_view bytes) {
  ErrorCode error;
  const size_t consumed =
      this->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  if (!error || error == http::error::need_more) {
    if (this->is_header_done() && !this->is_done()) {
      this->fault = CheckRest(bytes.substr(consumed), this->trailer_limit);
    }
    return consumed;
  }
  if (error == http::error::header_limit) {
    this->fault = ParseFault::kHeaderTooLarge;
  } else if (error == http::error::body_limit) {
    this->fault = ParseFault::kBodyTooLarge;
  } else {
    this->fault = ParseFault::kMalformed;
  }
  return consumed;
}

void RequestParser::on_request_impl(http::verb,
                                    View method_text,
                                    View target,
                                    int,
                                    ErrorCode&) {
  this->request.method = ToStdView(method_text);
  this->request.target = ToStdView(target);
}

void RequestParser::on_field_impl(http::field field,
                                  View name,
                                  View value,
                                  ErrorCode& error) {
  if (this->header_done) {
    this->trailer_bytes += name.size() + value.size();
    if (this->trailer_bytes > this->trailer_limit) {
      error = http::error::header_limit;
    }
    return;  // Trailers are ignored.
  }
  // Any transfer coding other than a single "chunked" makes the framing
  // ambiguous.
  if (field == http::field::transfer_encoding &&
      !EqualNoCase(ToStdView(value), "chunked")) {
    error = http::error::bad_transfer_encoding;
    return;
  }
  const bool must_be_unique = field == http::field::content_length ||
                              field == http::field::transfer_encoding ||
                              field == http::field::host;
  if (must_be_unique &&
      !FindField(this->request.fields, ToStdView(name)).empty()) {
    error = http::error::bad_field;
    return;
  }
  this->request.fields.emplace_back(ToStdView(name), ToStdView(value));
}

void RequestParser::on_header_impl(ErrorCode&) {
  this->header_done = true;
  this->request.keep_alive = this->keep_alive();
  this->expects_continue =
      EqualNoCase(FindField(this->request.fields, "Expect"), "100-continue");
}

void RequestParser::on_body_init_impl(const boost::optional<uint64_t>& length,
                                      ErrorCode&) {
  constexpr uint64_t kReserveLimit = 65536;
  if (length) {
    this->request.body.reserve(std::min(*length, kReserveLimit));
  }
}

size_t RequestParser::on_body_impl(View body, ErrorCode&) {
  this->request.body.append(body.data(), body.size());
  return body.size();
}

size_t RequestParser::on_chunk_body_impl(uint64_t, View body, ErrorCode&) {
  this->request.body.append(body.data(), body.size());
  return body.size();
}

void RequestParser::on_chunk_header_impl(uint64_t,
                                         View extensions,
                                         ErrorCode& error) {
  if (extensions.size() > kMaxChunkHead) {
    error = http::error::bad_chunk_extension;
  }
}

namespace {

/** Range of status codes (RFC 9110, section 15). */
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

}  // namespace

ResponseParser::ResponseParser(BodySink body_sink, bool head_request)
    : sink(std::move(body_sink)) {
  this->header_limit(kResponseHeaderLimit);
  this->body_limit(boost::none);
  this->eager(true);
  this->skip(head_request);
}

size_t ResponseParser::Feed(std::string_view bytes) {
  ErrorCode error;
  const size_t consumed =
      this->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  if (error && error != http::error::need_more) {
    this->failed = true;
  } else if (this->is_header_done() && !this->is_done()) {
    this->failed = CheckRest(bytes.substr(consumed), kResponseHeaderLimit) !=
                   ParseFault::kNone;
  }
  return consumed;
}

bool ResponseParser::FinishAtEof() {
  if (this->is_done()) {
    return true;
  }
  if (!this->is_header_done() || !this->need_eof()) {
    return false;
  }
  ErrorCode error;
  this->put_eof(error);
  return !error;
}

void ResponseParser::on_response_impl(int code,
                                      View reason,
                                      int,
                                      ErrorCode& error) {
  if (code < kFirstStatus || code > kLastStatus) {
    error = http::error::bad_status;
    return;
  }
  this->head.status = static_cast<uint32_t>(code);
  this->head.reason = ToStdView(reason);
}

void ResponseParser::on_field_impl(http::field,
                                   View name,
                                   View value,
                                   ErrorCode& error) {
  if (!this->header_done) {
    this->head.fields.emplace_back(ToStdView(name), ToStdView(value));
    return;
  }
  this->trailer_bytes += name.size() + value.size();
  if (this->trailer_bytes > kResponseHeaderLimit) {
    error = http::error::header_limit;
  }
}

void ResponseParser::on_chunk_header_impl(uint64_t,
                                          View extensions,
                                          ErrorCode& error) {
  if (extensions.size() > kMaxChunkHead) {
    error = http::error::bad_chunk_extension;
  }
}

void ResponseParser::on_header_impl(ErrorCode&) {
  this->header_done = true;
}

size_t ResponseParser::on_body_impl(View body, ErrorCode&) {
  this->sink(ToStdView(body));
  return body.size();
}

size_t ResponseParser::on_chunk_body_impl(uint64_t, View body, ErrorCode&) {
  this->sink(ToStdView(body));
  return body.size();
}

}  // namespace boragewharf::httpio
