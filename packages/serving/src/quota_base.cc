/**
 * @file quota_base.cc
 * Customer quotas that all nodes share.
 */
#include "serving/quota_base.h"

#include <algorithm>

namespace boragewharf::serving {
namespace {

/** Least number of nodes that a restarted node assumes to share the rate with
 * until the others report. The smallest deployments have six. */
constexpr uint32_t kAssumedNodes = 6;

/** A level that was high before the restart is divided into one share for this
 * many nodes until they report: not all of them get requests of the customer.
 */
constexpr uint32_t kNodesPerShare = 2;

/** Bucket level, relative to the burst, above which each node may use the whole
 * level. Below it, each node only uses its own share; otherwise all nodes would
 * spend the same refill before they receive each other's reports. */
constexpr double kPooledFillThreshold = 0.5;

/** The same for a level that was saved before a restart. A customer that
 * demands more than its quota is kept around kPooledFillThreshold, one that
 * does not is above it most of the time. */
constexpr double kHighSavedFill = 0.6;

/** Saved levels that are older say nothing about the demand before the restart.
 * Machines that lost power are back within three seconds. */
constexpr std::chrono::seconds kMaxAgeOfHighLevel(5);

/** Part of its share that a node then uses; the rest reduces the overdraft. */
constexpr double kOwnShareFactor = 0.95;

/** Rate, relative to the allowed overdraft, up to which the nodes cannot exceed
 * the quota between two reports by more than the deployment allows. */
constexpr double kSmallRateFactor = 5;

/** Part of a quota that only resumed streams may use, relative to the burst or
 * this node's share of it. A smaller part is refilled so fast that few
 * resumed streams arrive within that time. */
constexpr double kResumeReserve = 0.25;

/** Least wait that a client is told by a node that lacks the other nodes'
 * reports, in seconds. They arrive within about this time. */
constexpr double kWaitForReportsSeconds = 1;

/** Longest wait that a client is told, in seconds: a day, the longest deadline
 * of a request. A configured rate can be so low that the time is out of range.
 */
constexpr double kMaxWaitSeconds = 24.0 * 60 * 60;

/** Least level that allows @p cost and leaves @p reserve. A request that fits
 * @p most, the highest level, must not wait for more. */
double WantedLevel(double cost, double reserve, double most) {
  return std::min(cost + reserve, std::max(cost, most));
}

}  // namespace

double QuotaCost(const Customer& customer, const RequestFacts& facts) {
  if (!customer.quota_in_tokens) {
    return 1;
  }
  if (!facts.has_token_counts) {
    return static_cast<double>(customer.plain_tokens);
  }
  return static_cast<double>(facts.prompt_tokens) + facts.max_output_tokens;
}

QuotaTable::QuotaTable(double allowed_overdraft,
                       double fill,
                       bool peers_unknown)
    : overdraft(allowed_overdraft),
      initial_fill(fill),
      informed(!peers_unknown) {}

void QuotaTable::Configure(const ServingConfig& config, TimePoint now) {
  std::map<std::string, Bucket, std::less<>> next;
  for (const Customer& customer : config.customers) {
    if (customer.rate_per_second <= 0) {
      continue;
    }
    Bucket bucket;
    const auto found = this->buckets.find(customer.name);
    if (found == this->buckets.end()) {
      bucket.level = customer.burst * this->initial_fill;
      bucket.updated = now;
    } else {
      this->Refill(found->second, now);
      bucket = found->second;
    }
    bucket.rate = customer.rate_per_second;
    bucket.burst = customer.burst;
    bucket.level = std::min(bucket.level, bucket.burst);
    bucket.own_level = std::min(bucket.own_level, this->OwnBurst(bucket));
    if (found == this->buckets.end()) {
      this->RestoreBucket(customer.name, bucket);
    }
    next.emplace(customer.name, bucket);
  }
  this->buckets = std::move(next);
}

void QuotaTable::SetInformed() {
  if (this->informed) {
    return;
  }
  this->informed = true;
  for (auto& [customer, bucket] : this->buckets) {
    bucket.level = std::min(bucket.burst, bucket.level + bucket.reserve);
    bucket.reserve = 0;
  }
}

std::map<std::string, double> QuotaTable::Levels(TimePoint now) {
  std::map<std::string, double> levels;
  for (auto& [customer, bucket] : this->buckets) {
    this->Refill(bucket, now);
    levels[customer] = bucket.level + bucket.reserve;
  }
  return levels;
}

void QuotaTable::Restore(const std::map<std::string, double>& levels,
                         Duration age) {
  if (!this->restored.empty()) {
    return;
  }
  this->restored = levels;
  this->restored_age = age;
  for (auto& [customer, bucket] : this->buckets) {
    this->RestoreBucket(customer, bucket);
  }
}

void QuotaTable::RestoreBucket(const std::string& customer,
                               Bucket& bucket) const {
  const auto found = this->restored.find(customer);
  if (found == this->restored.end()) {
    return;
  }
  const std::chrono::duration<double> age = this->restored_age;
  const double level =
      std::min(bucket.burst, found->second + bucket.rate * age.count());
  if (this->informed) {
    bucket.level = std::min(bucket.burst, bucket.level + std::max(0.0, level));
    return;
  }
  if (found->second >= kHighSavedFill * bucket.burst &&
      this->restored_age <= kMaxAgeOfHighLevel) {
    // The requests of a customer reach few of the nodes before the reports
    // arrive, so that equal shares would refuse most of them.
    bucket.was_high = true;
    bucket.level = std::min(bucket.burst, bucket.level + level);
    bucket.own_level = this->OwnBurst(bucket);
    return;
  }
  // Each node starts with its share of the level. What the other nodes admit
  // meanwhile is deducted once they report it.
  const double share = 1.0 / std::max(this->nodes, kAssumedNodes);
  bucket.level += level > 0 ? level * share : level;
  bucket.reserve = level > 0 ? level * (1 - share) : 0;
}

void QuotaTable::Refill(Bucket& bucket, TimePoint now) const {
  const std::chrono::duration<double> elapsed = now - bucket.updated;
  bucket.updated = now;
  double rate = bucket.rate * (1.0 - this->silent_share);
  if (!this->HasWholeLevel(bucket)) {
    rate = bucket.rate / std::max(this->nodes, kAssumedNodes);
  }
  bucket.level = std::min(bucket.burst, bucket.level + rate * elapsed.count());
  const double share = kOwnShareFactor * bucket.rate / this->Shares(bucket);
  bucket.own_level = std::min(this->OwnBurst(bucket),
                              bucket.own_level + share * elapsed.count());
}

uint32_t QuotaTable::Shares(const Bucket& bucket) const {
  if (this->informed || !bucket.was_high) {
    return this->nodes;
  }
  return std::max(kAssumedNodes, this->nodes / kNodesPerShare);
}

double QuotaTable::OwnBurst(const Bucket& bucket) const {
  return bucket.burst / this->Shares(bucket);
}

double QuotaTable::UninformedBurst(const Bucket& bucket) const {
  return bucket.burst / std::max(this->nodes, kAssumedNodes);
}

bool QuotaTable::UsesSharedLevel(const Bucket& bucket) const {
  return !this->HasWholeLevel(bucket) || this->nodes == 1 ||
         bucket.rate <= kSmallRateFactor * this->overdraft ||
         bucket.level >= kPooledFillThreshold * bucket.burst;
}

double QuotaTable::ResumeReserve(const Bucket& bucket) const {
  if (!this->HasWholeLevel(bucket)) {
    return kResumeReserve * this->UninformedBurst(bucket);
  }
  if (this->UsesSharedLevel(bucket)) {
    // Within the overdraft, so that new requests can still use a whole burst.
    return std::min(kResumeReserve * bucket.burst, this->overdraft);
  }
  return kResumeReserve * this->OwnBurst(bucket);
}

bool QuotaTable::HasEnough(const Bucket& bucket,
                           double cost,
                           double reserve) const {
  if (!this->HasWholeLevel(bucket)) {
    const double most = this->UninformedBurst(bucket);
    return bucket.level >= WantedLevel(cost, reserve, most);
  }
  if (this->UsesSharedLevel(bucket)) {
    const double most = bucket.burst + this->overdraft;
    return bucket.level + this->overdraft >= WantedLevel(cost, reserve, most);
  }
  return bucket.own_level > reserve &&
         bucket.level > -kPooledFillThreshold * bucket.burst;
}

bool QuotaTable::Admit(const Customer& customer,
                       double cost,
                       TimePoint now,
                       QuotaUse use) {
  const auto found = this->buckets.find(customer.name);
  if (found != this->buckets.end()) {
    Bucket& bucket = found->second;
    this->Refill(bucket, now);
    const bool pooled = this->UsesSharedLevel(bucket);
    const double reserve =
        use == QuotaUse::kNewRequest ? this->ResumeReserve(bucket) : 0;
    const bool share_left =
        this->informed || !bucket.was_high || bucket.own_level > 0;
    if (!this->HasEnough(bucket, cost, reserve) || !share_left) {
      return false;
    }
    bucket.level -= cost;
    bucket.own_level -= cost;
    if (pooled) {
      bucket.own_level = std::max(bucket.own_level, -this->OwnBurst(bucket));
    }
  }
  this->admitted[customer.name] += cost;
  return true;
}

void QuotaTable::Refund(std::string_view customer, double cost) {
  const auto found = this->buckets.find(customer);
  if (found != this->buckets.end()) {
    Bucket& bucket = found->second;
    bucket.level = std::min(bucket.burst, bucket.level + cost);
    bucket.own_level =
        std::min(this->OwnBurst(bucket), bucket.own_level + cost);
  }
  const auto total = this->admitted.find(customer);
  if (total != this->admitted.end()) {
    total->second -= cost;
  }
}

void QuotaTable::DeductRemote(std::string_view customer, double cost) {
  const auto found = this->buckets.find(customer);
  if (found != this->buckets.end()) {
    Bucket& bucket = found->second;
    bucket.level = std::min(bucket.burst, bucket.level - cost);
  }
}

QuotaView QuotaTable::View(std::string_view customer) const {
  const auto found = this->buckets.find(customer);
  if (found == this->buckets.end()) {
    return {};
  }
  const Bucket& bucket = found->second;
  return {bucket.level,
          bucket.own_level,
          bucket.rate,
          this->nodes,
          this->UsesSharedLevel(bucket),
          this->informed,
          bucket.was_high,
          this->ResumeReserve(bucket)};
}

Milliseconds QuotaTable::TimeUntil(const Customer& customer,
                                   double cost,
                                   QuotaUse use) const {
  const auto found = this->buckets.find(customer.name);
  if (found == this->buckets.end() || found->second.rate <= 0) {
    return Milliseconds(0);
  }
  const Bucket& bucket = found->second;
  const double reserve =
      use == QuotaUse::kNewRequest ? this->ResumeReserve(bucket) : 0;
  const double wanted =
      WantedLevel(cost, reserve, bucket.burst + this->overdraft);
  double seconds = (wanted - this->overdraft - bucket.level) / bucket.rate;
  if (!this->informed) {
    seconds = std::max(seconds, kWaitForReportsSeconds);
  } else if (!this->UsesSharedLevel(bucket)) {
    seconds = (reserve - bucket.own_level) * this->nodes /
              (kOwnShareFactor * bucket.rate);
  }
  seconds = std::clamp(seconds, 0.0, kMaxWaitSeconds);
  return Milliseconds(static_cast<int64_t>(seconds * 1000));
}

}  // namespace boragewharf::serving
