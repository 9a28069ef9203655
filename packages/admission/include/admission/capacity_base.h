/**
 * @file capacity_base.h
 * Estimates of the servers' limits, of the duration of attempts and of this
 * node's share of a service.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/admission_type.h"
#include "serving/peer_type.h"

namespace boragewharf::admission {

/**
 * How many requests each server takes. A rejection lowers the limit of a server
 * at once to the number of requests that it ran; the limit returns to the full
 * one within kRecovery. Not thread-safe.
 */
class ServerLimits {
 public:
  /** Time in which a lowered limit returns to the full one. */
  static constexpr std::chrono::milliseconds kRecovery{1000};

  /** Records that a server with @p running other requests rejected one. */
  void RecordRejection(serving::NameHash server,
                       uint32_t running,
                       TimePoint now);

  /** Current limit of a server that takes @p full requests at most. */
  uint32_t LimitOf(serving::NameHash server,
                   uint32_t full,
                   TimePoint now) const;

  /** Drops limits that have recovered. */
  void Expire(TimePoint now);

 private:
  struct Lowered {
    uint32_t limit = 0;
    TimePoint since;
  };
  std::unordered_map<serving::NameHash, Lowered> lowered;
};

/**
 * Average duration of the attempts of a service, and of the time to their first
 * event by prompt length. Not thread-safe.
 */
class AttemptDurations {
 public:
  /** Adds the duration of a served attempt. */
  void AddTotal(Duration duration) { Add(this->total, duration); }

  /** Adds the time until the response of an attempt with @p tokens to read was
   * of use: to the first event of a stream, or to the end. */
  void AddResponse(uint32_t tokens, Duration duration);

  /** Mean duration of an attempt; @p fallback before the first one. */
  Duration Total(Duration fallback) const;

  /** Mean time to the response; 0 before the first one. */
  Duration Response(uint32_t tokens) const;

 private:
  struct Mean {
    double us = 0;
    uint32_t samples = 0;
  };
  static void Add(Mean& mean, Duration duration);

  Mean total;
  Mean any_response;
  std::map<uint32_t, Mean> response;  ///< By power of two of the tokens.
};

/**
 * Need of the other nodes for slots. Not thread-safe.
 */
class PeerNeeds {
 public:
  /** A node whose last message is older counts as not heard from. Covers a few
   * message periods with 67 nodes (0.4 s), as datagrams are lost. */
  static constexpr std::chrono::milliseconds kFresh{1500};

  /** Records the message of a node.
   * @return Whether the payload was valid. */
  bool Merge(const serving::ReceivedExtension& extension);

  /** Sets the number of nodes, this one included. */
  void SetNodes(uint32_t count, TimePoint now);

  /**
   * This node's share of a service, 0 to 1: its need relative to that of all
   * nodes. Nodes that were not heard from count with the mean need of those
   * that were, this one included.
   */
  double ShareOf(std::string_view service, uint32_t own_need) const;

  /** Number of other nodes that were heard from. */
  size_t Heard() const { return this->peers.size(); }

 private:
  struct Peer {
    TimePoint received;
    std::vector<ServiceNeed> needs;
  };
  std::unordered_map<uint32_t, Peer> peers;  ///< By address.
  uint32_t nodes = 1;
};

}  // namespace boragewharf::admission
