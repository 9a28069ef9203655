/**
 * @file crash_suspects_type.h
 * What nodes tell each other about requests that may crash servers.
 */
#pragma once

#include <cstdint>
#include <vector>

#include "base/time_type.h"

namespace boragewharf::serving {

/** The crash of a server while it ran a request, as one node has seen it. */
struct RequestCrash {
  uint64_t request = 0;  ///< RequestFingerprint().
  uint32_t id = 0;       ///< Random; tells the crashes of a request apart.
  uint32_t age_ms = 0;   ///< Time since the crash.
  TimePoint crashed_at;  ///< Local boot clock; not part of messages.
  bool own = false;      ///< Seen by this node; not part of messages.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->id, this->age_ms);
  }
};

/** The last response to a request that was suspected. */
struct RequestAnswer {
  uint64_t request = 0;   ///< RequestFingerprint().
  uint32_t age_ms = 0;    ///< Time since the response.
  TimePoint answered_at;  ///< Local boot clock; not part of messages.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->age_ms);
  }
};

/** Crashes and responses that a node knows of, whichever node has seen them. */
struct SuspectReport {
  std::vector<RequestCrash> crashes;  ///< Those of a request side by side.
  std::vector<RequestAnswer> answers;

  bool Empty() const { return this->crashes.empty() && this->answers.empty(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->crashes, this->answers);
  }
};

}  // namespace boragewharf::serving
