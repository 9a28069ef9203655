/**
 * @file ledger_sim_test.cc
 * The owners and claimants of LedgerSim.
 */
#include "ledger_sim.h"

#include <algorithm>

namespace boragewharf::ledger {

namespace {

constexpr int kDaemons = 3;
constexpr Duration kSendDeadline = std::chrono::seconds(10);

Digest KeyDigest(const std::string& text) {
  return Sha256(text);
}

}  // namespace

LedgerSim::LedgerSim(uint64_t seed, const SimOptions& sim_options)
    : options(sim_options), random(seed), daemons(kDaemons) {
  for (int i = 0; i < kDaemons; ++i) {
    this->Restart(i);
  }
  this->ChangeOwners();
  for (int i = 0; i < this->options.claims; ++i) {
    this->At(this->options.length * (this->random() % 1000) / 1000,
             [this] { this->StartClaim(); });
  }
  for (int i = 0; i < this->options.disruptions; ++i) {
    this->At(this->options.length * (this->random() % 1000) / 1000,
             [this] { this->Disturb(); });
  }
  this->At(Duration(0), [this] { this->TickDaemons(); });
}

bool LedgerSim::Chance(int per_mille) {
  return !this->calm && static_cast<int>(this->random() % 1000) < per_mille;
}

Duration LedgerSim::Within(int from_ms, int to_ms) {
  const auto span = static_cast<uint64_t>(to_ms - from_ms) * 1000;
  return std::chrono::milliseconds(from_ms) + Duration(this->random() % span);
}

void LedgerSim::At(Duration delay, std::function<void()> run) {
  this->actions.push({this->now + delay, this->order++, std::move(run)});
}

void LedgerSim::Violate(const std::string& what) {
  this->violations.push_back(
      std::to_string(this->now.time_since_epoch().count()) + " us: " + what);
}

WallTime LedgerSim::Wall() const {
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      this->now.time_since_epoch()));
}

void LedgerSim::Restart(int index) {
  Daemon& daemon = this->daemons[static_cast<size_t>(index)];
  daemon.state = MakeLedgerState(MemberId{this->next_member++},
                                 this->options.ledger, this->random());
  daemon.calls.clear();
  daemon.paused_until = {};
}

void LedgerSim::Deliver(int index, MemberId process, const LedgerEvent& event) {
  Daemon& daemon = this->daemons[static_cast<size_t>(index)];
  if (daemon.state.self != process) {
    return;
  }
  if (daemon.paused_until > this->now) {
    this->At(daemon.paused_until - this->now,
             [=, this] { this->Deliver(index, process, event); });
    return;
  }
  if (const auto* claim = std::get_if<ClaimRequested>(&event)) {
    daemon.calls[claim->call.value] = {
        this->claim_numbers.at(claim->request.claim),
        std::min(claim->deadline,
                 this->now + this->options.ledger.answer_within)};
  } else if (const auto* report = std::get_if<OutcomeReported>(&event)) {
    daemon.calls[report->call.value] = {
        this->claim_numbers.at(report->report.claim),
        this->now + this->options.ledger.answer_within};
  }
  std::vector<LedgerEffect> effects;
  Reduce(daemon.state, event, this->now, effects);
  for (const LedgerEffect& effect : effects) {
    this->Execute(index, effect);
  }
}

void LedgerSim::Execute(int index, const LedgerEffect& effect) {
  if (const auto* read = std::get_if<ReadShard>(&effect)) {
    this->OnRead(index, *read);
  } else if (const auto* write = std::get_if<WriteShard>(&effect)) {
    this->OnWrite(index, write->operation, write->shard, write->name,
                  write->expected_version, write->body);
  } else if (const auto* seal = std::get_if<WriteSegment>(&effect)) {
    ++this->seals;
    this->OnWrite(index, seal->operation, seal->shard, seal->name, "",
                  seal->body);
  } else if (const auto* removal = std::get_if<RemoveSegment>(&effect)) {
    const std::string name = removal->name;
    this->At(this->Within(1, 50), [=, this] { this->store.erase(name); });
  } else if (const auto* claim = std::get_if<AnswerClaim>(&effect)) {
    this->OnClaimAnswer(index, *claim);
  } else if (const auto* outcome = std::get_if<AnswerOutcome>(&effect)) {
    this->OnOutcomeAnswer(index, *outcome);
  }
}

