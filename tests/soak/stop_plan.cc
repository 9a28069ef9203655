/**
 * @file stop_plan.cc
 * Random planned stops of nodes.
 */
#include "stop_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace boragewharf::soak {
namespace {

using std::chrono::milliseconds;

/** Time between planned events that are drawn independently. */
constexpr uint64_t kMinPauseMs = 200;
constexpr uint64_t kMaxPauseMs = 1500;

/** Maximum time between the stops of two nodes in a series. */
constexpr uint64_t kMaxSeriesGapMs = 1500;

/** Maximum time between the two signals of a repeated SIGTERM. */
constexpr uint64_t kMaxRepeatDelayMs = 2500;

class PlanBuilder {
 public:
  PlanBuilder(uint64_t seed, milliseconds total, size_t nodes)
      : generator(seed), length(total), node_count(nodes) {}

  std::vector<PlannedEvent> Build() {
    milliseconds time(0);
    while (time < this->length) {
      this->AddRandom(time);
      time += milliseconds(this->Draw(kMinPauseMs, kMaxPauseMs));
    }
    std::erase_if(this->plan, [this](const PlannedEvent& planned_event) {
      return planned_event.at >= this->length;
    });
    std::stable_sort(this->plan.begin(), this->plan.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    return std::move(this->plan);
  }

 private:
  uint64_t Draw(uint64_t from, uint64_t to) {
    return from + this->generator() % (to - from + 1);
  }

  void Add(milliseconds at, PlannedEventKind kind, size_t node) {
    this->plan.push_back({at, kind, node, {}});
  }

  void AddRandom(milliseconds now) {
    const size_t node = this->Draw(0, this->node_count - 1);
    switch (this->Draw(0, 10)) {
      case 0:
      case 1:
        this->Add(now, PlannedEventKind::kTerminate, node);
        break;
      case 2:
        this->Add(now, PlannedEventKind::kTerminate, node);
        this->Add(now + milliseconds(this->Draw(0, kMaxRepeatDelayMs)),
                  PlannedEventKind::kTerminate, node);
        break;
      case 3:
      case 4:
        this->AddSeries(now, this->node_count, 0);
        break;
      case 5:
        this->AddSeries(now, this->node_count, kMaxSeriesGapMs);
        break;
      case 6:
        this->AddSeries(now, this->node_count - 1, kMaxSeriesGapMs);
        break;
      case 7:
        this->Add(now, PlannedEventKind::kReload, node);
        break;
      case 8:
        this->Add(now, PlannedEventKind::kConfig, node);
        break;
      default:
        this->AddPace(now);
        break;
    }
  }

  /** Stops @p count nodes in random order with gaps of up to @p max_gap_ms. */
  void AddSeries(milliseconds now, size_t count, uint64_t max_gap_ms) {
    std::vector<size_t> nodes(this->node_count);
    std::iota(nodes.begin(), nodes.end(), 0);
    std::shuffle(nodes.begin(), nodes.end(), this->generator);
    for (size_t i = 0; i < count; ++i) {
      this->Add(now, PlannedEventKind::kTerminate, nodes[i]);
      now += milliseconds(this->Draw(0, max_gap_ms));
    }
  }

  /** Half of the paces are short, so that a longer one differs from what the
   * nodes have learned. */
  void AddPace(milliseconds now) {
    constexpr double kMinMs = 100;
    constexpr double kLengthRange = 25;
    const bool is_short = this->Draw(0, 1) == 0;
    const double position = static_cast<double>(this->Draw(0, 1000)) / 1000;
    StreamPace pace;
    pace.usual = milliseconds(
        is_short ? 150
                 : std::lround(kMinMs * std::pow(kLengthRange, position)));
    pace.long_percent =
        this->Draw(0, 1) == 0 ? 0 : static_cast<uint32_t>(this->Draw(2, 15));
    this->plan.push_back({now, PlannedEventKind::kPace, 0, pace});
  }

  std::mt19937_64 generator;
  milliseconds length;
  size_t node_count;
  std::vector<PlannedEvent> plan;
};

}  // namespace

std::vector<PlannedEvent> DrawStopPlan(uint64_t seed,
                                       milliseconds length,
                                       size_t node_count) {
  return PlanBuilder(seed, length, node_count).Build();
}

}  // namespace boragewharf::soak
