/**
 * @file crash_evidence_type.h
 * What nodes tell each other about prompt parts that may crash servers.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "base/time_type.h"

namespace boragewharf::serving {

/** Short identifier of a name in messages. A collision merely adds up the loads
 * of two names. */
using NameHash = uint32_t;

/** A part of the prompts of one service. */
struct PartKey {
  NameHash service = 0;
  uint64_t part = 0;

  auto operator<=>(const PartKey&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->part);
  }
};

/** A request that ran on a server when this crashed. */
struct CrashedRequest {
  uint32_t crash = 0;    ///< Identifies the crash; see MakeCrashIdentifier().
  uint32_t request = 0;  ///< Short fingerprint of the request.
  NameHash service = 0;
  std::vector<uint64_t> parts;  ///< Shared parts, in the order of the prompt.
  uint32_t age_ms = 0;          ///< Time since the crash.
  TimePoint crashed_at;         ///< Local boot clock; not part of messages.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->crash, this->request, this->service, this->parts,
            this->age_ms);
  }
};

/** The crash of a server, whatever ran on it. */
struct ServerCrash {
  uint32_t crash = 0;  ///< Identifies the crash; see MakeCrashIdentifier().
  NameHash service = 0;
  uint32_t age_ms = 0;   ///< Time since the crash.
  TimePoint crashed_at;  ///< Local boot clock; not part of messages.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->crash, this->service, this->age_ms);
  }
};

/** The last response to a request with a part. */
struct PartSuccess {
  PartKey key;
  uint32_t age_ms = 0;    ///< Time since the response.
  TimePoint answered_at;  ///< Local boot clock; not part of messages.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->age_ms);
  }
};

/** A part with which requests are refused. */
struct BlockedPart {
  PartKey key;
  uint32_t times = 0;    ///< How often it has been blocked in a row.
  uint32_t age_ms = 0;   ///< Time since it was blocked last.
  TimePoint blocked_at;  ///< Local boot clock; not part of messages.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->times, this->age_ms);
  }
};

/** Evidence of one node; bounded in size. */
struct CrashEvidence {
  std::vector<CrashedRequest> crashes;
  std::vector<PartSuccess> successes;
  std::vector<BlockedPart> blocked;
  /** Crashes of which no request is told; a crash among many at one moment is
   * no evidence against what ran on the server. */
  std::vector<ServerCrash> other_crashes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->crashes, this->successes, this->blocked, this->other_crashes);
  }
};

}  // namespace boragewharf::serving
