/**
 * @file event_splitter_base.cc
 * Splits a server-sent event stream into complete events.
 */
#include "serving/event_splitter_base.h"

#include <charconv>

namespace boragewharf::serving {
namespace {

/** Value of the "id" field, if it is a non-negative integer. */
std::optional<uint64_t> FindId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  size_t start = 0;
  while (start < event.size()) {
    const size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    uint64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc() && parsed.ptr != line.data()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

void EventSplitter::Append(std::string_view bytes) {
  if (this->consumed > 0) {
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
  }
  this->buffer.append(bytes);
}

std::optional<StreamEvent> EventSplitter::Next() {
  const std::string_view rest = this->Rest();
  size_t end = rest.find("\n\n");
  size_t length = 2;
  const size_t crlf = rest.find("\r\n\r\n");
  if (crlf < end) {
    end = crlf;
    length = 4;
  }
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = rest.substr(0, end + length);
  this->consumed += text.size();
  return StreamEvent{text, FindId(text)};
}

std::string_view EventSplitter::Rest() const {
  return std::string_view{this->buffer}.substr(this->consumed);
}

void EventSplitter::Reset() {
  this->buffer.clear();
  this->consumed = 0;
}

}  // namespace boragewharf::serving
