/**
 * @file ledger_test.cc
 * Tests of the ledger reducer with one or two owners over a plain store.
 */
#include "ledger/ledger_func.h"

#include <gtest/gtest.h>

#include <deque>

#include "base/result_func.h"
#include "ledger/shard_func.h"

namespace boragewharf::ledger {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MemberId kOwner{7};
constexpr MemberId kSuccessor{8};
constexpr MemberId kClaimant{100};
constexpr ShardId kShard{0};

/** One owner whose store operations wait until RunStore(). */
class LedgerTest : public testing::Test {
 protected:
  LedgerTest() {
    this->options.shard_count = 1;
    this->options.writes_per_second = 1e9;
  }

  void Start(MemberId self = kOwner) {
    this->state = MakeLedgerState(self, this->options, 1);
    this->pending.clear();
    this->Apply(OwnershipChanged{{kShard}, {self, kClaimant}});
    this->RunStore();
  }

  void Apply(const LedgerEvent& event) {
    std::vector<LedgerEffect> effects;
    Reduce(this->state, event, this->now, effects);
    for (LedgerEffect& effect : effects) {
      if (auto* claim = std::get_if<AnswerClaim>(&effect)) {
        this->verdicts[claim->call] = claim->result;
      } else if (auto* outcome = std::get_if<AnswerOutcome>(&effect)) {
        this->outcomes[outcome->call] = outcome->verdict;
      } else {
        this->pending.push_back(std::move(effect));
      }
    }
  }

  /** Executes all waiting operations; each succeeds or gets @p failure. */
  void RunStore(ResultCode failure = ResultCode::kOk) {
    while (!this->pending.empty()) {
      const LedgerEffect effect = std::move(this->pending.front());
      this->pending.pop_front();
      if (const auto* read = std::get_if<ReadShard>(&effect)) {
        this->Read(*read, failure);
      } else if (const auto* write = std::get_if<WriteShard>(&effect)) {
        this->Write(write->operation, write->name, write->body, failure);
      } else if (const auto* seal = std::get_if<WriteSegment>(&effect)) {
        this->Write(seal->operation, seal->name, seal->body, failure);
      } else if (const auto* gone = std::get_if<RemoveSegment>(&effect)) {
        this->store.erase(gone->name);
        this->Apply(SegmentRemoved{kShard, gone->name, true});
      }
    }
  }

  void Read(const ReadShard& read, ResultCode failure) {
    const auto it = this->store.find(read.name);
    if (failure != ResultCode::kOk || it == this->store.end()) {
      const ResultCode cause =
          failure != ResultCode::kOk ? failure : ResultCode::kStoreNotFound;
      this->Apply(ShardReadFailed{read.operation, kShard, read.name, cause});
      return;
    }
    this->Apply(ShardRead{read.operation, kShard, read.name, "v", it->second});
  }

  void Write(OperationId operation,
             const std::string& name,
             const std::string& body,
             ResultCode failure) {
    ++this->writes;
    if (failure != ResultCode::kOk) {
      this->Apply(ShardWriteFailed{operation, kShard, failure});
      return;
    }
    this->store[name] = body;
    this->Apply(ShardWritten{operation, kShard, "v"});
  }

  static ClaimRequest Request(uint64_t claim, const std::string& key = "k") {
    return {
        {claim, claim}, Sha256(key), Sha256("request of " + key), kClaimant};
  }

  CallId Send(const ClaimRequest& request, Duration patience = seconds(9)) {
    const CallId call{this->next_call++};
    this->Apply(
        ClaimRequested{call, request, this->now + patience, this->wall});
    return call;
  }

  ClaimVerdict Claim(const ClaimRequest& request) {
    const CallId call = this->Send(request);
    this->RunStore();
    return this->verdicts.at(call).verdict;
  }

  OutcomeVerdict Report(const ClaimRequest& request,
                        Outcome outcome,
                        const StoredAnswer& answer = {}) {
    const CallId call{this->next_call++};
    this->Apply(OutcomeReported{
        call, {request.claim, request.key, outcome, answer}, this->wall});
    this->RunStore();
    return this->outcomes.at(call);
  }

  void Pass(Duration time) {
    this->now += time;
    this->wall += std::chrono::duration_cast<milliseconds>(time);
    this->Apply(Tick{this->wall});
  }

