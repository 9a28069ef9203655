/**
 * @file ledger_bench_test.cc
 * Store writes per claim and time in the reducer under load, over a store that
 * answers each call after 10 ms.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>

#include "ledger/ledger_func.h"
#include "ledger/shard_func.h"

namespace boragewharf::ledger {
namespace {

constexpr MemberId kOwner{7};
constexpr Duration kStoreTime = std::chrono::milliseconds(10);
constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr int kSteps = 10000;
constexpr size_t kBodyBytes = 300;
/** Calls that the store supports per second. */
constexpr double kStoreWrites = 300;

struct BenchResult {
  double writes_per_second = 0;
  double writes_per_claim = 0;
};

/** One owner of all shards; each granted claim finishes 50 ms later. */
class LedgerBench {
 public:
  LedgerBench(int claims_per_second, size_t object_bytes)
      : rate(claims_per_second) {
    LedgerOptions options;
    options.object_bytes = object_bytes;
    this->state = MakeLedgerState(kOwner, options, 1);
    std::vector<ShardId> all;
    for (uint32_t i = 0; i < options.shard_count; ++i) {
      all.push_back(ShardId{i});
    }
    this->Apply(OwnershipChanged{all, {kOwner}});
  }

  BenchResult Run() {
    for (int step = 0; step < kSteps; ++step) {
      this->now += kStep;
      this->RunDue();
      const std::optional<TimePoint> wake = NextWake(this->state);
      if (wake && *wake <= this->now) {
        this->Apply(Tick{this->Wall()});
      }
      this->credit += this->rate * 1e-3;
      for (; this->credit >= 1; this->credit -= 1) {
        this->Claim();
      }
    }
    return this->Print();
  }

 private:
  WallTime Wall() const {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
        this->now.time_since_epoch()));
  }

  void Claim() {
    const uint64_t number = this->next++;
    const Digest key = Sha256(std::to_string(number));
    this->started.push_back(this->now);
    this->Apply(ClaimRequested{CallId{number},
                               {{number, number}, key, key, kOwner},
                               this->now + std::chrono::seconds(2),
                               this->Wall()});
  }

  void Apply(const LedgerEvent& event) {
    std::vector<LedgerEffect> effects;
    const auto before = std::chrono::steady_clock::now();
    Reduce(this->state, event, this->now, effects);
    this->reducer_time += std::chrono::steady_clock::now() - before;
    for (const LedgerEffect& effect : effects) {
      this->Execute(effect);
    }
  }

  void Execute(const LedgerEffect& effect) {
    const TimePoint later = this->now + kStoreTime;
    if (const auto* read = std::get_if<ReadShard>(&effect)) {
      this->due.emplace(
          later, ShardReadFailed{read->operation, read->shard, read->name,
                                 ResultCode::kStoreNotFound});
    } else if (const auto* write = std::get_if<WriteShard>(&effect)) {
      this->due.emplace(later,
                        ShardWritten{write->operation, write->shard, "v"});
    } else if (const auto* seal = std::get_if<WriteSegment>(&effect)) {
      this->due.emplace(later, ShardWritten{seal->operation, seal->shard, "v"});
    } else if (const auto* answer = std::get_if<AnswerClaim>(&effect)) {
      this->OnAnswer(*answer);
    }
  }

  void OnAnswer(const AnswerClaim& answer) {
    if (answer.result.verdict != ClaimVerdict::kGranted) {
      return;
    }
    ++this->granted;
    const Duration wait = this->now - this->started[answer.call.value];
    this->waits_ms.push_back(static_cast<double>(wait.count()) / 1000);
    const Digest key = Sha256(std::to_string(answer.call.value));
    this->due.emplace(
        this->now + std::chrono::milliseconds(50),
        OutcomeReported{answer.call,
                        {answer.result.claim,
                         key,
                         Outcome::kFinished,
                         {200, "text/plain", std::string(kBodyBytes, 'x')}},
                        this->Wall()});
  }

  void RunDue() {
    while (!this->due.empty() && this->due.begin()->first <= this->now) {
      const LedgerEvent event = this->due.begin()->second;
      this->due.erase(this->due.begin());
      this->Apply(event);
    }
  }

  BenchResult Print() {
    const LedgerTotals& totals = this->state.totals;
    const auto claims = static_cast<double>(this->granted);
    const auto writes = static_cast<double>(totals.writes + totals.seals);
    const double length = kSteps / 1e3;
    std::sort(this->waits_ms.begin(), this->waits_ms.end());
    std::printf(
        "%5d claims/s, objects of %3zu KB: granted %6lu, full %5lu; %6.1f "
        "writes/s, %5.3f writes/claim, %7.1f KB/claim; wait p50 %4.0f p95 "
        "%4.0f ms; reducer %6.1f us/claim\n",
        this->rate, this->state.options.object_bytes / 1024, this->granted,
        totals.claims[static_cast<size_t>(ClaimVerdict::kFull)],
        writes / length, writes / claims,
        static_cast<double>(totals.write_bytes) / claims / 1024,
        this->waits_ms[this->waits_ms.size() / 2],
        this->waits_ms[this->waits_ms.size() * 95 / 100],
        std::chrono::duration<double, std::micro>(this->reducer_time).count() /
            claims);
    return {writes / length, writes / claims};
  }

  int rate;
  LedgerState state;
  TimePoint now{std::chrono::seconds(1)};
  std::multimap<TimePoint, LedgerEvent> due;
  std::vector<TimePoint> started{TimePoint{}};
  std::vector<double> waits_ms;
  uint64_t next = 1;
  uint64_t granted = 0;
  double credit = 0;
  std::chrono::steady_clock::duration reducer_time{};
};

// Guards against a write rate that grows with the claims: the store supports
// several hundred writes a second for everything.
TEST(LedgerBenchTest, GroupCommitBoundsWrites) {
  for (int rate : {20, 200, 2000}) {
    for (size_t kilobytes : {64, 512}) {
      const BenchResult result = LedgerBench(rate, kilobytes * 1024).Run();
      EXPECT_LE(result.writes_per_second, kStoreWrites);
      EXPECT_LE(result.writes_per_claim, 2.1);
    }
  }
}

}  // namespace
}  // namespace boragewharf::ledger
