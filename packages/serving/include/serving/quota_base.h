/**
 * @file quota_base.h
 * Customer quotas that all nodes share without a remote call per request.
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

/** What a request wants to use a quota for. */
enum class QuotaUse {
  kNewRequest,     ///< Must leave the reserve for resumed streams.
  kResumedStream,  ///< Goes on with an answer of which the client has a part.
};

/** Inputs of a quota decision, for the log. */
struct QuotaView {
  double level = 0;           ///< Level of the bucket that all nodes share.
  double own_level = 0;       ///< Level of this node's share of the quota.
  double rate = 0;            ///< Quota units per second.
  uint32_t nodes = 1;         ///< Nodes that share the quota.
  bool pooled = true;         ///< The shared level decides, not own_level.
  bool informed = true;       ///< The other nodes' reports have arrived.
  bool was_high = false;      ///< The level that was saved before a restart.
  double resume_reserve = 0;  ///< Left to resumed streams by new requests.
};

/**
 * Token buckets of all customers. Each node deducts its own admissions at once,
 * and those of the other nodes when they report them. For nodes that do not
 * report, an equal share of the rate is deducted, because they may still admit
 * requests. While the bucket of a large quota is low, each node admits requests
 * at its share of the rate only. So does a restarted node that lacks the other
 * nodes' reports; for customers whose saved level was high it uses the whole
 * level, but not more than a larger share for itself.
 *
 * A part of each quota is reserved for resumed streams: of a customer at its
 * limit, new requests would otherwise use all that is refilled, and clients
 * whose node was killed would lose answers of which they have a part. The
 * reserve lies within the limits above, so that the sum of new requests and
 * resumed streams is bounded as before.
 *
 * Not thread-safe.
 */
class QuotaTable {
 public:
  /**
   * @param allowed_overdraft How far a level may fall below zero. Compensates
   *     for the delay of reports, within the excess that the deployment allows.
   * @param fill Initial level of a new bucket, relative to its burst.
   * @param peers_unknown Whether the use by other nodes is not known yet, until
   *     SetInformed() is called.
   */
  QuotaTable(double allowed_overdraft, double fill, bool peers_unknown = false);

  /** Applies new limits. Keeps the levels, but caps them at the new bursts. */
  void Configure(const ServingConfig& config, TimePoint now);

  /** Admits a request if its quota allows, and deducts the cost.
   * @param use kResumedStream only for streams whose origin is known.
   * @return Whether the request was admitted. */
  bool Admit(const Customer& customer,
             double cost,
             TimePoint now,
             QuotaUse use = QuotaUse::kNewRequest);

  /** Gives back the cost of an admitted request that did not run. */
  void Refund(std::string_view customer, double cost);

  /** Deducts what other nodes admitted. A negative cost corrects an earlier
   * estimate. */
  void DeductRemote(std::string_view customer, double cost);

  /** Must be called once the reports of the other nodes arrive. */
  void SetInformed();

  /** Levels of all buckets, by customer; input of Restore() after a restart. */
  std::map<std::string, double> Levels(TimePoint now);

  /**
   * Restores levels that were saved before a restart. Later calls have no
   * effect, because this node's own use is not part of what was saved.
   * @param age Time since they were saved; the buckets are refilled for it.
   */
  void Restore(const std::map<std::string, double>& levels, Duration age);

  /** Sets the number of nodes that share the quotas; at least 1. */
  void SetNodes(uint32_t count) { this->nodes = std::max(1U, count); }

  /** Sets the share of nodes that do not report, 0 to 1. */
  void SetSilentShare(double share) { this->silent_share = share; }

  /** Total cost admitted by this node since its start, by customer; reported
   * to the other nodes. */
  const std::map<std::string, double, std::less<>>& Admitted() const {
    return this->admitted;
  }

  /** Inputs of decisions on a customer; defaults if it has no limit. */
  QuotaView View(std::string_view customer) const;

  /** Time until a request of @p cost would be admitted if no other request is
   * admitted before. */
  Milliseconds TimeUntil(const Customer& customer,
                         double cost,
                         QuotaUse use = QuotaUse::kNewRequest) const;

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    /** Held back for other nodes until SetInformed(), unless was_high. */
    double reserve = 0;
    double own_level = 0;  ///< Level of this node's share of the quota.
    /** The level saved before a restart was high, so that `level` is the whole
     * level before SetInformed(), too. */
    bool was_high = false;
    TimePoint updated;
  };

  /** Whether `level` is the whole level, not this node's part of it. */
  bool HasWholeLevel(const Bucket& bucket) const {
    return this->informed || bucket.was_high;
  }
  void Refill(Bucket& bucket, TimePoint now) const;
  /** Number of nodes among which the quota is divided for own_level. */
  uint32_t Shares(const Bucket& bucket) const;
  /** This node's share of the burst. */
  double OwnBurst(const Bucket& bucket) const;
  /** The same until SetInformed(), if the saved level was not high. */
  double UninformedBurst(const Bucket& bucket) const;
  /** Whether the level shared by all nodes decides, instead of own_level. */
  bool UsesSharedLevel(const Bucket& bucket) const;
  /** Part of the level that decides, which only resumed streams may use. */
  double ResumeReserve(const Bucket& bucket) const;
  /** Whether the level that decides allows @p cost and leaves @p reserve. */
  bool HasEnough(const Bucket& bucket, double cost, double reserve) const;
  void RestoreBucket(const std::string& customer, Bucket& bucket) const;

  double overdraft;
  double initial_fill;
  double silent_share = 0;
  uint32_t nodes = 1;
  bool informed = true;
  std::map<std::string, double> restored;  ///< Argument of Restore().
  Duration restored_age{};
  std::map<std::string, Bucket, std::less<>> buckets;
  std::map<std::string, double, std::less<>> admitted;
};

}  // namespace boragewharf::serving
