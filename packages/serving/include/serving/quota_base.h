/**
 * @file quota_base.h
 * Quotas of customers that all nodes share without a call per request.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time_type.h"
#include "serving/config_type.h"
#include "serving/request_type.h"

namespace boragewharf::serving {

/** Cost of a request in the unit of the customer's quota. */
double QuotaCost(const Customer& customer, const RequestFacts& facts);

/** What a decision on a customer's quota rests on, for the log. */
struct QuotaView {
  double level = 0;      ///< Of the bucket that all nodes share.
  double own_level = 0;  ///< What this node may use of its own share.
  double rate = 0;       ///< Units per second.
  uint32_t nodes = 1;    ///< Nodes among which the quota is divided.
  bool pooled = true;    ///< The shared level decided, not the own one.
  bool informed = true;  ///< The reports of the other nodes arrive.
};

/**
 * Token buckets of all customers. Each node deducts what it admits at once and
 * what the other nodes admit when they report it. For nodes that are silent
 * their equal share of the rate is deducted, as they may still admit. While a
 * large quota is nearly used up, each node admits at its share of the rate.
 *
 * Not thread-safe.
 */
class QuotaTable {
 public:
  /**
   * @param allowed_overdraft Amount below zero that is still admitted; covers
   * the lag of reports, within the excess that the deployment allows.
   * @param fill Fill of a new bucket, relative to its burst.
   * @param blind Whether the use by other nodes is not known yet; until
   *     SetInformed() only an assumed share of the rate is used.
   */
  QuotaTable(double allowed_overdraft, double fill, bool blind = false);

  /** Takes over new limits; keeps the levels, cut to the new bursts. */
  void Configure(const ServingConfig& config, TimePoint now);

  /** Admits a request and deducts its cost. @return Whether admitted. */
  bool Admit(const Customer& customer, double cost, TimePoint now);

  /** Returns the cost of an admitted request that did not run. */
  void Refund(std::string_view customer, double cost);

  /** Deducts what other nodes admitted; a negative cost corrects an earlier
   * assumption. */
  void DeductRemote(std::string_view customer, double cost);

  /** The reports of the other nodes arrive from now on. */
  void SetInformed();

  /** Levels of all buckets, to be restored after a restart. */
  std::map<std::string, double> Levels(TimePoint now);

  /**
   * Takes over levels that were saved before a restart.
   * @param age Time since they were saved, in which the buckets refilled.
   */
  void Restore(const std::map<std::string, double>& levels, Duration age);

  /** Sets the number of nodes that share the quotas; at least 1. */
  void SetNodes(uint32_t count) { this->nodes = std::max(1U, count); }

  /** Sets the share of nodes that are silent, 0 to 1. */
  void SetSilentShare(double share) { this->silent_share = share; }

  /** Total admitted here since the start, for the report to other nodes. */
  const std::map<std::string, double, std::less<>>& Admitted() const {
    return this->admitted;
  }

  /** The inputs of a decision on a customer; defaults without a limit. */
  QuotaView View(std::string_view customer) const;

  /** Time until a request of @p cost would be admitted, if nothing else is. */
  Milliseconds TimeUntil(const Customer& customer, double cost) const;

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    double reserve = 0;    ///< Part of the level for the other nodes.
    double own_level = 0;  ///< What this node may use of its own share.
    TimePoint updated;
  };

  void Refill(Bucket& bucket, TimePoint now) const;
  double OwnBurst(const Bucket& bucket) const;
  bool Pooled(const Bucket& bucket) const;
  void RestoreBucket(const std::string& customer, Bucket& bucket) const;

  double overdraft;
  double initial_fill;
  double silent_share = 0;
  uint32_t nodes = 1;
  bool informed = true;
  std::map<std::string, double> restored;  ///< Levels at @c restored_age.
  Duration restored_age{};
  std::map<std::string, Bucket, std::less<>> buckets;
  std::map<std::string, double, std::less<>> admitted;
};

}  // namespace boragewharf::serving
