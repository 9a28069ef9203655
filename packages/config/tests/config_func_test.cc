/**
 * @file config_func_test.cc
 * Tests of the reducer and of the acceptance rule, one situation each.
 */
#include "config/config_func.h"

#include <gtest/gtest.h>

#include "config/document_cmd.h"
#include "config/document_json_func.h"
#include "config/ticket_func.h"
#include "fake_store.h"

namespace boragewharf::config {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Body(uint64_t number,
                 uint64_t base,
                 const std::string& service = "s") {
  const json object = {
      {"kind", "service"}, {"name", service}, {"type", "model"}};
  return json{
      {"ticket", number}, {"base", base}, {"set", json::array({object})}}
      .dump();
}

ObservedMember Peer(uint64_t id, uint64_t held, uint64_t accepted = 0) {
  return {MemberId{id}, "entry-" + std::to_string(id), ConfigRevision{held},
          ConfigRevision{accepted}};
}

/** One reducer whose effects are answered by hand. */
class ConfigReducerTest : public testing::Test {
 protected:
  void Send(const ConfigEvent& event, Duration later = milliseconds(1)) {
    this->now += later;
    this->effects.clear();
    Reduce(this->state, event, this->now, this->effects);
  }

  template <class Effect>
  std::optional<Effect> Find() const {
    for (const ConfigEffect& effect : this->effects) {
      if (const auto* found = std::get_if<Effect>(&effect)) {
        return *found;
      }
    }
    return std::nullopt;
  }

  /** Answers the read in flight, and the next one if it is due at once. */
  void ReadStore() {
    this->Send(this->store.Read(0));
    if (this->Find<ReadDocument>()) {
      this->Send(this->store.Read(0));
    }
  }

  /** Applies the write that the last event caused. */
  StoreWritten ApplyWrite() {
    const auto write = this->Find<WriteDocument>();
    EXPECT_TRUE(write);
    EXPECT_TRUE(this->store.Write(*write));
    return {write->write_id, this->store.Version()};
  }

  /** Submits a ticket and confirms its staging. */
  void StageTicket(const std::string& body) {
    this->Send(TicketSubmitted{SubmissionId{1}, body});
    this->ReadStore();
    this->Send(this->ApplyWrite());
  }

  /** Another member writes to the store. */
  void WriteElsewhere(const Document& document) {
    const WriteDocument write{this->store.Version(), "other",
                              SerializeDocument(document, "other")};
    ASSERT_TRUE(this->store.Write(write));
  }

  Document WithStaged(const std::string& body) const {
    std::vector<JsonFault> faults;
    Document document = this->state.document;
    CmdStageTicket(document, *ParseTicket(body, faults), CommandMode::kExecute);
    return document;
  }

