/**
 * @file stream_versions_base.h
 * Software versions of the servers that began streams.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Recorded as the version of a server whose entry may be outdated. No entry
 * can state it, so what such a server began goes on nowhere. */
inline constexpr char kUnknownVersion[] = "(unknown)";

/** Whether it is known which version began a stream. */
enum class StreamOrigin : uint8_t {
  kKnown,
  kUnknown,  ///< Nothing tells it any more.
  kPending,  ///< Other nodes or saved records may still tell it.
};

/** Version that began a stream. */
struct StreamVersion {
  StreamOrigin origin = StreamOrigin::kUnknown;
  std::string version;    ///< Only with kKnown; empty: the servers state none.
  bool recorded = false;  ///< Of this very stream, not of its whole service.
  /** With kUnknown: time within which the node that began the stream has told
   * the others of it; zero if none may be about to. */
  Duration told_within{};
};

/**
 * Knows which software version of a service began each recent stream: servers
 * of other versions can't continue it. Runs on the traffic loop.
 */
class StreamVersions {
 public:
  virtual ~StreamVersions() = default;

  /**
   * Records that the first event of a stream is about to be sent to its client.
   * @param attempt_id Of the client's request that the event answers; for a
   *     stream that is continued, of the request that began it.
   * @param version Of the server that made the event.
   */
  virtual void RecordBegin(std::string_view service,
                           std::string_view attempt_id,
                           std::string_view version,
                           TimePoint now) = 0;

  /**
   * Records that a stream has been sent to its client to the end. The client
   * may still lose the last bytes and take the stream up, but only soon.
   * @param attempt_id As in RecordBegin().
   */
  virtual void RecordEnd(std::string_view service,
                         std::string_view attempt_id,
                         TimePoint now) = 0;

  /**
   * Records that the version of a stream stayed unknown although what the other
   * nodes may tell of it has been waited for. A client that takes it up again
   * need not wait once more, at this node or another one.
   * @param attempt_id As in RecordBegin().
   */
  virtual void RecordUnknown(std::string_view service,
                             std::string_view attempt_id,
                             TimePoint now) = 0;

  /**
   * Version that began a stream that a client takes up. While it is pending, it
   * may be known with a later call.
   * @param attempt_id As in RecordBegin(); empty if the client does not state
   *     it.
   * @param taken_up When the client's request arrived. What other nodes or the
   *     store said of the only version before does not count.
   */
  virtual StreamVersion Find(std::string_view service,
                             std::string_view attempt_id,
                             TimePoint taken_up,
                             TimePoint now) = 0;
};

}  // namespace boragewharf::serving
