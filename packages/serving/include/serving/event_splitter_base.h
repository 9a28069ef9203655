/**
 * @file event_splitter_base.h
 * Splits a server-sent event stream into complete events.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragewharf::serving {

/** A complete event, including the blank line that ends it. */
struct StreamEvent {
  std::string_view text;       ///< Valid until the next Append() or Reset().
  std::optional<uint64_t> id;  ///< Absent if the event has no numeric id.
};

/** Buffers bytes and returns complete events. Not thread-safe. */
class EventSplitter {
 public:
  /** Appends received bytes to the buffer. */
  void Append(std::string_view bytes);

  /** Removes and returns the next event, or empty if none is complete. */
  std::optional<StreamEvent> Next();

  /** Buffered bytes that Next() has not returned yet. */
  std::string_view Rest() const;

  /** Discards the buffer, before another server continues the stream. */
  void Reset();

 private:
  std::string buffer;
  size_t consumed = 0;
};

}  // namespace boragewharf::serving
