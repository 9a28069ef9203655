/**
 * @file exposure_base.h
 * Limits the requests that a node sends to a version under test.
 */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "rollout/rollout_type.h"

namespace boragewharf::rollout {

/** Share of the bound that is planned; the rest is for what a node cannot count
 * itself, such as attempts before it restarted. */
inline constexpr double kPlannedShare = 0.8;

/**
 * Bounds the attempts of one node at the target by a share of the node's own
 * requests, so that the sum over all nodes stays below the same share without
 * messages. Each node rounds with a random offset: the sum over many nodes with
 * few requests each is then the share itself, and not zero. Not thread-safe.
 */
class ExposureGate {
 public:
  /** @param share Share of the requests that may reach the target.
   * @param random_offset Uniform in [0, 1). */
  ExposureGate(double share, double random_offset)
      : planned(kPlannedShare * share), offset(random_offset) {}

  void CountRequest() { this->requests += 1; }
  void CountAttempt() { this->exposed += 1; }

  /**
   * Whether the next attempt may go to the target.
   * @param phase kObserve or kLoad.
   * @param load_share Share of the requests that loads the exposed servers as
   * much as the old ones.
   * @param draw Uniform in [0, 1).
   */
  bool Allows(Phase phase, double load_share, double draw) const;

  uint32_t Requests() const { return this->requests; }
  uint32_t Exposed() const { return this->exposed; }

 private:
  double planned;
  double offset;
  uint32_t requests = 0;
  uint32_t exposed = 0;
};

/** Number of the target's servers that get requests under test: few, so that
 * each has about the load of an old server, but more than one, so that a slow
 * server is not taken for a slow version. @note Thread-safe. */
size_t ExposedServers(double share, size_t old_servers, size_t target_servers);

/**
 * Selects the servers of the target that get requests. All nodes select the
 * same ones without a message; others are selected as time passes.
 * @param ids Of all listed servers of the target; sorted by their hash.
 * @param age Since the request.
 */
std::vector<std::string> SelectExposed(std::vector<std::string> ids,
                                       size_t count,
                                       Duration age);

}  // namespace boragewharf::rollout
