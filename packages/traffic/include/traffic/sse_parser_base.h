/**
 * @file sse_parser_base.h
 * Incremental parser of server-sent events.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace boragewharf::traffic {

/** One whole event. */
struct SseEvent {
  std::string name;  ///< Field "event"; empty if there is none.
  std::string data;  ///< Fields "data", joined by line feeds.
};

/**
 * Splits a byte stream into events. An event is reported only when its closing
 * empty line has arrived, so a cut connection never yields half a token. Not
 * thread-safe.
 */
class SseParser {
 public:
  /** Receives events; returns false to stop parsing. */
  using Handler = std::function<bool(const SseEvent&)>;

  /** @param limit Largest event in bytes. */
  explicit SseParser(size_t limit) : max_event_bytes(limit) {}

  /**
   * Parses further bytes.
   * @return False if the handler stopped, or with kBodyTooLarge if an event
   *     exceeds the limit.
   */
  bool Feed(std::string_view bytes, const Handler& handler);

 private:
  bool EndLine(const Handler& handler);
  void AddField(std::string_view text);

  const size_t max_event_bytes;
  std::string line;       ///< Incomplete line.
  SseEvent event;         ///< Incomplete event.
  bool has_data = false;  ///< The event has a data field.
  bool after_cr = false;  ///< The last byte was a carriage return.
};

}  // namespace boragewharf::traffic
