/**
 * @file sse_parser_base.cc
 * Parsing of server-sent events.
 */
#include "traffic/sse_parser_base.h"

#include <utility>

#include "base/result_func.h"

namespace boragewharf::traffic {

bool SseParser::Feed(std::string_view bytes, const Handler& handler) {
  while (!bytes.empty()) {
    if (std::exchange(this->after_cr, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const size_t end = bytes.find_first_of("\r\n");
    this->line.append(bytes.substr(0, end));
    if (this->line.size() + this->event.data.size() > this->max_event_bytes) {
      Fail(ResultCode::kBodyTooLarge, "server-sent event");
      return false;
    }
    if (end == std::string_view::npos) {
      return true;
    }
    this->after_cr = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    if (!this->EndLine(handler)) {
      return false;
    }
  }
  return true;
}

bool SseParser::EndLine(const Handler& handler) {
  if (!this->line.empty()) {
    this->AddField(this->line);
    this->line.clear();
    return true;
  }
  const bool proceed = !this->has_data || handler(this->event);
  this->event.name.clear();
  this->event.data.clear();
  this->has_data = false;
  return proceed;
}

void SseParser::AddField(std::string_view text) {
  const size_t colon = text.find(':');
  const std::string_view name = text.substr(0, colon);
  std::string_view value = colon == std::string_view::npos
                               ? std::string_view()
                               : text.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "event") {
    this->event.name = value;
  } else if (name == "data") {
    if (std::exchange(this->has_data, true)) {
      this->event.data.push_back('\n');
    }
    this->event.data.append(value);
  }
}

}  // namespace boragewharf::traffic
