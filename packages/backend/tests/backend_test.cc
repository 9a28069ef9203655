/**
 * @file backend_test.cc
 * Tests of the table of backend servers.
 */
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "backend/backend_func.h"

namespace boragewharf::backend {
namespace {

constexpr Duration kDecision = std::chrono::seconds(4);

Fingerprint Print(const std::string& text) {
  return Sha256(text);
}

/** A table with its clock; probes are answered from `dead`. */
class BackendTest : public testing::Test {
 protected:
  BackendTest() { this->List(12, 3); }

  void List(int count, int zones) {
    InstancesListed listed;
    for (int i = 0; i < count; ++i) {
      ListedServer row;
      row.server.instance = "s" + std::to_string(i);
      row.server.service = "wharf-llm";
      row.server.zone = "zone" + std::to_string(i % zones);
      listed.servers.push_back(row);
    }
    this->Apply(listed);
  }

  void Apply(const BackendEvent& event) {
    std::vector<BackendEffect> effects;
    Reduce(this->state, event, this->now, effects);
    for (const BackendEffect& effect : effects) {
      this->all.push_back(effect);
      if (const auto* probe = std::get_if<ProbeServer>(&effect)) {
        const bool gone = this->dead.contains(probe->instance);
        this->Apply(ServerObserved{
            probe->instance,
            gone ? Observation::kConnectRefused : Observation::kConnected,
            {}});
      }
    }
  }

  void Pass(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(250);
      this->Apply(Tick{});
    }
  }

  /** The server dies while it runs these requests. */
  void Crash(const std::string& instance, std::vector<Fingerprint> running) {
    this->dead.insert(instance);
    this->Apply(ServerObserved{instance, Observation::kFailedInAnswer,
                               std::move(running)});
  }

  template <class Effect>
  size_t Count() const {
    return static_cast<size_t>(std::count_if(
        this->all.begin(), this->all.end(),
        [](const auto& item) { return std::holds_alternative<Effect>(item); }));
  }

  BackendStatus Status(const std::string& instance) const {
    return this->state.servers.at(instance).server.status;
  }

  size_t InUse() const {
    size_t count = 0;
    for (const auto& [name, entry] : this->state.servers) {
      count += entry.server.status == BackendStatus::kReady ? 1 : 0;
    }
    return count;
  }

