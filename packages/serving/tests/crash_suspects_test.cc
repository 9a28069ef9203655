/**
 * @file crash_suspects_test.cc
 * Counting of crashes under a request, and its spread between nodes.
 */
#include "serving/crash_suspects_base.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <numeric>
#include <optional>

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

// A request crashes each server that runs it, and the client sends it again.
TEST(CrashSuspectsTest, ThirdCrashOnAnyNodeBlocksTheRequest) {
  const uint64_t fingerprint = RequestFingerprint("school", "/a", "body");
  CrashSuspects suspects;
  suspects.CountCrash(fingerprint, kStart);
  EXPECT_FALSE(suspects.IsBlocked(fingerprint, kStart));
  suspects.SetRemote({{fingerprint, 2}});
  EXPECT_TRUE(suspects.IsBlocked(fingerprint, kStart));
  EXPECT_FALSE(
      suspects.IsBlocked(RequestFingerprint("school", "/a", "other"), kStart));
  suspects.ClearCrashes(fingerprint, kStart);
  EXPECT_FALSE(suspects.IsBlocked(fingerprint, kStart));
}

TEST(CrashSuspectsTest, ReportIsBoundedAndPrefersFrequentCrashes) {
  CrashSuspects suspects;
  for (uint64_t request = 0; request < 1000; ++request) {
    suspects.CountCrash(request, kStart + seconds(request / 100));
  }
  suspects.CountCrash(999, kStart + seconds(10));
  const auto report = suspects.Report(kStart + seconds(10));
  EXPECT_LE(report.size(), 16U);
  EXPECT_TRUE(report.contains(999));
}

// Guards against forgetting crashes with the process that has seen them.
TEST(CrashSuspectsTest, CrashesOutlastTheProcessThatHasSeenThem) {
  std::optional<CrashSuspects> first(std::in_place);
  CrashSuspects second;
  for (int i = 0; i < 3; ++i) {
    first->CountCrash(7, kStart);
  }
  EXPECT_EQ(second.Merge(first->All(kStart), kStart),
            (std::vector<uint64_t>{7}));
  EXPECT_TRUE(second.Merge(first->All(kStart), kStart).empty())
      << "the same crashes";
  first.emplace();
  EXPECT_FALSE(first->IsBlocked(7, kStart));
  first->Merge(second.All(kStart), kStart);
  EXPECT_TRUE(first->IsBlocked(7, kStart));
  EXPECT_EQ(first->All(kStart).crashes.size(), 3U);
  EXPECT_TRUE(first->Report(kStart).empty()) << "no crash of its own";
}

TEST(CrashSuspectsTest, ResponseClearsTheCrashesOnAllNodes) {
  CrashSuspects first;
  CrashSuspects second;
  first.CountCrash(7, kStart);
  first.CountCrash(7, kStart);
  const SuspectReport before = first.All(kStart);
  second.Merge(before, kStart);
  const TimePoint now = kStart + seconds(1);
  second.ClearCrashes(7, now);
  second.Merge(before, now);
  EXPECT_TRUE(second.All(now).crashes.empty()) << "told again too late";
  first.Merge(second.All(now), now);
  EXPECT_TRUE(first.All(now).crashes.empty());
  first.CountCrash(7, now + seconds(1));
  second.Merge(first.All(now + seconds(1)), now + seconds(1));
  EXPECT_EQ(second.All(now + seconds(1)).crashes.size(), 1U)
      << "after the response";
}

// Guards against three more crashes each time that a block has ended.
TEST(CrashSuspectsTest, OneCrashRenewsABlockThatHasEnded) {
  CrashSuspects suspects;
  for (int i = 0; i < 3; ++i) {
    suspects.CountCrash(7, kStart);
  }
  EXPECT_TRUE(suspects.IsBlocked(7, kStart + minutes(2) - seconds(1)));
  const TimePoint ended = kStart + minutes(2) + seconds(1);
  EXPECT_FALSE(suspects.IsBlocked(7, ended));
  suspects.CountCrash(7, ended);
  EXPECT_TRUE(suspects.IsBlocked(7, ended + minutes(4) - seconds(1)));
  EXPECT_FALSE(suspects.IsBlocked(7, ended + minutes(4) + seconds(1)));
}

