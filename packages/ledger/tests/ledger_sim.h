/**
 * @file ledger_sim.h
 * Simulation of several ledger owners and claimants over a faulty store.
 */
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "ledger/ledger_func.h"
#include "ledger/shard_func.h"

namespace boragewharf::ledger {

/** Probabilities in per mille and other properties of a run. */
struct SimOptions {
  int lost_answer = 40;    ///< A store answer is lost.
  int delayed_write = 30;  ///< Applied after it was reported unknown.
  int busy = 20;           ///< Refused by the rate limit.
  int stale_read = 20;     ///< A read returns the former version.
  int lost_message = 30;   ///< A message between daemons is lost.
  int duplicate = 30;      ///< A claim arrives twice.
  int disruptions = 60;    ///< Outages, crashes, pauses, ownership changes.
  int claims = 400;        ///< Claims made in all.
  int keys = 60;           ///< Different keys.
  Duration length = std::chrono::seconds(60);  ///< Of the faulty part.
  LedgerOptions ledger;                        ///< Of the reducers.
};

/** A claim as its claimant sees it. */
struct SimClaim {
  ClaimRequest request;
  int daemon = 0;          ///< Claimant.
  MemberId process;        ///< Its process; gone after a crash.
  TimePoint started;       ///< First asked.
  int asked = 0;           ///< Number of calls.
  bool granted = false;    ///< Some owner answered kGranted.
  bool sent = false;       ///< The request ran.
  bool giving_up = false;  ///< The claimant decided not to send.
  bool settled = false;    ///< Outcome acknowledged, or none needed.
  Outcome outcome = Outcome::kUnknown;
  StoredAnswer answer;
};

/** One run. Violations are collected, so that the test can print the seed. */
class LedgerSim {
 public:
  LedgerSim(uint64_t seed, const SimOptions& sim_options);

  /** Runs the faulty part, then a calm part in which all must settle. */
  void Run();

  std::vector<std::string> violations;  ///< Empty after a correct run.
  uint64_t grants = 0;                  ///< Answers kGranted.
  uint64_t seals = 0;                   ///< Segments written.
  uint64_t conflicts = 0;               ///< Writes that lost.
  uint64_t own_read_backs = 0;          ///< Lost answers found applied.
  uint64_t replays = 0;                 ///< Answers kReplay.
  uint64_t stuck_keys = 0;              ///< Free keys that stay unresolved.

 private:
  struct Object {
    uint64_t version = 0;
    std::string body;
    std::string former_body;
    uint64_t former_version = 0;
  };
  struct Daemon {
    LedgerState state;
    TimePoint paused_until;
    std::map<uint64_t, std::pair<size_t, TimePoint>> calls;  ///< Unanswered.
  };
  struct Action {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Action& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };

  bool Chance(int per_mille);
  Duration Within(int from_ms, int to_ms);
  void At(Duration delay, std::function<void()> run);
  void Violate(const std::string& what);
  WallTime Wall() const;
  void Restart(int index);
  void Deliver(int index, MemberId process, const LedgerEvent& event);
  void Execute(int index, const LedgerEffect& effect);
  void OnRead(int index, const ReadShard& effect);
  void OnWrite(int index,
               OperationId operation,
               ShardId shard,
               const std::string& name,
               const std::string& expected,
               const std::string& body);
  bool Apply(const std::string& name,
             const std::string& expected,
             const std::string& body);
  void NoteCommitted(const std::string& body);
  void OnClaimAnswer(int index, const AnswerClaim& answer);
  void OnOutcomeAnswer(int index, const AnswerOutcome& answer);
  void CheckGrant(const SimClaim& claim, TimePoint deadline);
  void CheckLate(int index);
  void TickDaemons();
  void Disturb();
  void ChangeOwners();
  void StartClaim();
  void Ask(size_t number);
  void OnReply(size_t number, ClaimVerdict verdict, const StoredAnswer& answer);
  void Send(size_t number);
  void Report(size_t number);
  bool IsAlive(const SimClaim& claim) const;
  int OwnerFor(const Digest& key);
  void RunUntil(TimePoint end);
  void CheckSettled();

  SimOptions options;
  std::mt19937_64 random;
  TimePoint now{std::chrono::seconds(1000)};
  uint64_t order = 0;
  std::priority_queue<Action> actions;
  std::map<std::string, Object> store;
  uint64_t store_version = 0;
  TimePoint outage_until;
  std::vector<Daemon> daemons;
  uint64_t next_member = 1;
  uint64_t next_call = 1;
  std::vector<SimClaim> claims;
  std::map<RequestId, size_t> claim_numbers;
  std::map<RequestId, EntryState> committed;  ///< Latest state in the store.
  std::map<Digest, int> runs;
  bool calm = false;
};

}  // namespace boragewharf::ledger