  LedgerOptions options;
  LedgerState state;
  TimePoint now{seconds(50)};
  WallTime wall{seconds(1000000)};
  std::deque<LedgerEffect> pending;
  std::map<std::string, std::string> store;
  std::map<CallId, ClaimResult> verdicts;
  std::map<CallId, OutcomeVerdict> outcomes;
  uint64_t next_call = 1;
  int writes = 0;
};

// Guards against a request that is sent before its claim is durable, and
// against a grant after the claimant has given up, as after a pause of the
// owner between commit and answer.
TEST_F(LedgerTest, GrantNeedsATimelyWrite) {
  this->Start();
  const CallId early = this->Send(Request(1));
  EXPECT_FALSE(this->verdicts.contains(early));
  this->RunStore();
  EXPECT_EQ(this->verdicts.at(early).verdict, ClaimVerdict::kGranted);
  const CallId late = this->Send(Request(2, "other"), milliseconds(300));
  this->now += milliseconds(300);
  this->RunStore();
  EXPECT_EQ(this->verdicts.at(late).verdict, ClaimVerdict::kUnavailable);
  EXPECT_EQ(this->Report(Request(2, "other"), Outcome::kReleased),
            OutcomeVerdict::kRecorded);
  EXPECT_EQ(this->Claim(Request(3, "other")), ClaimVerdict::kGranted);
}

// Guards against a claimant that lost the answer and is told that its own
// claim is in flight, also by a successor of the owner.
TEST_F(LedgerTest, SameClaimGetsTheSameVerdict) {
  this->Start();
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kGranted);
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kGranted);
  EXPECT_EQ(this->Claim(Request(2)), ClaimVerdict::kInFlight);
  this->Start(kSuccessor);
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kGranted);
  EXPECT_EQ(this->Claim(Request(2)), ClaimVerdict::kInFlight);
}

// Guards against a key that is freed by a claim that does not hold it, and
// against a late duplicate that takes a released key.
TEST_F(LedgerTest, OnlyTheHolderReleases) {
  this->Start();
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kGranted);
  EXPECT_EQ(this->Report(Request(2), Outcome::kReleased),
            OutcomeVerdict::kNotHeld);
  EXPECT_EQ(this->Claim(Request(3)), ClaimVerdict::kInFlight);
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(this->Report(Request(1), Outcome::kReleased),
              OutcomeVerdict::kRecorded);
  }
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kUnavailable);
  EXPECT_EQ(this->Claim(Request(2)), ClaimVerdict::kUnavailable);
  EXPECT_EQ(this->Claim(Request(4)), ClaimVerdict::kGranted);
  EXPECT_EQ(this->Report(Request(1), Outcome::kReleased),
            OutcomeVerdict::kNotHeld);
  EXPECT_EQ(this->Claim(Request(5)), ClaimVerdict::kInFlight);
}

// Guards against an outcome that a repeated or contrary report changes, and
// against answers that do not come back as they were.
TEST_F(LedgerTest, OutcomeIsIdempotentAndReplayed) {
  this->Start();
  const StoredAnswer answer{201, "text/plain", std::string("\0\xff ok", 5)};
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kGranted);
  EXPECT_EQ(this->Report(Request(1), Outcome::kUnknown),
            OutcomeVerdict::kRecorded);
  EXPECT_EQ(this->Claim(Request(2)), ClaimVerdict::kUnresolved);
  EXPECT_EQ(this->Report(Request(1), Outcome::kFinished, answer),
            OutcomeVerdict::kRecorded);
  EXPECT_EQ(this->Report(Request(1), Outcome::kReleased),
            OutcomeVerdict::kRecorded);
  this->Start(kSuccessor);
  const CallId call = this->Send(Request(3));
  EXPECT_EQ(this->verdicts.at(call).verdict, ClaimVerdict::kReplay);
  EXPECT_EQ(this->verdicts.at(call).answer, answer);
  ClaimRequest reused = Request(4);
  reused.request = Sha256("another request");
  EXPECT_EQ(this->Claim(reused), ClaimVerdict::kReused);
}

// Guards against a second run after the claimant died, and against callers
// that wait for an answer which cannot come.
TEST_F(LedgerTest, ClaimOfADeadDaemonIsUnresolved) {
  this->Start();
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kGranted);
  this->Apply(OwnershipChanged{{kShard}, {kOwner}});
  EXPECT_EQ(this->Claim(Request(2)), ClaimVerdict::kUnresolved);
}

// Guards against claims that hang at a member that lost the shard.
TEST_F(LedgerTest, OwnerChangeAnswersWaitingClaims) {
  this->Start();
  const CallId written = this->Send(Request(1));
  const CallId waiting = this->Send(Request(2, "other"));
  this->Apply(OwnershipChanged{{}, {kOwner, kClaimant}});
  EXPECT_EQ(this->verdicts.at(written).verdict, ClaimVerdict::kNotOwner);
  EXPECT_EQ(this->verdicts.at(waiting).verdict, ClaimVerdict::kNotOwner);
  EXPECT_EQ(this->Claim(Request(3)), ClaimVerdict::kNotOwner);
}

