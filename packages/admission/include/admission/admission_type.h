/**
 * @file admission_type.h
 * Input and output of the admission of requests at a node.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_type.h"
#include "serving/peer_type.h"

namespace boragewharf::admission {

/** Identifies a request at this node; never used twice. */
using RequestId = uint64_t;

/** Properties of a request that its admission depends on. */
struct RequestProfile {
  std::string service;
  std::string customer;  ///< Empty on anonymous routes.
  uint32_t urgency = 0;  ///< 0 is the most urgent.
  uint32_t tokens = 0;   ///< Of the prompt; 0 for services without an engine.
  uint64_t bytes = 0;    ///< Memory that the request takes while it waits.
  /** Hash of customer, target and body. A client that sends its request again
   * is recognized by it. */
  uint64_t fingerprint = 0;
  TimePoint arrived;
  Duration objective{};  ///< Time from arrival to the first event or response.
  TimePoint deadline;    ///< A response after this time is useless.
};

/** Servers of a service that accept requests, as this node knows them. */
struct ServiceCapacity {
  uint32_t servers = 0;      ///< Servers that accept requests now.
  uint32_t limit = 0;        ///< Most requests that they run or queue together.
  uint32_t own_running = 0;  ///< Requests that this node has sent to them.
  bool any_free = false;     ///< One of them is below its limit.
  /** Set while there are only servers that want no requests: time until the
   * first of them accepts requests again. */
  std::optional<Duration> blocked_for;
};

/** Why a request is refused. */
enum class RefusalReason : uint8_t {
  kTooLate,    ///< No slot is expected while the response would still help.
  kQueueFull,  ///< More urgent requests fill the queue.
  kNoServer,   ///< The service has no server, and none is expected.
  kDeadline,   ///< The client's deadline passed while the request waited.
};

/** Name of a reason, for logs and counters. @note Thread-safe. */
std::string_view RefusalReasonName(RefusalReason reason);

/** A refused request. */
struct Refusal {
  RequestId id = 0;
  RefusalReason reason = RefusalReason::kTooLate;
  Duration retry_after{};
  Duration waited{};
};

/** Answer to a request for which no server was found. */
struct Decision {
  bool waits = false;              ///< If false, the request is refused.
  Refusal refusal;                 ///< If it is refused.
  std::vector<Refusal> displaced;  ///< Others that yield their place to it.
};

/** Totals since the start, for counters. */
struct AdmissionTotals {
  uint64_t waited = 0;            ///< Requests that entered the queue.
  uint64_t started = 0;           ///< Started from the queue.
  uint64_t refused = 0;           ///< At once or after waiting.
  uint64_t refused_again = 0;     ///< Refused, sent again and refused again.
  uint64_t returned = 0;          ///< Refused, and sent again.
  uint64_t invalid_messages = 0;  ///< From other nodes.
};

/** Need of one node for slots of one service, as sent to other nodes. */
struct ServiceNeed {
  serving::NameHash service = 0;
  uint32_t running = 0;  ///< Requests that the node has sent to servers.
  uint32_t waiting = 0;  ///< Requests that wait at the node.
  uint32_t tokens = 0;   ///< Prompt tokens of the waiting requests.
  uint8_t urgency = 0;   ///< Of the most urgent waiting request.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->running, this->waiting, this->tokens,
            this->urgency);
  }
};

/** Most services in a ServiceRoom; the largest needs are sent. */
inline constexpr size_t kMaxServices = 64;

/** Payload of ExtensionKind::kServiceRoom. */
struct ServiceRoom {
  std::vector<ServiceNeed> needs;  ///< At most kMaxServices.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->needs);
  }
};

/** Decodes a payload of any bytes; empty if it is not a valid ServiceRoom.
 * @note Thread-safe. */
std::optional<ServiceRoom> DecodeServiceRoom(std::string_view payload);

}  // namespace boragewharf::admission
