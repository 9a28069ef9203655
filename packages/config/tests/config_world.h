/**
 * @file config_world.h
 * Simulation of several members that share a store, with a simplified
 * membership: pings, serving leases and gossip as in docs/design.md, 3.4.
 */
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/digest_func.h"
#include "base/result_func.h"
#include "config/config_func.h"
#include "config/document_cmd.h"
#include "config/document_json_func.h"
#include "config_node.h"
#include "fake_store.h"

namespace boragewharf::config {

class ConfigWorld {
 public:
  explicit ConfigWorld(uint64_t seed) : random(seed) {}

  int Pick(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(this->random);
  }
  template <class Element>
  const Element& PickOne(const std::vector<Element>& elements) {
    return elements[std::uniform_int_distribution<size_t>(
        0, elements.size() - 1)(this->random)];
  }
  bool Chance(int percent) { return this->Pick(1, 100) <= percent; }

  /** Starts a member that joins through a random node of its group. */
  Node& Start(int group) {
    const MemberId id{this->random()};
    this->nodes.push_back(std::make_unique<Node>(
        id, "entry-" + std::to_string(this->nodes.size()), this->random()));
    Node& node = *this->nodes.back();
    node.group = group;
    std::vector<Node*> contacts;
    for (const auto& other : this->nodes) {
      if (other.get() != &node && other->running && other->group == group &&
          other->paused_until <= this->now) {
        contacts.push_back(other.get());
      }
    }
    if (!contacts.empty()) {
      Node& contact = *this->PickOne(contacts);
      this->Exchange(node, contact);
    } else {
      this->JoinFromInstanceList(node);
    }
    node.established = node.table.empty();
    this->Observe(node);
    this->ScheduleTick(node);
    this->SchedulePing(node);
    return node;
  }

  void Crash(Node& node) {
    node.running = false;
    this->After(milliseconds(this->Pick(3000, 12000)),
                [this, &node] { this->departed.insert(node.id); });
  }

  void Submit(Node& node, const std::string& body, const std::string& digest) {
    const SubmissionId submission{++this->last_submission};
    this->digests[submission] = digest;
    ++this->history[digest].submissions;
    this->Deliver(node, TicketSubmitted{submission, body});
  }

  /** Runs everything until @p end, checking the invariants at each step. */
  void RunUntil(TimePoint end) {
    while (!this->queue.empty() && this->queue.top().at <= end &&
           !testing::Test::HasFailure()) {
      const Entry entry = this->queue.top();
      this->queue.pop();
      this->now = std::max(this->now, entry.at);
      entry.action();
      this->CheckInvariants();
    }
    this->now = std::max(this->now, end);
  }

  void After(Duration delay, std::function<void()> action) {
    this->queue.push({this->now + delay, ++this->sequence, std::move(action)});
  }

  bool KnowsNone(const Node& node) const {
    return node.table.empty() && node.listed.empty();
  }

  bool MayServe(const Node& node) const {
    return node.running && node.published.value > 0 && node.established &&
           (this->KnowsNone(node) || node.lease_until > this->now);
  }

  std::vector<Node*> Running() {
    std::vector<Node*> running;
    for (const auto& node : this->nodes) {
      if (node->running) {
        running.push_back(node.get());
      }
    }
    return running;
  }

  /** The document in the store; empty before the first write. */
  Document Stored() const {
    const auto stored = ParseDocument(this->store.Body());
    return stored ? stored->document : Document{};
  }

  std::mt19937_64 random;
  TimePoint now{seconds(1000)};
  FakeStore store;
  FaultRates fault_rates;
  bool store_out = false;
  int store_group = -1;  ///< Only group that reaches the store; -1 for all.
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, TicketHistory> history;

 private:
  struct Entry {
    TimePoint at;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Entry& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  /** Passes an event to a node, after its pause if it is paused. */
  void Deliver(Node& node, const ConfigEvent& event) {
    if (!node.running) {
      return;
    }
    if (node.paused_until > this->now) {
      this->After(node.paused_until - this->now,
                  [this, &node, event] { this->Deliver(node, event); });
      return;
    }
    std::vector<ConfigEffect> effects;
    Reduce(node.state, event, this->now, effects);
    for (const ConfigEffect& effect : effects) {
      std::visit([&](const auto& each) { this->Execute(node, each); }, effect);
    }
  }

  bool StoreReachable(const Node& node) const {
    return !this->store_out &&
           (this->store_group < 0 || this->store_group == node.group);
  }

  Duration Latency() {
    return milliseconds(this->Chance(10) ? this->Pick(50, 900)
                                         : this->Pick(1, 30));
  }

