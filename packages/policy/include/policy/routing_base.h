/**
 * @file routing_base.h
 * Routing policies: choose the backend server of a request.
 */
#pragma once

#include <atomic>
#include <optional>
#include <span>

#include "policy/routing_type.h"

namespace boragewharf::policy {

/** Chooses a backend server. */
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  /**
   * Chooses a server that is ready, not excluded and, for a request that runs
   * alone, without work.
   * @param views All servers of the service.
   * @return Index into @p views; empty optional if none is usable.
   * @note Thread-safe; takes no lock.
   */
  virtual std::optional<BackendIndex> Choose(
      const RouteRequest& request,
      std::span<const BackendView> views) = 0;
};

/** Weights and speeds of PredictedTimePolicy. */
struct PredictionOptions {
  Duration prefill_per_token{60};               ///< On an idle server.
  Duration mean_run = std::chrono::seconds(4);  ///< Of a request, for queues.
  Duration same_region = std::chrono::milliseconds(3);     ///< Both ways.
  Duration other_region = std::chrono::milliseconds(24);   ///< Both ways.
  Duration region_charge = std::chrono::milliseconds(40);  ///< For the link.
  Duration report_decay = std::chrono::seconds(2);  ///< Of a report's worth.
  /** Requests that other daemons add per own one between reports. */
  double others_per_own = 3;
  double price_weight_us = 0;      ///< Microseconds per unit of hourly price.
  double reclaims_per_hour = 0.1;  ///< Of a reclaimable instance.
  double recompute_weight = 1;     ///< Of time lost to recomputed tokens.
  double tolerance = 0.1;          ///< Share by which choices count as equal.
};

/**
 * Chooses by predicted time to first token plus charges for distance, price
 * and the work that a reclaim would lose. Among nearly equal servers it
 * chooses at random, because daemons with the same reports would otherwise
 * all choose the same server.
 */
class PredictedTimePolicy : public RoutingPolicy {
 public:
  explicit PredictedTimePolicy(const PredictionOptions& prediction)
      : options(prediction) {}

  std::optional<BackendIndex> Choose(
      const RouteRequest& request,
      std::span<const BackendView> views) override;

  /**
   * Predicted cost of a server.
   * @param mean_other Mean requests of other daemons per server.
   * @return Microseconds.
   * @note Thread-safe.
   */
  double PredictCost(const RouteRequest& request,
                     const BackendView& view,
                     double mean_other) const;

 private:
  PredictionOptions options;
};

/** Baseline: the usable servers in turn. */
class RoundRobinPolicy : public RoutingPolicy {
 public:
  std::optional<BackendIndex> Choose(
      const RouteRequest& request,
      std::span<const BackendView> views) override;

 private:
  std::atomic<uint32_t> next{0};
};

/** Baseline: the usable server with the fewest requests of this daemon. */
class LeastInFlightPolicy : public RoutingPolicy {
 public:
  std::optional<BackendIndex> Choose(
      const RouteRequest& request,
      std::span<const BackendView> views) override;
};

}  // namespace boragewharf::policy
