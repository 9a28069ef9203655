/**
 * @file event_splitter_base.h
 * Cuts a server-sent event stream into whole events.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragewharf::serving {

/** A whole event with the blank line that ends it. */
struct StreamEvent {
  std::string_view text;       ///< Valid until the next call.
  std::optional<uint64_t> id;  ///< Absent if the event has no numeric id.
};

/** Collects bytes and yields whole events. Not thread-safe. */
class EventSplitter {
 public:
  /** Adds bytes of the stream. */
  void Append(std::string_view bytes);

  /** Next whole event, or empty if the rest is incomplete. */
  std::optional<StreamEvent> Next();

  /** Bytes of an incomplete event. */
  std::string_view Rest() const;

  /** Drops an incomplete event, before another server continues. */
  void Reset();

 private:
  std::string buffer;
  size_t consumed = 0;
};

}  // namespace boragewharf::serving