void LedgerSim::OnClaimAnswer(int index, const AnswerClaim& answer) {
  Daemon& daemon = this->daemons[static_cast<size_t>(index)];
  const auto call = daemon.calls.find(answer.call.value);
  if (call == daemon.calls.end()) {
    this->Violate("a claim is answered twice");
    return;
  }
  const auto [number, deadline] = call->second;
  daemon.calls.erase(call);
  if (answer.result.verdict == ClaimVerdict::kGranted) {
    this->CheckGrant(this->claims[number], deadline);
    this->claims[number].granted = true;
  }
  if (this->Chance(this->options.lost_message)) {
    return;
  }
  const ClaimResult result = answer.result;
  this->At(this->Within(1, 10), [=, this, number = number] {
    this->OnReply(number, result.verdict, result.answer);
  });
}

void LedgerSim::CheckGrant(const SimClaim& claim, TimePoint deadline) {
  ++this->grants;
  if (this->now >= deadline) {
    this->Violate("grant after the deadline");
  }
  if (claim.giving_up || claim.settled) {
    return;
  }
  const auto state = this->committed.find(claim.request.claim);
  if (state == this->committed.end() ||
      (state->second != EntryState::kClaimed && !claim.sent)) {
    this->Violate("grant that the store does not hold");
  }
  for (const SimClaim& other : this->claims) {
    if (other.request.key == claim.request.key &&
        other.request.claim != claim.request.claim && other.granted &&
        !other.giving_up) {
      this->Violate("two grants of one key: " + ToString(other.request.claim) +
                    " and " + ToString(claim.request.claim));
    }
  }
}

void LedgerSim::OnOutcomeAnswer(int index, const AnswerOutcome& answer) {
  Daemon& daemon = this->daemons[static_cast<size_t>(index)];
  const auto call = daemon.calls.find(answer.call.value);
  if (call == daemon.calls.end()) {
    this->Violate("a report is answered twice");
    return;
  }
  const size_t number = call->second.first;
  daemon.calls.erase(call);
  const bool final = answer.verdict == OutcomeVerdict::kRecorded ||
                     answer.verdict == OutcomeVerdict::kNotHeld;
  SimClaim& claim = this->claims[number];
  if (answer.verdict == OutcomeVerdict::kNotHeld && claim.sent) {
    this->Violate("a claim that ran does not hold its key");
  }
  if (final && !this->Chance(this->options.lost_message)) {
    claim.settled = true;
  }
}

void LedgerSim::CheckLate(int index) {
  Daemon& daemon = this->daemons[static_cast<size_t>(index)];
  for (const auto& [call, waiting] : daemon.calls) {
    if (waiting.second + std::chrono::milliseconds(200) < this->now) {
      this->Violate("call not answered in time");
    }
  }
}

void LedgerSim::TickDaemons() {
  for (int i = 0; i < kDaemons; ++i) {
    Daemon& daemon = this->daemons[static_cast<size_t>(i)];
    if (daemon.paused_until > this->now) {
      continue;
    }
    this->Deliver(i, daemon.state.self, Tick{this->Wall()});
    this->CheckLate(i);
  }
  this->At(std::chrono::milliseconds(100), [this] { this->TickDaemons(); });
}