  ConfigState state{MemberId{1}, 42};
  FakeStore store;
  TimePoint now{seconds(100)};
  std::vector<ConfigEffect> effects;
};

TEST_F(ConfigReducerTest, LoneMemberAcceptsAtOnce) {
  this->Send(MembersObserved{{}, {}, true, {}});
  this->StageTicket(Body(1, 0));
  this->Send(this->ApplyWrite());
  EXPECT_EQ(this->Find<AnswerTicket>()->code, ResultCode::kOk);
  EXPECT_EQ(this->Find<PublishConfiguration>()->configuration.revision.value,
            1U);
}

// Guards against acceptance before the member table is known.
TEST_F(ConfigReducerTest, WaitsForTheMemberTable) {
  this->StageTicket(Body(1, 0));
  EXPECT_FALSE(this->Find<WriteDocument>());
  EXPECT_EQ(this->Find<HeldRevisionChanged>()->held.value, 1U);
}

TEST_F(ConfigReducerTest, PendingAnswerNamesTheMembers) {
  this->Send(MembersObserved{{Peer(2, 0), Peer(3, 1)}, {"entry-9"}, true, {}});
  this->StageTicket(Body(1, 0));
  this->Send(Tick{}, kAnswerBound);
  const auto answer = this->Find<AnswerTicket>();
  EXPECT_EQ(answer->code, ResultCode::kTicketPending);
  EXPECT_EQ(answer->waiting_for,
            (std::vector<std::string>{"entry-2", "entry-9"}));
}

TEST_F(ConfigReducerTest, RefusesWhileTheStoreIsOut) {
  this->Send(Tick{});
  this->Send(StoreReadFailed{ResultCode::kStoreUnavailable});
  this->Send(TicketSubmitted{SubmissionId{1}, Body(1, 0)});
  ASSERT_TRUE(this->Find<ReadDocument>());
  this->Send(StoreReadFailed{ResultCode::kStoreUnavailable});
  EXPECT_EQ(this->Find<AnswerTicket>()->code, ResultCode::kStoreUnavailable);
  EXPECT_FALSE(this->Find<WriteDocument>());
}

// Guards against a refusal of a ticket whose write took effect.
TEST_F(ConfigReducerTest, ReadsBackAfterALostAnswer) {
  this->Send(TicketSubmitted{SubmissionId{1}, Body(1, 0)});
  this->ReadStore();
  const StoreWritten written = this->ApplyWrite();
  this->Send(StoreWriteFailed{written.write_id, ResultCode::kStoreUnknown});
  EXPECT_FALSE(this->Find<AnswerTicket>());
  this->Send(StoreReadFailed{ResultCode::kStoreUnavailable});
  EXPECT_FALSE(this->Find<AnswerTicket>());
  this->Send(Tick{}, seconds(2));
  this->Send(MembersObserved{{}, {}, true, {}});
  this->ReadStore();
  this->Send(this->ApplyWrite());
  EXPECT_EQ(this->Find<AnswerTicket>()->code, ResultCode::kOk);
}

// Guards against a stale read that makes a ticket look as if not written.
TEST_F(ConfigReducerTest, StaleReadBackIsFoundOutByTheNextWrite) {
  this->Send(TicketSubmitted{SubmissionId{1}, Body(1, 0)});
  this->ReadStore();
  const StoreWritten written = this->ApplyWrite();
  this->Send(StoreWriteFailed{written.write_id, ResultCode::kStoreUnknown});
  this->Send(StoreRead{});
  EXPECT_FALSE(this->Find<AnswerTicket>());
  this->Send(Tick{}, seconds(1));
  const auto again = this->Find<WriteDocument>();
  ASSERT_TRUE(again);
  EXPECT_FALSE(this->store.Write(*again));
  this->Send(StoreWriteFailed{again->write_id, ResultCode::kStoreConflict});
  this->Send(StoreRead{});
  EXPECT_FALSE(this->Find<AnswerTicket>());
  this->Send(Tick{}, seconds(1));
  this->ReadStore();
  EXPECT_EQ(HeldRevision(this->state.document).value, 1U);
  EXPECT_FALSE(this->Find<AnswerTicket>());
}

// Guards against an endless wait, and against a false "not run".
TEST_F(ConfigReducerTest, UnknownOutcomeIsSaidAfterTheBound) {
  this->Send(TicketSubmitted{SubmissionId{1}, Body(1, 0)});
  this->ReadStore();
  const std::string write_id = this->Find<WriteDocument>()->write_id;
  this->Send(StoreWriteFailed{write_id, ResultCode::kStoreUnknown});
  this->Send(StoreReadFailed{ResultCode::kStoreUnavailable});
  this->Send(Tick{}, kAnswerBound);
  EXPECT_EQ(this->Find<AnswerTicket>()->code, ResultCode::kStoreUnknown);
}

TEST_F(ConfigReducerTest, LosingWriterNamesTheStagedTicket) {
  this->Send(TicketSubmitted{SubmissionId{1}, Body(1, 0)});
  this->ReadStore();
  const auto write = this->Find<WriteDocument>();
  this->WriteElsewhere(this->WithStaged(Body(2, 0)));
  EXPECT_FALSE(this->store.Write(*write));
  this->Send(StoreWriteFailed{write->write_id, ResultCode::kStoreConflict});
  this->ReadStore();
  this->Send(Tick{}, seconds(1));
  const auto answer = this->Find<AnswerTicket>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->code, ResultCode::kTicketConflict);
  EXPECT_EQ(answer->conflict, TicketNumber{2});
}

// Guards against a repeat that is applied twice or refused.
TEST_F(ConfigReducerTest, RepeatGetsTheSameAnswer) {
  this->Send(MembersObserved{{}, {}, true, {}});
  this->StageTicket(Body(1, 0));
  this->Send(this->ApplyWrite());
  this->Send(TicketSubmitted{SubmissionId{2}, Body(1, 0)});
  EXPECT_EQ(this->Find<AnswerTicket>()->code, ResultCode::kOk);
  EXPECT_EQ(this->Find<AnswerTicket>()->revision.value, 1U);
  this->Send(TicketSubmitted{SubmissionId{3}, Body(1, 0, "t")});
  EXPECT_EQ(this->Find<AnswerTicket>()->code, ResultCode::kTicketNumberUsed);
}