  void Execute(Node& node, const ReadDocument&) {
    this->After(this->Latency(), [this, &node] {
      if (!this->StoreReachable(node)) {
        this->Deliver(node, StoreReadFailed{ResultCode::kStoreUnavailable});
        return;
      }
      if (this->Chance(this->fault_rates.busy)) {
        this->Deliver(node, StoreReadFailed{ResultCode::kStoreBusy});
        return;
      }
      const bool stale = this->Chance(this->fault_rates.stale_read);
      const StoreRead answer = this->store.Read(stale ? this->Pick(1, 4) : 0);
      const std::set<MemberId> gone =
          stale ? std::set<MemberId>() : this->departed;
      this->After(this->Latency(), [this, &node, answer, gone] {
        this->Deliver(node, answer);
        this->Drop(node, gone);
      });
    });
  }

  void Execute(Node& node, const WriteDocument& write) {
    const auto fail = [this, &node, write](Duration delay, ResultCode code) {
      this->After(delay, [this, &node, write, code] {
        this->Deliver(node, StoreWriteFailed{write.write_id, code});
      });
    };
    if (!this->StoreReachable(node)) {
      fail(this->Latency(), ResultCode::kStoreUnavailable);
      return;
    }
    if (this->Chance(this->fault_rates.busy)) {
      fail(this->Latency(), ResultCode::kStoreBusy);
      return;
    }
    if (this->Chance(this->fault_rates.lost_answer)) {
      // May take effect even after the writer was told that it is unknown.
      if (this->Chance(60)) {
        this->After(milliseconds(this->Pick(1, 2500)),
                    [this, write] { this->store.Write(write); });
      }
      fail(milliseconds(this->Pick(1, 1500)), ResultCode::kStoreUnknown);
      return;
    }
    this->After(this->Latency(), [this, &node, write, fail] {
      if (!this->store.Write(write)) {
        fail(this->Latency(), ResultCode::kStoreConflict);
        return;
      }
      const StoreWritten written{write.write_id, this->store.Version()};
      this->After(this->Latency(),
                  [this, &node, written] { this->Deliver(node, written); });
    });
  }

  void Execute(Node& node, const FetchFromPeer& fetch) {
    this->After(this->Latency(), [this, &node, fetch] {
      for (const auto& peer : this->nodes) {
        if (peer->id != fetch.peer || !this->Reaches(node, *peer)) {
          continue;
        }
        this->Deliver(node, PeerDocument{peer->id, HeldBody(peer->state)});
      }
    });
  }

  void Execute(Node& node, const AnswerTicket& answer) {
    const std::string digest = this->digests.at(answer.submission);
    this->digests.erase(answer.submission);
    this->history[digest].answers.push_back(answer.code);
    if (answer.code != ResultCode::kOk) {
      return;
    }
    const Document document = this->Stored();
    EXPECT_TRUE(std::ranges::any_of(
        document.tickets,
        [&](const TicketRecord& record) { return record.digest == digest; }))
        << node.instance << " reports a ticket as accepted that is not";
  }

  void Execute(Node& node, const PublishConfiguration& publish) {
    EXPECT_GT(publish.configuration.revision, node.published)
        << node.instance << " went back";
    node.published = publish.configuration.revision;
  }

  void Execute(Node&, const HeldRevisionChanged&) {}

  bool Reaches(const Node& from, const Node& to) {
    return to.running && from.running && from.group == to.group &&
           to.paused_until <= this->now &&
           !this->Chance(this->fault_rates.lost_message);
  }

  /** Digest of the member set; ids are random, so that XOR suffices. */
  uint64_t DigestOf(const Node& node) const {
    uint64_t digest = node.id.value;
    for (const auto& [id, known] : node.table) {
      digest ^= id.value;
    }
    return digest;
  }

  /** @p node hears from @p other, and learns the members that it knows. */
  void Hear(Node& node, const Node& other) {
    for (const auto& [id, known] : other.table) {
      if (id != node.id && !node.gone.contains(id)) {
        node.table.try_emplace(
            id, KnownMember{known.instance, this->now, {}, {}, 0});
      }
    }
    node.table[other.id] = {other.instance,
                            this->now,
                            HeldRevision(other.state.document),
                            other.state.document.accepted.revision,
                            this->DigestOf(other),
                            other.established};
  }

  /** Notes that @p other granted a lease, and establishes @p node. */
  void Confirm(Node& node, const Node& other) {
    node.confirmed_by.insert(other.id);
    const auto known = std::ranges::count_if(
        node.table, [](const auto& entry) { return entry.second.established; });
    node.established |=
        known > 0 && node.confirmed_by.size() >=
                         std::min<size_t>(2, static_cast<size_t>(known));
  }

  /** Members of the instance list that the table does not contain. */
  void AddListed(const Node& node, MembersObserved& observed) {
    for (const auto& other : this->nodes) {
      if (other.get() != &node && node.listed.contains(other->id) &&
          !node.table.contains(other->id)) {
        observed.unheard.push_back(other->instance);
      }
    }
  }