void LedgerSim::Disturb() {
  if (this->calm) {
    return;
  }
  const auto index = static_cast<int>(this->random() % kDaemons);
  Daemon& daemon = this->daemons[static_cast<size_t>(index)];
  switch (this->random() % 6) {
    case 0:
      this->outage_until = this->now + this->Within(100, 6000);
      break;
    case 1:
      daemon.paused_until = this->now + this->Within(100, 8000);
      break;
    case 2: {
      const LedgerTotals& totals = daemon.state.totals;
      this->conflicts += totals.conflicts;
      this->own_read_backs += totals.read_backs_own;
      this->Restart(index);
      this->ChangeOwners();
      break;
    }
    default:
      this->ChangeOwners();
  }
}

/** Gives each daemon a view of its own, so that owners overlap or lack. */
void LedgerSim::ChangeOwners() {
  std::vector<MemberId> live;
  for (const Daemon& daemon : this->daemons) {
    live.push_back(daemon.state.self);
  }
  for (int i = 0; i < kDaemons; ++i) {
    const MemberId self = live[static_cast<size_t>(i)];
    std::vector<MemberId> view;
    for (MemberId member : live) {
      if (member == self || !this->Chance(250)) {
        view.push_back(member);
      }
    }
    const OwnershipChanged event{
        OwnedShards(self, view, this->options.ledger.shard_count), view};
    this->At(this->Within(0, 50), [=, this] { this->Deliver(i, self, event); });
  }
}

bool LedgerSim::IsAlive(const SimClaim& claim) const {
  return this->daemons[static_cast<size_t>(claim.daemon)].state.self ==
         claim.process;
}

int LedgerSim::OwnerFor(const Digest& key) {
  const ShardId shard = ShardOf(key, this->options.ledger.shard_count);
  for (int i = 0; i < kDaemons && !this->Chance(100); ++i) {
    if (this->daemons[static_cast<size_t>(i)].state.shards.contains(shard)) {
      return i;
    }
  }
  return static_cast<int>(this->random() % kDaemons);
}

void LedgerSim::StartClaim() {
  SimClaim claim;
  const uint64_t key =
      this->random() % static_cast<uint64_t>(this->options.keys);
  claim.daemon = static_cast<int>(this->random() % kDaemons);
  claim.process = this->daemons[static_cast<size_t>(claim.daemon)].state.self;
  claim.request.claim = {this->random(), this->random()};
  claim.request.key = KeyDigest("key " + std::to_string(key));
  claim.request.request =
      KeyDigest(this->Chance(20) ? "other" : "request " + std::to_string(key));
  claim.request.claimant = claim.process;
  claim.started = this->now;
  const size_t number = this->claims.size();
  this->claim_numbers[claim.request.claim] = number;
  this->claims.push_back(std::move(claim));
  this->Ask(number);
}

void LedgerSim::Ask(size_t number) {
  SimClaim& claim = this->claims[number];
  ++claim.asked;
  const TimePoint deadline = this->now + this->Within(20, 4000);
  for (int copies = this->Chance(this->options.duplicate) ? 2 : 1; copies > 0;
       --copies) {
    if (this->Chance(this->options.lost_message)) {
      continue;
    }
    const int owner = this->OwnerFor(claim.request.key);
    const MemberId process =
        this->daemons[static_cast<size_t>(owner)].state.self;
    this->At(this->Within(1, copies == 2 ? 3000 : 5), [=, this] {
      const ClaimRequested event{CallId{this->next_call++},
                                 this->claims[number].request, deadline,
                                 this->Wall()};
      this->Deliver(owner, process, event);
    });
  }
  const int asked = claim.asked;
  this->At(std::chrono::seconds(3), [=, this] {
    SimClaim& late = this->claims[number];
    if (late.asked != asked || late.sent || late.giving_up || late.settled) {
      return;
    }
    this->OnReply(number, ClaimVerdict::kNotOwner, {});
  });
}