TEST(CrashSuspectsTest, BlockedRequestsAreKeptAmongManySuspects) {
  CrashSuspects suspects;
  for (int i = 0; i < 3; ++i) {
    suspects.CountCrash(7, kStart);
  }
  for (uint64_t request = 100; request < 1100; ++request) {
    suspects.CountCrash(request, kStart + seconds(1));
  }
  EXPECT_TRUE(suspects.IsBlocked(7, kStart + seconds(1)));
  EXPECT_LE(suspects.All(kStart + seconds(1)).crashes.size(), 600U);
}

TEST(CrashSuspectsTest, AgesAreKeptInMessages) {
  CrashSuspects suspects;
  suspects.CountCrash(7, kStart);
  SuspectReport report = suspects.All(kStart);
  SetAges(report, kStart + seconds(3));
  report.crashes[0].crashed_at = {};
  SetTimes(report, kStart + seconds(4));
  EXPECT_EQ(report.crashes[0].crashed_at, kStart + seconds(1));
}

// Guards against a datagram that exceeds a packet, and against crashes that are
// never told because others come first.
TEST(CrashSuspectsTest, MessagesAreBoundedAndTellEverythingInTurn) {
  CrashSuspects suspects;
  for (uint64_t request = 0; request < 100; ++request) {
    suspects.CountCrash(request, kStart);
    suspects.CountCrash(request, kStart);
  }
  const TimePoint now = kStart + seconds(20);
  suspects.CountCrash(200, now);
  const SuspectReport all = suspects.All(now);
  CrashSuspects other;
  for (uint64_t turn = 0; turn < 60; ++turn) {
    const SuspectReport part = SelectForMessage(all, turn, true, now);
    EXPECT_LE(part.crashes.size(), 24U);
    EXPECT_EQ(part.crashes[0].request, 200U) << "the newest first";
    other.Merge(part, now);
  }
  EXPECT_EQ(other.All(now).crashes.size(), 201U);
}

// Guards against telling all nodes the same crashes over and over: this added
// 44 % to the traffic between regions on kbtc-wharf-grown, scale-1.
TEST(CrashSuspectsTest, OldCrashesAreRarelyToldToNodesThatKnowThem) {
  CrashSuspects suspects;
  for (uint64_t request = 0; request < 100; ++request) {
    suspects.CountCrash(request, kStart);
    suspects.CountCrash(request, kStart);
  }
  const TimePoint now = kStart + seconds(20);
  const SuspectReport all = suspects.All(now);
  size_t told = 0;
  for (uint64_t turn = 0; turn < 160; ++turn) {
    told += SelectForMessage(all, turn, false, now).crashes.size();
  }
  EXPECT_GT(told, 0U) << "messages may have been lost";
  EXPECT_LE(told, 2U * 160);
  CrashSuspects other;
  other.Merge(all, now);
  EXPECT_LE(SelectForMessage(other.All(now), 1, false, now).crashes.size(), 0U)
      << "those who have seen a crash tell it";
}

/** Runs nodes that lose messages and restart while clients send requests that
 * crash servers. */
class SuspectSpread {
 public:
  static constexpr size_t kNodes = 6;
  static constexpr uint64_t kRequests = 40;
  static constexpr milliseconds kPeriod{200};
  static constexpr seconds kContactTime{4};
  static constexpr size_t kCrashesBeforeRefusal = 3;

  explicit SuspectSpread(uint32_t seed) : random(seed) {}