// Guards against the loss of claims that a newer program, another division of
// keys or a fault wrote, and against grants without knowing them.
TEST_F(LedgerTest, UnusableObjectsAreLeftUnchanged) {
  ShardHeader header{kShard, 1, 1, kSuccessor, {1, 1}, {}};
  const std::string valid = ShardToJson(header, {});
  std::string newer = valid;
  newer.replace(newer.find("\"format\":1"), 10, "\"format\":2");
  header.shard_count = 4;
  for (const std::string& body :
       {newer, ShardToJson(header, {}), valid.substr(1), std::string("[]")}) {
    this->store[ShardName(kShard)] = body;
    this->Start();
    EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kUnavailable) << body;
    EXPECT_EQ(this->store[ShardName(kShard)], body);
  }
  EXPECT_EQ(this->writes, 0);
  this->store[ShardName(kShard)] = valid;
  this->Pass(seconds(31));
  this->RunStore();
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kGranted);
}

// Guards against a segment that is missing: its keys could be granted again.
TEST_F(LedgerTest, MissingSegmentBlocksUntilItsKeysExpire) {
  const ShardHeader header{kShard,     1,      1,
                           kSuccessor, {1, 1}, {{"shard-00-1-0", this->wall}}};
  this->store[ShardName(kShard)] = ShardToJson(header, {});
  this->Start();
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kUnavailable);
  EXPECT_EQ(this->state.totals.missing_segments, 1U);
  this->Pass(std::chrono::hours(24));
  this->RunStore();
  EXPECT_EQ(this->Claim(Request(1)), ClaimVerdict::kGranted);
}

// Guards against keys that are forgotten early or never, and against a full
// shard that runs a key twice or stays full for ever.
TEST_F(LedgerTest, FullShardRefusesUntilTheRetentionEnds) {
  this->options.object_bytes = 3000;
  this->options.segment_bytes = 3000;
  this->options.segment_limit = 3;
  this->Start();
  uint64_t granted = 0;
  while (this->Claim(Request(granted + 1, std::to_string(granted))) ==
         ClaimVerdict::kGranted) {
    ++granted;
    ASSERT_LT(granted, 1000U);
  }
  EXPECT_EQ(this->state.totals.claims[static_cast<size_t>(ClaimVerdict::kFull)],
            1U);
  EXPECT_EQ(this->state.totals.seals, 3U);
  EXPECT_EQ(this->Claim(Request(5000, "0")), ClaimVerdict::kInFlight);
  EXPECT_EQ(this->Report(Request(1, "0"), Outcome::kFinished,
                         {200, "", std::string(900, 'x')}),
            OutcomeVerdict::kRecorded);
  this->Pass(std::chrono::hours(24) - seconds(1));
  EXPECT_EQ(this->Claim(Request(5001, "1")), ClaimVerdict::kInFlight);
  this->Pass(std::chrono::minutes(20));
  for (int i = 0; i < 4; ++i) {
    this->RunStore();
    this->Pass(seconds(1));
  }
  EXPECT_EQ(this->Claim(Request(5002, "1")), ClaimVerdict::kGranted);
  EXPECT_EQ(this->store.size(), 1U) << "old segments are removed";
}

// Guards against calls that hang during an outage, against an outage that is
// made worse by retries, and against owners that return at the same moment.
TEST_F(LedgerTest, OutageIsAnsweredInTimeAndBacksOff) {
  this->Start();
  const CallId first = this->Send(Request(1));
  for (int i = 0; i < 600; ++i) {
    this->RunStore(ResultCode::kStoreUnavailable);
    this->Pass(milliseconds(100));
    EXPECT_EQ(this->verdicts.contains(first), i >= 19) << i;
    this->Send(Request(static_cast<uint64_t>(i) + 10, std::to_string(i)));
  }
  EXPECT_LT(this->writes, 40) << "in a minute";
  size_t waiting = 0;
  for (const auto& [id, shard] : this->state.shards) {
    waiting += shard.waiting.size();
  }
  EXPECT_LE(waiting, 21U) << "no older than 2 s";
  std::set<TimePoint> returns;
  for (uint64_t seed = 0; seed < 16; ++seed) {
    this->Start(MemberId{seed + 1000});
    this->state.random.seed(seed);
    this->Send(Request(seed + 1000000, "new" + std::to_string(seed)));
    this->RunStore(ResultCode::kStoreUnavailable);
    returns.insert(this->state.shards.at(kShard).next_attempt);
  }
  EXPECT_GT(returns.size(), 12U);
}

}  // namespace
}  // namespace boragewharf::ledger