  BackendState state = MakeBackendState({}, 1);
  TimePoint now{std::chrono::seconds(100)};
  std::set<std::string> dead;
  std::vector<BackendEffect> all;
};

// Guards against new work for a leaving server, whatever the lagging list
// says later, and against news that circulate forever.
TEST_F(BackendTest, LeavingIsFinalAndSpreadOnce) {
  this->Apply(LeavingNews{"s1", {}});
  this->Apply(LeavingNews{"s1", {}});
  this->List(12, 3);
  this->Apply(ServerObserved{"s1", Observation::kAnswered, {}});
  EXPECT_EQ(this->Status("s1"), BackendStatus::kLeaving);
  EXPECT_EQ(this->Count<LeavingNews>(), 1U);
  this->Apply(ReclaimNoticed{"s1", this->now + std::chrono::seconds(30)});
  EXPECT_EQ(this->Count<LeavingNews>(), 2U) << "the deadline is news";
}

// Guards against news that arrive before the lagging list.
TEST_F(BackendTest, LeavingNewsBeforeTheListAreKept) {
  this->Apply(LeavingNews{"s20", this->now + std::chrono::seconds(9)});
  this->List(21, 3);
  EXPECT_EQ(this->Status("s20"), BackendStatus::kLeaving);
  EXPECT_EQ(this->state.servers.at("s20").server.reclaim_deadline,
            this->now + std::chrono::seconds(9));
}

// Guards against a pool that ejection empties, also when others leave later.
TEST_F(BackendTest, EjectionKeepsHalfOfThePool) {
  for (int i = 0; i < 12; ++i) {
    this->Apply(ServerObserved{
        "s" + std::to_string(i), Observation::kConnectRefused, {}});
  }
  EXPECT_EQ(this->InUse(), 6U);
  for (int i = 6; i < 10; ++i) {
    this->Apply(LeavingNews{"s" + std::to_string(i), {}});
  }
  EXPECT_EQ(this->InUse(), 4U) << "8 servers are not leaving";
}

// Guards against constant trials of a server that stays dead.
TEST_F(BackendTest, EjectionGrows) {
  Duration previous{0};
  for (int i = 0; i < 5; ++i) {
    this->Apply(ServerObserved{"s3", Observation::kConnectRefused, {}});
    ASSERT_EQ(this->Status("s3"), BackendStatus::kEjected);
    const Duration time =
        this->state.servers.at("s3").ejected_until - this->now;
    EXPECT_GT(time, previous);
    previous = time;
    this->Pass(time + std::chrono::seconds(1));
    EXPECT_EQ(this->Status("s3"), BackendStatus::kReady);
  }
}

// Guards against a request that takes down one server after another.
TEST_F(BackendTest, SecondCrashConvicts) {
  const Fingerprint bad = Print("bad");
  const Fingerprint good = Print("good");
  this->Crash("s1", {bad, good});
  EXPECT_EQ(StatusOf(this->state, bad), SuspectStatus::kAlone) << "at once";
  this->Pass(kDecision);
  EXPECT_EQ(StatusOf(this->state, good), SuspectStatus::kAlone);
  this->Apply(ServerObserved{"s2", Observation::kAnswered, {good}});
  EXPECT_EQ(StatusOf(this->state, good), SuspectStatus::kClear);
  this->Crash("s5", {bad, Print("bystander")});
  this->Pass(kDecision);
  EXPECT_EQ(StatusOf(this->state, bad), SuspectStatus::kRefused);
  EXPECT_EQ(StatusOf(this->state, Print("bystander")), SuspectStatus::kClear);
  this->Pass(std::chrono::minutes(11));
  EXPECT_EQ(StatusOf(this->state, bad), SuspectStatus::kClear);
}

// Guards against crashes that daemons count separately or twice.
TEST_F(BackendTest, CrashNewsAddUpAndAreIdempotent) {
  const Fingerprint bad = Print("bad");
  const CrashNews first{bad, {1}, false};
  this->Apply(first);
  this->Apply(first);
  EXPECT_EQ(StatusOf(this->state, bad), SuspectStatus::kAlone);
  EXPECT_EQ(this->Count<CrashNews>(), 1U);
  this->Apply(CrashNews{bad, {1, 2}, true});
  EXPECT_EQ(StatusOf(this->state, bad), SuspectStatus::kRefused);
}

// Guards against blame for lost connections, leaving servers and servers that
// the platform took away without a notice.
TEST_F(BackendTest, OtherFailuresAreNotCrashes) {
  const Fingerprint request = Print("request");
  this->Apply(ServerObserved{"s0", Observation::kFailedInAnswer, {request}});
  this->Pass(kDecision);
  this->Crash("s1", {request});
  this->Apply(ReclaimNoticed{"s1", this->now});
  this->Pass(kDecision);
  this->Crash("s11", {request});
  this->List(11, 3);
  this->Pass(kDecision);
  EXPECT_EQ(StatusOf(this->state, request), SuspectStatus::kClear);
  EXPECT_EQ(this->state.totals.crashes, 0U);
}

// Guards against innocent requests that are refused because a zone dies
// without notice while they move from one of its servers to the next.
TEST_F(BackendTest, WaveConvictsNobody) {
  const Fingerprint moved = Print("moved");
  for (const char* instance : {"s0", "s3", "s6", "s9"}) {
    this->dead.insert(instance);
  }
  this->Crash("s0", {moved, Print("a")});
  this->now += std::chrono::milliseconds(300);
  this->Crash("s3", {moved});
  this->Pass(kDecision);
  EXPECT_EQ(StatusOf(this->state, moved), SuspectStatus::kClear);
  EXPECT_EQ(StatusOf(this->state, Print("a")), SuspectStatus::kClear);
}

// Guards against a request that hides behind the guard for waves: it crashes
// several servers of one zone quickly, and nothing else fails.
TEST_F(BackendTest, FastCrashesOfOneRequestAreNoWave) {
  const Fingerprint bad = Print("bad");
  this->Crash("s0", {bad, Print("a")});
  this->now += std::chrono::milliseconds(300);
  this->Crash("s3", {bad, Print("b")});
  this->now += std::chrono::milliseconds(300);
  this->Crash("s6", {bad, Print("c")});
  this->Pass(kDecision);
  EXPECT_EQ(StatusOf(this->state, bad), SuspectStatus::kRefused);
  for (const char* innocent : {"a", "b", "c"}) {
    EXPECT_NE(StatusOf(this->state, Print(innocent)), SuspectStatus::kRefused);
  }
}

// Guards against memory that callers can grow with ever new requests.
TEST_F(BackendTest, MemoryIsBounded) {
  for (int i = 0; i < 10000; ++i) {
    const std::string number = std::to_string(i);
    this->Apply(CrashNews{Print(number), {static_cast<uint64_t>(i)}, false});
    this->Apply(LeavingNews{"x" + number, {}});
    this->Apply(ServerObserved{"s" + std::to_string(i % 12),
                               Observation::kFailedInAnswer,
                               {Print(number)}});
  }
  EXPECT_LE(this->state.suspects.size(), this->state.options.suspects);
  EXPECT_LE(this->state.leaving.size(), this->state.options.leaving);
  EXPECT_LE(this->state.failures.size(), this->state.options.failures);
}

}  // namespace
}  // namespace boragewharf::backend
