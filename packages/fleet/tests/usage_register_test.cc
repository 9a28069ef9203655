/**
 * @file usage_register_test.cc
 * Fixing of usage counts with a store whose answers are lost and whose writes
 * are late.
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

/** An object that is changed only at an expected revision. */
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

/** A write that is under way, perhaps long after its writer gave it up. */
struct OpenWrite {
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

// Guards against a window that gets other counts than it has, or any after it
// was closed, and against a register that grows without bound.
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

// Guards against two sets of counts of one window when writers interleave,
// clocks jump, answers are lost and writes take effect late.
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
    std::vector<OpenWrite> open;
    std::map<int64_t, NamedCounts> known;  ///< Told to any writer.
    std::vector<int64_t> clocks(kWriters, 100);
    uint32_t next_count = 0;
    const auto tell = [&](int64_t window, const NamedCounts& counts) {
      const auto entry = known.try_emplace(window, counts).first;
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
      if (below(2) == 0 || open.empty()) {
        // Reads and decides; the write is sent.
        const int64_t window = clock - 1 - below(3);
        const UsageDecision decision =
            DecideUsage(store.content, {window, {{"school", ++next_count}}});
        if (decision.step == Step::kRepeat) {
          ++repeated;
          tell(window, decision.counts);
        } else if (decision.step == Step::kWrite) {
          open.push_back({window, store.revision, decision});
        }
        continue;
      }
      // Any write that is under way takes effect, late ones too.
      const size_t at = below(static_cast<uint32_t>(open.size()));
      const OpenWrite write = open[at];
      late += at + 1 < open.size() ? 1 : 0;
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
      if (!store.Write(write.expected, write.decision.next)) {
        ++conflicts;
        continue;
      }
      ++fixed;
      EXPECT_LE(store.content.fixed.size(), kStoredWindows);
      if (below(4) != 0) {  // Otherwise the answer is lost.
        tell(write.window, write.decision.counts);
      }
    }
  }
  // The runs have met what they are to guard against.
  EXPECT_GT(fixed, kRuns);
  EXPECT_GT(repeated, kRuns);
  EXPECT_GT(conflicts, kRuns);
  EXPECT_GT(late, kRuns);
}

}  // namespace
}  // namespace boragewharf::fleet