// Guards against a ticket that stays staged when its coordinator dies.
TEST_F(ConfigReducerTest, AnotherMemberFinishes) {
  const uint64_t other = 2;
  this->Send(MembersObserved{{Peer(other, 1)}, {}, true, {}});
  this->WriteElsewhere(this->WithStaged(Body(1, 0)));
  this->ReadStore();
  const bool first = this->Find<WriteDocument>().has_value();
  this->Send(MembersObserved{{}, {"entry-2"}, true, {}});
  this->Send(Tick{}, kUnheardRunOut);
  this->Send(Tick{}, kTakeoverDelay + seconds(1));
  EXPECT_TRUE(first || this->state.write);
}

// Guards against a write on the base of a version that is not known.
TEST_F(ConfigReducerTest, NewerPeerDocumentIsHeldAndReadBeforeWrites) {
  this->Send(Tick{});
  this->ReadStore();
  const Document staged = this->WithStaged(Body(1, 0));
  this->Send(PeerDocument{MemberId{2}, SerializeDocument(staged, "")});
  EXPECT_EQ(HeldRevision(this->state.document).value, 1U);
  EXPECT_FALSE(this->state.sync.version);
  this->Send(MembersObserved{{}, {}, true, {}});
  this->Send(Tick{}, seconds(3));
  EXPECT_TRUE(this->Find<ReadDocument>());
  this->ReadStore();
  EXPECT_EQ(HeldRevision(this->state.document).value, 1U);
  EXPECT_FALSE(this->Find<WriteDocument>());
  this->WriteElsewhere(staged);
  this->Send(Tick{}, seconds(3));
  this->ReadStore();
  EXPECT_TRUE(this->Find<WriteDocument>());
}

TEST_F(ConfigReducerTest, FetchesFromAPeerThatIsAhead) {
  this->Send(MembersObserved{{Peer(2, 3), Peer(3, 0)}, {}, true, {}});
  EXPECT_EQ(this->Find<FetchFromPeer>()->peer, MemberId{2});
  this->Send(MembersObserved{{Peer(2, 4)}, {}, true, {}});
  EXPECT_FALSE(this->Find<FetchFromPeer>()) << "one fetch at a time";
}

// Guards against a member that overwrites what it cannot read.
TEST_F(ConfigReducerTest, LeavesANewerFormatUnchanged) {
  this->Send(Tick{});
  this->Send(StoreRead{"v9", "{\"format\":2}"});
  EXPECT_EQ(this->state.counters.newer_formats, 1U);
  this->Send(TicketSubmitted{SubmissionId{1}, Body(1, 0)});
  this->Send(StoreRead{"v9", "{\"format\":2}"});
  EXPECT_EQ(this->Find<AnswerTicket>()->code, ResultCode::kNewerFormat);
  EXPECT_FALSE(this->Find<WriteDocument>());
}

TEST(AcceptanceTest, FollowsTheRule) {
  using enum AcceptanceDecision;
  const Duration soon = kLeaseRunOut - Duration(1);
  const Duration late = kUnheardRunOut;
  const std::vector<std::pair<AcceptanceInputs, AcceptanceDecision>> cases = {
      {{false, 0, true, true, late, late}, kWaitForHolders},
      {{true, 0, false, true, late, late}, kWaitForHolders},
      {{true, 0, true, true, Duration(0), late}, kAccept},
      {{true, 0, true, true, late, soon}, kWaitForLeases},
      {{true, 0, true, false, soon, late}, kWaitForLeases},
      {{true, 0, true, false, kLeaseRunOut, late}, kAccept},
      {{true, 1, true, true, kLeaseRunOut, late}, kWaitForLeases},
      {{true, 1, true, true, late - Duration(1), late}, kWaitForLeases},
      {{true, 1, true, true, late, late}, kAccept},
      {{true, 1, true, true, late, soon}, kWaitForLeases},
      {{true, 1, false, true, late, late}, kWaitForHolders},
      {{true, 2, true, true, late, late}, kWaitForUnheard},
  };
  for (const auto& [inputs, decision] : cases) {
    EXPECT_EQ(DecideAcceptance(inputs), decision);
  }
}

}  // namespace
}  // namespace boragewharf::config
