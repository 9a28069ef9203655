/**
 * @file usage_register_test.cc
 * Recording of final usage counts in a store that loses responses and applies
 * writes late.
 */
#include "fleet/usage_register_func.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

namespace boragewharf::fleet {
namespace {

using Step = UsageDecision::Step;

/** A stored object that only supports conditional writes at an expected
 * revision. */
class ConditionalStore {
 public:
  /** @param expected Empty: the object must not exist. */
  bool Write(std::optional<uint64_t> expected, const UsageRegister& next) {
    if (expected != this->revision) {
      return false;
    }
    this->revision = this->revision.value_or(0) + 1;
    this->content = next;
    return true;
  }

  std::optional<uint64_t> revision;
  UsageRegister content;
};

/** A write that was sent and has not been applied yet; its writer may have
 * given it up. */
struct PendingWrite {
  int64_t window = 0;
  std::optional<uint64_t> expected;
  UsageDecision decision;
};

UsageRegister MakeRegister(int64_t closed,
                           const std::vector<int64_t>& windows) {
  UsageRegister usage;
  usage.closed_through = closed;
  for (const int64_t window : windows) {
    usage.fixed[window] = {{"school", static_cast<uint32_t>(window)}};
  }
  return usage;
}

// Guards against changing a window's counts, recording a window that is closed,
// and unbounded growth of the register.
TEST(UsageRegisterTest, EachWindowIsFixedOnceAndTheLowestGiveWay) {
  const auto expect = [](const char* what, const UsageRegister& current,
                         int64_t window, Step step, const UsageRegister& next) {
    const NamedCounts counts = {
        {"school", static_cast<uint32_t>(std::max<int64_t>(window, 0))}};
    const UsageDecision decision = DecideUsage(current, {window, counts});
    EXPECT_EQ(decision.step, step) << what;
    EXPECT_EQ(decision.next.closed_through, next.closed_through) << what;
    EXPECT_EQ(decision.next.fixed, next.fixed) << what;
    EXPECT_EQ(decision.counts, step == Step::kClosed ? NamedCounts{} : counts)
        << what;
  };
  const UsageRegister none;
  const UsageRegister full = MakeRegister(9, {10, 11, 12, 13, 14, 15, 16, 17});
  expect("nothing is fixed", none, 3, Step::kWrite, MakeRegister(-1, {3}));
  expect("first window of all", none, 0, Step::kWrite, MakeRegister(-1, {0}));
  expect("time before the first window", none, -1, Step::kClosed, none);
  expect("fixed before", full, 10, Step::kRepeat, none);
  expect("closed", full, 9, Step::kClosed, none);
  expect("between fixed ones", MakeRegister(9, {10, 12}), 11, Step::kWrite,
         MakeRegister(9, {10, 11, 12}));
  expect("next", full, 18, Step::kWrite,
         MakeRegister(10, {11, 12, 13, 14, 15, 16, 17, 18}));
  expect("far ahead", full, 900, Step::kWrite,
         MakeRegister(10, {11, 12, 13, 14, 15, 16, 17, 900}));
  expect("below all that are kept",
         MakeRegister(3, {10, 11, 12, 13, 14, 15, 16, 17}), 5, Step::kWrite,
         MakeRegister(5, {10, 11, 12, 13, 14, 15, 16, 17}));
  expect("fixed though below the closed one", MakeRegister(11, {10, 12}), 10,
         Step::kRepeat, none);
}

// Guards against two different sets of counts for one window when writers
// interleave, clocks step, responses are lost and writes are applied late.
TEST(UsageRegisterTest, WindowHasOneSetOfCountsInRandomRuns) {
  constexpr uint32_t kRuns = 300;
  constexpr int kSteps = 600;
  constexpr size_t kWriters = 3;
  uint64_t fixed = 0;
  uint64_t repeated = 0;
  uint64_t conflicts = 0;
  uint64_t late = 0;
  for (uint32_t seed = 1; seed <= kRuns; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&random](uint32_t bound) {
      return static_cast<uint32_t>(random() % bound);
    };
    ConditionalStore store;
    std::vector<PendingWrite> pending;
    /** Final counts that any writer has learned. */
    std::map<int64_t, NamedCounts> known_counts;
    std::vector<int64_t> clocks(kWriters, 100);
    uint32_t next_count = 0;
    const auto check_counts = [&](int64_t window, const NamedCounts& counts) {
      const auto entry = known_counts.try_emplace(window, counts).first;
      EXPECT_EQ(entry->second, counts)
          << "seed " << seed << " window " << window;
    };
    for (int step = 0; step < kSteps; ++step) {
      const size_t writer = below(kWriters);
      int64_t& clock = clocks[writer];
      clock += below(6) == 0 ? 1 : 0;
      if (below(40) == 0) {
        clock += static_cast<int64_t>(below(41)) - 20;
      }
      if (below(2) == 0 || pending.empty()) {
        // The writer reads the register, decides and sends a write.
        const int64_t window = clock - 1 - below(3);
        const UsageDecision decision =
            DecideUsage(store.content, {window, {{"school", ++next_count}}});
        if (decision.step == Step::kRepeat) {
          ++repeated;
          check_counts(window, decision.counts);
        } else if (decision.step == Step::kWrite) {
          pending.push_back({window, store.revision, decision});
        }
        continue;
      }
      // Any pending write may be applied now, including late ones.
      const size_t at = below(static_cast<uint32_t>(pending.size()));
      const PendingWrite write = pending[at];
      late += at + 1 < pending.size() ? 1 : 0;
      pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(at));
      if (!store.Write(write.expected, write.decision.next)) {
        ++conflicts;
        continue;
      }
      ++fixed;
      EXPECT_LE(store.content.fixed.size(), kStoredWindows);
      if (below(4) != 0) {  // Otherwise the response is lost.
        check_counts(write.window, write.decision.counts);
      }
    }
  }
  // The random runs have covered each of these cases.
  EXPECT_GT(fixed, kRuns);
  EXPECT_GT(repeated, kRuns);
  EXPECT_GT(conflicts, kRuns);
  EXPECT_GT(late, kRuns);
}

// Guards against recording a window again whose counts were reported before the
// store came back from a copy: neither the copy nor the new holder knows it.
TEST(UsageRegisterEraTest, WindowsOfALostHistoryAreClosed) {
  UsageRegister copy;
  copy.era = 1;
  copy.fixed[9] = {{"school", 3}};
  FixUsage usage{8, {{"school", 4}}};
  usage.may_be_reported_through = 7;
  usage.known[6] = {{"school", 5}};
  EXPECT_EQ(DecideUsage(copy, usage, 2).step, UsageDecision::Step::kClosed);
  usage.window = 9;
  EXPECT_EQ(DecideUsage(copy, usage, 2).step, UsageDecision::Step::kClosed);
  usage.window = 6;
  const UsageDecision known = DecideUsage(copy, usage, 2);
  EXPECT_EQ(known.step, UsageDecision::Step::kRepeat);
  EXPECT_EQ(known.counts, usage.known[6]);
  usage.window = 10;
  const UsageDecision next = DecideUsage(copy, usage, 2);
  EXPECT_EQ(next.step, UsageDecision::Step::kWrite);
  EXPECT_EQ(next.next.era, 2U);
  EXPECT_EQ(next.next.closed_through, 9);
  EXPECT_EQ(next.next.fixed.size(), 2U);
}

}  // namespace
}  // namespace boragewharf::fleet
