/**
 * @file fair_share_base.cc
 * Which kinds of requests and which customers have received less or more than
 * their share of a service.
 */
#include "admission/fair_share_base.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace boragewharf::admission {
namespace {

/** A kind is served at least half as often as the whole. It is served next from
 * slightly above that, since the requests that are refused meanwhile count. */
constexpr double kLeastShare = 0.6;

/** A less urgent kind gets its least share only while it is served less often
 * than this part of the more urgent ones. */
constexpr double kOrderMargin = 0.9;

/** Requests of a kind from which its share counts. */
constexpr double kMinEnded = 3;

/** A customer surges above this multiple of its usual load. Smaller changes are
 * usual within seconds. */
constexpr double kSurgeFactor = 2;

/** Periods from which the usual load is known: 5 s. */
constexpr uint32_t kMinPeriods = 10;

/** Periods over which the usual load is averaged: a minute. */
constexpr uint32_t kUsualPeriods = 120;

/** Load of a request: its tokens, 1 if it has none. */
double LoadOf(const RequestProfile& request) {
  return std::max(1U, request.tokens);
}

void UpdateBehind(KindRecord& kind, double all_share, TimePoint now) {
  const double ended = kind.ended.At(now);
  kind.behind = ended >= kMinEnded &&
                kind.started.At(now) < kLeastShare * all_share * ended;
}

}  // namespace

void FadingSum::Add(double amount, TimePoint now) {
  this->sum = std::max(0.0, this->At(now) + amount);
  this->updated = std::max(this->updated, now);
}

double FadingSum::At(TimePoint now) const {
  if (this->sum == 0 || now <= this->updated) {
    return this->sum;
  }
  const double passed = static_cast<double>((now - this->updated).count());
  return this->sum *
         std::exp(-passed / static_cast<double>(this->constant.count()));
}

void FairShares::CountArrival(const RequestProfile& request) {
  this->customers[request.customer].offered_in_period += LoadOf(request);
}

void FairShares::Count(const RequestProfile& request,
                       double ended,
                       double started,
                       TimePoint now) {
  CustomerRecord& customer = this->customers[request.customer];
  customer.used.Add(started * LoadOf(request), now);
  customer.kind.ended.Add(ended, now);
  customer.kind.started.Add(started, now);
  if (customer.surging) {
    return;  // It gets what others leave; its kinds are not owed a share.
  }
  for (KindRecord* kind : {&this->all, &this->urgencies[request.urgency],
                           &this->lengths[std::bit_width(request.tokens)]}) {
    kind->ended.Add(ended, now);
    kind->started.Add(started, now);
  }
}

void FairShares::CountStart(const RequestProfile& request, TimePoint now) {
  this->Count(request, 1, 1, now);
}

void FairShares::TakeBackStart(const RequestProfile& request, TimePoint now) {
  this->Count(request, -1, -1, now);
}

void FairShares::CountRefusal(const RequestProfile& request, TimePoint now) {
  this->Count(request, 1, 0, now);
}

void FairShares::Update(TimePoint now) {
  const double ended = this->all.ended.At(now);
  const double share = ended > 0 ? this->all.started.At(now) / ended : 0;
  double more_urgent_share = 1;
  for (auto& [urgency, kind] : this->urgencies) {
    UpdateBehind(kind, share, now);
    const double own_ended = kind.ended.At(now);
    const double own_share =
        own_ended > 0 ? kind.started.At(now) / own_ended : more_urgent_share;
    kind.behind &= own_share < kOrderMargin * more_urgent_share;
    more_urgent_share = std::min(more_urgent_share, own_share);
  }
  for (auto& [length, kind] : this->lengths) {
    UpdateBehind(kind, share, now);
  }
  double used = 0;
  double active = 0;
  for (auto& [name, customer] : this->customers) {
    UpdateBehind(customer.kind, share, now);
    const double own = customer.used.At(now);
    used += own;
    active += own > 0 || customer.kind.behind ? 1 : 0;
  }
  const double memory = std::chrono::duration<double>(KindRecord::kMemory) /
                        std::chrono::seconds(1);
  for (auto& [name, customer] : this->customers) {
    const double own = customer.used.At(now);
    const double usual = customer.usual_per_second * memory;
    customer.surging = customer.usual_periods >= kMinPeriods && active > 1 &&
                       own > used / active && own > kSurgeFactor * usual;
  }
}

void FairShares::EndPeriod(double seconds, bool overloaded) {
  for (auto& [name, customer] : this->customers) {
    const double rate = customer.offered_in_period / std::max(seconds, 1e-3);
    customer.offered_in_period = 0;
    if (overloaded) {
      continue;
    }
    customer.usual_periods =
        std::min(customer.usual_periods + 1, kUsualPeriods);
    customer.usual_per_second +=
        (rate - customer.usual_per_second) / customer.usual_periods;
  }
}

bool FairShares::IsBehind(const RequestProfile& request) const {
  const auto customer = this->customers.find(request.customer);
  if (customer != this->customers.end()) {
    if (customer->second.surging) {
      return false;
    }
    if (customer->second.kind.behind) {
      return true;
    }
  }
  const auto urgency = this->urgencies.find(request.urgency);
  if (urgency != this->urgencies.end() && urgency->second.behind) {
    return true;
  }
  const auto length = this->lengths.find(std::bit_width(request.tokens));
  return length != this->lengths.end() && length->second.behind;
}

bool FairShares::IsSurging(const RequestProfile& request) const {
  const auto found = this->customers.find(request.customer);
  return found != this->customers.end() && found->second.surging;
}

double FairShares::UsedBy(const std::string& customer, TimePoint now) const {
  const auto found = this->customers.find(customer);
  return found == this->customers.end() ? 0 : found->second.used.At(now);
}

}  // namespace boragewharf::admission
