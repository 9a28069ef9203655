/**
 * @file backend_event.h
 * Events and effects of the table of backend servers.
 */
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "backend/backend_type.h"
#include "base/digest_func.h"

namespace boragewharf::backend {

/** Digest of customer and request; the same for each repeat of a request. */
using Fingerprint = Digest;

/** A row of the instance list. */
struct ListedServer {
  BackendServer server;  ///< Status, load and deadline are not used.
  bool leaving = false;  ///< The list marks it as leaving.
};

/** The whole instance list was read successfully. */
struct InstancesListed {
  std::vector<ListedServer> servers;  ///< All backend servers.
};

/** The cloud API announces that an instance is taken back. */
struct ReclaimNoticed {
  std::string instance;  ///< Name in the instance list.
  TimePoint deadline;    ///< When it ends.
};

/**
 * A peer knows that a server is leaving; also news to spread. Clocks of
 * machines differ: messages carry the time that remains.
 */
struct LeavingNews {
  std::string instance;  ///< Name in the instance list.
  TimePoint deadline;    ///< When it ends; epoch if unknown.

  auto operator<=>(const LeavingNews&) const = default;
};

/** What a traffic thread or a probe saw of a server. */
enum class Observation : uint8_t {
  kConnected,       ///< It accepted a connection.
  kAnswered,        ///< It gave a complete answer.
  kConnectRefused,  ///< It did not accept a connection.
  kSilent,          ///< No byte within the time bound.
  kFailedInAnswer,  ///< Reset or closed while it ran a request.
  kRefused,         ///< It refused a request without running it.
};

/** An observation, with the requests that it concerns. */
struct ServerObserved {
  std::string instance;     ///< Name in the instance list.
  Observation observation;  ///< What was seen.
  /**
   * For kFailedInAnswer: all requests of this daemon that ran there. For
   * kAnswered: the answered one, if it is a suspect. Otherwise empty.
   */
  std::vector<Fingerprint> running;
};

/** A server reported its load. */
struct LoadReported {
  std::string instance;  ///< Name in the instance list.
  uint32_t running = 0;  ///< Requests that it runs, of all daemons.
};

/** Crashes that a request was running in; also news to spread. */
struct CrashNews {
  Fingerprint fingerprint{};        ///< The request.
  std::vector<uint64_t> instances;  ///< Hash of each crashed instance.
  bool decisive = false;            ///< It was the only suspect in one.

  /** Number of crashes, over all daemons. */
  size_t Count() const { return this->instances.size(); }

  auto operator<=>(const CrashNews&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->fingerprint, this->instances, this->decisive);
  }
};

/** Periodic; every 100 to 500 ms. */
struct Tick {};

using BackendEvent = std::variant<InstancesListed,
                                  ReclaimNoticed,
                                  LeavingNews,
                                  ServerObserved,
                                  LoadReported,
                                  CrashNews,
                                  Tick>;

/** The status of a server changed, or it was added or removed. */
struct StatusChanged {
  std::string instance;  ///< Name in the instance list.
  BackendStatus before;  ///< Former status; equal to after if added.
  BackendStatus after;   ///< Present status; kLeaving if removed.
};

/** Suspects changed: publish a new MakeSuspectTable(). */
struct SuspectsChanged {};

/** Try to connect, and report kConnected or kConnectRefused. */
struct ProbeServer {
  std::string instance;  ///< Name in the instance list.
};

using BackendEffect = std::variant<LeavingNews,
                                   CrashNews,
                                   StatusChanged,
                                   SuspectsChanged,
                                   ProbeServer>;

}  // namespace boragewharf::backend