void LedgerSim::OnReply(size_t number,
                        ClaimVerdict verdict,
                        const StoredAnswer& answer) {
  SimClaim& claim = this->claims[number];
  if (!this->IsAlive(claim) || claim.sent || claim.giving_up || claim.settled) {
    return;
  }
  switch (verdict) {
    case ClaimVerdict::kGranted:
      if (this->Chance(150) || this->now >= claim.started + kSendDeadline) {
        claim.giving_up = true;
        this->Report(number);
        return;
      }
      this->Send(number);
      return;
    case ClaimVerdict::kUnavailable:
    case ClaimVerdict::kNotOwner:
      if (claim.asked < 3 && !this->Chance(300)) {
        this->Ask(number);
        return;
      }
      claim.giving_up = true;
      this->Report(number);
      return;
    case ClaimVerdict::kReplay:
      ++this->replays;
      for (const SimClaim& other : this->claims) {
        if (other.request.key == claim.request.key && other.sent &&
            answer.body_kept && other.answer != answer) {
          this->Violate("replay of a foreign answer");
        }
      }
      break;
    default:
      break;
  }
  claim.giving_up = true;
  claim.settled = true;
}

void LedgerSim::Send(size_t number) {
  SimClaim& claim = this->claims[number];
  claim.sent = true;
  if (++this->runs[claim.request.key] > 1) {
    this->Violate("second run of a key by " + ToString(claim.request.claim));
  }
  claim.outcome = this->Chance(200) ? Outcome::kUnknown : Outcome::kFinished;
  claim.answer = {
      200, "text/plain",
      std::string(this->random() % 300, 'a') + ToString(claim.request.claim)};
  this->At(this->Within(1, 500), [=, this] { this->Report(number); });
}

/** Reports the outcome until it is acknowledged. */
void LedgerSim::Report(size_t number) {
  SimClaim& claim = this->claims[number];
  if (claim.settled || !this->IsAlive(claim)) {
    return;
  }
  OutcomeReport report{claim.request.claim, claim.request.key,
                       claim.sent ? claim.outcome : Outcome::kReleased,
                       claim.answer};
  const int owner = this->OwnerFor(claim.request.key);
  const MemberId process = this->daemons[static_cast<size_t>(owner)].state.self;
  this->At(this->Within(1, 10), [=, this] {
    this->Deliver(
        owner, process,
        OutcomeReported{CallId{this->next_call++}, report, this->Wall()});
  });
  this->At(this->Within(500, 1500), [=, this] { this->Report(number); });
}

void LedgerSim::RunUntil(TimePoint end) {
  while (!this->actions.empty() && this->actions.top().at < end &&
         this->violations.empty()) {
    const Action action = this->actions.top();
    this->actions.pop();
    this->now = action.at;
    action.run();
  }
}

/** After the calm part every live claimant's report must be acknowledged. */
void LedgerSim::CheckSettled() {
  std::map<Digest, bool> free;
  for (const SimClaim& claim : this->claims) {
    if (this->IsAlive(claim) && !claim.settled) {
      this->Violate("claim never settled: " + ToString(claim.request.claim));
    }
    const bool released = claim.settled && !claim.sent;
    free.emplace(claim.request.key, true).first->second &= released;
  }
  for (const Daemon& daemon : this->daemons) {
    this->conflicts += daemon.state.totals.conflicts;
    this->own_read_backs += daemon.state.totals.read_backs_own;
    for (const auto& [id, shard] : daemon.state.shards) {
      for (const auto& [key, stored] : shard.active) {
        this->stuck_keys +=
            stored.entry.state == EntryState::kClaimed && free[key] ? 1 : 0;
      }
    }
  }
}

void LedgerSim::Run() {
  this->RunUntil(this->now + this->options.length);
  this->calm = true;
  this->outage_until = {};
  // Earlier news of owners may still be under way to a paused daemon.
  this->RunUntil(this->now + std::chrono::seconds(9));
  this->ChangeOwners();
  this->RunUntil(this->now + std::chrono::seconds(20));
  if (this->violations.empty()) {
    this->CheckSettled();
  }
}

}  // namespace boragewharf::ledger
