/**
 * @file routing_base.cc
 * Routing by predicted time to first token, and the baselines.
 */
#include "policy/routing_base.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace boragewharf::policy {

namespace {

constexpr double kMicrosecondsPerHour = 3600e6;
/** Bounds the random choice, so that a decision needs no allocation. */
constexpr size_t kMaxChoices = 16;

double Micros(Duration duration) {
  return static_cast<double>(duration.count());
}

bool IsUsable(const RouteRequest& request,
              const BackendView& view,
              BackendIndex index) {
  if (view.status != backend::BackendStatus::kReady) {
    return false;
  }
  const bool busy = view.own_in_flight > 0 || view.reported_running > 0;
  if (request.alone && busy) {
    return false;
  }
  return std::find(request.excluded.begin(), request.excluded.end(), index) ==
         request.excluded.end();
}

/** Requests of other daemons when the load was reported. */
double OthersAtReport(const BackendView& view) {
  const uint32_t own = std::min(view.own_at_report, view.reported_running);
  return static_cast<double>(view.reported_running - own);
}

double MeanOthers(std::span<const BackendView> views) {
  double sum = 0;
  size_t count = 0;
  for (const BackendView& view : views) {
    if (view.reported && view.status == backend::BackendStatus::kReady) {
      sum += OthersAtReport(view);
      ++count;
    }
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

/** The best choices so far, with their costs. */
struct Shortlist {
  struct Choice {
    BackendIndex index;
    double cost = 0;
  };
  std::array<Choice, kMaxChoices> choices;
  size_t size = 0;
  double worst = std::numeric_limits<double>::max();  ///< Once it is full.

  /** Keeps the cheapest kMaxChoices. */
  void Add(BackendIndex index, double cost) {
    if (this->size < kMaxChoices) {
      this->choices[this->size++] = {index, cost};
      return;
    }
    if (cost >= this->worst) {
      return;
    }
    const auto by_cost = [](const Choice& a, const Choice& b) {
      return a.cost < b.cost;
    };
    auto& all = this->choices;
    *std::max_element(all.begin(), all.end(), by_cost) = {index, cost};
    this->worst = std::max_element(all.begin(), all.end(), by_cost)->cost;
  }

  std::optional<BackendIndex> Pick(double tolerance, uint64_t seed) const {
    double best = std::numeric_limits<double>::max();
    for (size_t i = 0; i < this->size; ++i) {
      best = std::min(best, this->choices[i].cost);
    }
    std::array<BackendIndex, kMaxChoices> equal;
    size_t count = 0;
    for (size_t i = 0; i < this->size; ++i) {
      if (this->choices[i].cost <= best * (1 + tolerance)) {
        equal[count++] = this->choices[i].index;
      }
    }
    return count == 0 ? std::nullopt : std::optional(equal[seed % count]);
  }
};

}  // namespace

double PredictedTimePolicy::PredictCost(const RouteRequest& request,
                                        const BackendView& view,
                                        double mean_other) const {
  const PredictionOptions& o = this->options;
  // An old report says less about one server than the mean of all does.
  const double worth =
      view.reported
          ? std::exp(-Micros(view.report_age) / Micros(o.report_decay))
          : 0;
  const double others = worth * OthersAtReport(view) + (1 - worth) * mean_other;
  // Other daemons saw the same report and chose alike, so the own change since
  // then tells theirs; without it all crowd the server of the lowest report.
  const double change = static_cast<double>(view.own_in_flight) -
                        static_cast<double>(view.own_at_report);
  const double running =
      std::max(0.0, view.own_in_flight + others + o.others_per_own * change);
  const double slots = std::max(1U, view.slots);
  const double tokens = request.prompt_tokens -
                        std::min(request.prompt_tokens, view.cached_tokens);
  const double prefill =
      tokens * Micros(o.prefill_per_token) * (1 + running / slots);
  const double waiting =
      std::max(0.0, running + 1 - slots) * Micros(o.mean_run) / slots;
  double cost = prefill + waiting + o.price_weight_us * view.price_per_hour;
  if (view.distance == Distance::kSameRegion) {
    cost += Micros(o.same_region);
  } else if (view.distance == Distance::kOtherRegion) {
    cost += Micros(o.other_region) + Micros(o.region_charge);
  }
  const double length = Micros(request.expected_length);
  if (view.remaining < request.expected_length) {
    cost += o.recompute_weight * Micros(view.remaining);
  } else if (view.reclaimable) {
    // On average a reclaim during the run loses half of it.
    const double chance =
        std::min(1.0, o.reclaims_per_hour * length / kMicrosecondsPerHour);
    cost += o.recompute_weight * chance * length / 2;
  }
  return cost;
}

std::optional<BackendIndex> PredictedTimePolicy::Choose(
    const RouteRequest& request,
    std::span<const BackendView> views) {
  const double mean_other = MeanOthers(views);
  Shortlist shortlist;
  for (uint32_t i = 0; i < views.size(); ++i) {
    if (IsUsable(request, views[i], BackendIndex{i})) {
      shortlist.Add(BackendIndex{i},
                    this->PredictCost(request, views[i], mean_other));
    }
  }
  return shortlist.Pick(this->options.tolerance, request.seed);
}

std::optional<BackendIndex> RoundRobinPolicy::Choose(
    const RouteRequest& request,
    std::span<const BackendView> views) {
  const uint32_t first = this->next.fetch_add(1, std::memory_order_relaxed);
  const auto size = static_cast<uint32_t>(views.size());
  for (uint32_t i = 0; i < size; ++i) {
    const BackendIndex index{(first + i) % size};
    if (IsUsable(request, views[index.value], index)) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<BackendIndex> LeastInFlightPolicy::Choose(
    const RouteRequest& request,
    std::span<const BackendView> views) {
  Shortlist shortlist;
  for (uint32_t i = 0; i < views.size(); ++i) {
    if (IsUsable(request, views[i], BackendIndex{i})) {
      shortlist.Add(BackendIndex{i}, views[i].own_in_flight);
    }
  }
  return shortlist.Pick(0, request.seed);
}

}  // namespace boragewharf::policy
