/**
 * @file message_parser_base.h
 * Incremental HTTP/1.1 parsers that give access to the message framing.
 */
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragewharf::httpio {

/** Header fields in the order received. */
using Fields = std::vector<std::pair<std::string, std::string>>;

/**
 * Returns the value of the first field with the given name, ignoring case, or
 * an empty string.
 */
std::string_view FindField(const Fields& fields, std::string_view name);

/** Whether two header names or tokens are equal, ignoring case. */
bool EqualNoCase(std::string_view a, std::string_view b);

/** Whether a comma-separated list contains a token, ignoring case. */
bool ListContains(std::string_view list, std::string_view token);

/**
 * Whether a field applies to a single connection and must not be forwarded.
 * Fields listed in the Connection header must not be forwarded either, but are
 * not covered here.
 */
bool IsHopByHopField(std::string_view name);

/** Whether a text can be the value of a header field: it has no control
 * characters but tabs. A line end would begin another field or message. */
bool IsFieldValue(std::string_view text);

/** Appends a header field to a message. A field whose name or value can't be
 * sent is left out; see IsFieldValue(). */
void AppendField(std::string& message,
                 std::string_view name,
                 std::string_view value);

/** A request received from a client. */
struct InboundRequest {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  bool keep_alive = true;
};

/** Why a message was rejected. */
enum class ParseFault : uint8_t {
  kNone,
  kMalformed,       ///< Invalid HTTP, or ambiguous framing.
  kHeaderTooLarge,  ///< Header exceeds its size limit.
  kBodyTooLarge,    ///< Body exceeds its size limit.
};

/** Parser of one request. Not thread-safe. */
class RequestParser : public boost::beast::http::basic_parser<true> {
 public:
  RequestParser(uint32_t header_limit, uint64_t body_limit);

  /**
   * Parses as much of the input as possible. What it leaves is bounded: a part
   * of the message that exceeds its limit is a fault, complete or not.
   * @param bytes All bytes received and not yet consumed.
   * @return Number of bytes consumed.
   */
  size_t Feed(std::string_view bytes);

  ParseFault Fault() const { return this->fault; }

  /** Whether the client waits for "100 Continue" before sending the body. */
  bool ExpectsContinue() const { return this->expects_continue; }

  /** The request; complete once is_done(). */
  InboundRequest request;

 private:
  using ErrorCode = boost::beast::error_code;
  using View = boost::beast::string_view;
  void on_request_impl(boost::beast::http::verb method,
                       View method_text,
                       View target,
                       int version,
                       ErrorCode& error) override;
  void on_response_impl(int, View, int, ErrorCode&) override {}
  void on_field_impl(boost::beast::http::field field,
                     View name,
                     View value,
                     ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(const boost::optional<uint64_t>& length,
                         ErrorCode& error) override;
  size_t on_body_impl(View body, ErrorCode& error) override;
  void on_chunk_header_impl(uint64_t size,
                            View extensions,
                            ErrorCode& error) override;
  size_t on_chunk_body_impl(uint64_t remain,
                            View body,
                            ErrorCode& error) override;
  void on_finish_impl(ErrorCode&) override {}

  ParseFault fault = ParseFault::kNone;
  uint32_t trailer_limit;  ///< In bytes, of all trailers together.
  size_t trailer_bytes = 0;
  bool header_done = false;
  bool expects_continue = false;
};

/** Status line and header of a response. */
struct ResponseHead {
  uint32_t status = 0;
  std::string reason;
  Fields fields;
};

/** Parser of one response; passes the body on as it arrives. */
class ResponseParser : public boost::beast::http::basic_parser<false> {
 public:
  /** Receives each piece of the body. */
  using BodySink = std::function<void(std::string_view)>;

  /** @param head_request Whether this is the response to a HEAD request. */
  explicit ResponseParser(BodySink body_sink, bool head_request = false);

  /** See RequestParser::Feed(). */
  size_t Feed(std::string_view bytes);

  /**
   * Handles the end of the connection.
   * @return Whether the response is complete.
   */
  bool FinishAtEof();

  bool Failed() const { return this->failed; }

  /** Whether the end of the connection marks the end of the body. */
  bool EndsWithConnection() const { return this->need_eof(); }

  /** Status line and header; complete once is_header_done(). */
  ResponseHead head;

 private:
  using ErrorCode = boost::beast::error_code;
  using View = boost::beast::string_view;
  void on_request_impl(boost::beast::http::verb,
                       View,
                       View,
                       int,
                       ErrorCode&) override {}
  void on_response_impl(int code,
                        View reason,
                        int version,
                        ErrorCode& error) override;
  void on_field_impl(boost::beast::http::field field,
                     View name,
                     View value,
                     ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(const boost::optional<uint64_t>&,
                         ErrorCode&) override {}
  size_t on_body_impl(View body, ErrorCode& error) override;
  void on_chunk_header_impl(uint64_t size,
                            View extensions,
                            ErrorCode& error) override;
  size_t on_chunk_body_impl(uint64_t remain,
                            View body,
                            ErrorCode& error) override;
  void on_finish_impl(ErrorCode&) override {}

  BodySink sink;
  size_t trailer_bytes = 0;
  bool header_done = false;
  bool failed = false;
};

}  // namespace boragewharf::httpio