  void Run(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kPeriod;
      this->turn += 1;
      this->ExchangeMessages();
      if (this->Chance(0.05)) {
        this->RestartSome();
      }
      this->SendRequest();
    }
  }

  /** Largest number of crashes under retries at nodes in touch, later than the
   * contact time after the third crash of the request. */
  uint32_t WorstLateCrashes() const {
    uint32_t worst = 0;
    for (const Request& request : this->requests) {
      worst = std::max(worst, request.late_crashes);
    }
    return worst;
  }

 private:
  struct Node {
    CrashSuspects suspects;
    TimePoint started = kStart - kContactTime;

    bool IsNewcomer(TimePoint now) const {
      constexpr seconds kNewcomerTime(10);
      return now - this->started < kNewcomerTime;
    }
  };
  struct Request {
    size_t crashes = 0;
    TimePoint third_crash;
    uint32_t late_crashes = 0;
  };

  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(this->random);
  }

  bool InTouch(const Node& node) const {
    return this->now - node.started > kContactTime;
  }

  void ExchangeMessages() {
    constexpr double kLoss = 0.2;
    for (size_t from = 0; from < kNodes; ++from) {
      const SuspectReport all = this->nodes[from].suspects.All(this->now);
      for (size_t to = 0; to < kNodes; ++to) {
        if (to == from || this->Chance(kLoss)) {
          continue;
        }
        Node& receiver = this->nodes[to];
        receiver.suspects.Merge(
            SelectForMessage(all, this->turn, receiver.IsNewcomer(this->now),
                             this->now),
            this->now);
      }
    }
  }

  /** Ends one to five nodes at once; one that is in touch goes on. */
  void RestartSome() {
    const size_t kept = this->random() % kNodes;
    if (!this->InTouch(this->nodes[kept])) {
      return;
    }
    const size_t count = 1 + this->random() % (kNodes - 1);
    for (size_t i = 1; i <= count; ++i) {
      this->nodes[(kept + i) % kNodes] = Node{{}, this->now};
    }
  }

  void SendRequest() {
    Request& request = this->requests[this->random() % kRequests];
    const uint64_t fingerprint =
        static_cast<uint64_t>(&request - this->requests.data());
    Node& node = this->nodes[this->random() % kNodes];
    if (!this->InTouch(node) ||
        node.suspects.IsBlocked(fingerprint, this->now)) {
      return;
    }
    const bool late = request.crashes >= kCrashesBeforeRefusal &&
                      this->now - request.third_crash > kContactTime;
    request.late_crashes += late ? 1 : 0;
    request.crashes += 1;
    if (request.crashes == kCrashesBeforeRefusal) {
      request.third_crash = this->now;
    }
    node.suspects.CountCrash(fingerprint, this->now);
  }

  std::mt19937 random;
  TimePoint now = kStart;
  uint64_t turn = 0;
  std::vector<Node> nodes{kNodes};
  std::vector<Request> requests{kRequests};
};

/** Seeds from 1 on, more in runs by hand, and then those that failed while new
 * crashes kept the older ones out of all messages, or single ones were not told
 * to new processes (11). */
std::vector<uint32_t> Seeds() {
  constexpr uint32_t kDefault = 10;
  const char* text = std::getenv("BORAGEWHARF_TEST_SEEDS");
  std::vector<uint32_t> seeds(
      text == nullptr ? kDefault : static_cast<uint32_t>(std::atoi(text)));
  std::iota(seeds.begin(), seeds.end(), 1);
  seeds.insert(seeds.end(), {11, 27, 28, 40, 44, 69, 77});
  return seeds;
}

// Guards against sending a request that crashes servers more than three times
// after its third crash, whichever nodes restart and whatever messages are
// lost. The time is shorter than the first block.
TEST(CrashSuspectsSpreadTest, RestartsAndLossesForgetNoBlock) {
  for (const uint32_t seed : Seeds()) {
    SuspectSpread spread(seed);
    spread.Run(seconds(110));
    EXPECT_LE(spread.WorstLateCrashes(), 3U) << "seed " << seed;
  }
}

}  // namespace
}  // namespace boragewharf::serving