  void ReadInstanceList(Node& node) {
    if (!this->StoreReachable(node)) {
      return;
    }
    node.listed.clear();
    for (const auto& other : this->nodes) {
      if (other.get() != &node && !this->departed.contains(other->id)) {
        node.listed.insert(other->id);
      }
    }
  }

  void Drop(Node& node, const std::set<MemberId>& members) {
    for (const MemberId id : members) {
      node.gone.insert(id);
      node.table.erase(id);
    }
  }

  void Exchange(Node& node, Node& other) {
    this->Hear(other, node);
    this->Hear(node, other);
    this->Observe(other);
  }

  void JoinFromInstanceList(Node& node) {
    for (const auto& other : this->nodes) {
      if (other.get() != &node && !this->departed.contains(other->id)) {
        node.table[other->id] = {other->instance, this->now, {}, {}, 0};
      }
    }
  }

  /** Reports the member table to the reducer if it changed. */
  void Observe(Node& node) {
    MembersObserved observed;
    observed.digests_agree = true;
    const uint64_t digest = this->DigestOf(node);
    for (const auto& [id, known] : node.table) {
      if (this->now - known.heard > kSuspectAfter) {
        observed.unheard.push_back(known.instance);
        continue;
      }
      observed.live.push_back({id, known.instance, known.held, known.accepted});
      observed.digests_agree &= known.digest == digest;
    }
    this->AddListed(node, observed);
    if (node.state.members.observed && observed.live == node.observed.live &&
        observed.unheard == node.observed.unheard &&
        observed.digests_agree == node.observed.digests_agree) {
      return;
    }
    node.observed = observed;
    this->Deliver(node, observed);
  }

  void Ping(Node& node, Node& other) {
    const TimePoint sent = this->now;
    this->After(milliseconds(this->Pick(1, 50)), [this, &node, &other, sent] {
      if (!this->Reaches(node, other)) {
        return;
      }
      this->Hear(other, node);
      this->Observe(other);
      const bool grants = HeldRevision(node.state.document) >=
                              HeldRevision(other.state.document) &&
                          other.established;
      this->After(milliseconds(this->Pick(1, 50)), [this, &node, &other, sent,
                                                    grants] {
        if (!this->Reaches(other, node)) {
          return;
        }
        if (grants) {
          node.lease_until = std::max(node.lease_until, sent + kServingLease);
          this->Confirm(node, other);
        }
        this->Hear(node, other);
        this->Observe(node);
      });
    });
  }

  void SchedulePing(Node& node) {
    if (!node.running) {
      return;
    }
    if (node.paused_until <= this->now) {
      for (const auto& other : this->nodes) {
        if (other.get() != &node && (node.table.contains(other->id) ||
                                     node.listed.contains(other->id))) {
          this->Ping(node, *other);
        }
      }
    }
    this->After(kPingPeriod, [this, &node] { this->SchedulePing(node); });
  }

  void ScheduleTick(Node& node) {
    if (!node.running) {
      return;
    }
    if (node.paused_until <= this->now) {
      this->ReadInstanceList(node);
      this->Observe(node);
      this->Deliver(node, Tick{});
    }
    this->After(milliseconds(250), [this, &node] { this->ScheduleTick(node); });
  }

  void CheckRecord(const TicketRecord& record) {
    const auto [known, is_new] =
        this->revisions.emplace(record.revision, record.digest);
    EXPECT_EQ(known->second, record.digest)
        << "two tickets for revision " << record.revision.value;
  }

  void CheckDocument(const Document& document) {
    if (document.staged) {
      this->CheckRecord(document.staged->record);
    }
    if (!document.tickets.empty()) {
      this->CheckRecord(document.tickets.back());
    }
  }

  void CheckInvariants() {
    if (this->store.Version() != this->checked_version) {
      this->checked_version = this->store.Version();
      const Document document = this->Stored();
      this->CheckDocument(document);
      EXPECT_GE(document.accepted.revision, this->accepted);
      this->accepted = std::max(this->accepted, document.accepted.revision);
    }
    for (const auto& node : this->nodes) {
      const Document& document = node->state.document;
      this->CheckDocument(document);
      EXPECT_EQ(document.accepted.revision, node->published);
      EXPECT_LE(document.accepted.revision, this->accepted)
          << node->instance << " is ahead of the store";
      EXPECT_TRUE(!this->MayServe(*node) ||
                  HeldRevision(document) >= this->accepted)
          << node->instance << " may serve without revision "
          << this->accepted.value;
    }
  }

  uint64_t last_submission = 0;
  uint64_t sequence = 0;
  std::priority_queue<Entry> queue;
  std::set<MemberId> departed;
  std::map<SubmissionId, std::string> digests;
  std::map<ConfigRevision, std::string> revisions;
  std::string checked_version;
  ConfigRevision accepted;
};

}  // namespace boragewharf::config
