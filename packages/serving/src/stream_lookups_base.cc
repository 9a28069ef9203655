/**
 * @file stream_lookups_base.cc
 * Versions of streams that were begun at other nodes.
 */
#include "serving/stream_lookups_base.h"

#include <xxhash.h>

#include <algorithm>
#include <span>
#include <utility>

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;

/** Nodes that are told of a stream before its client has an event of it. If a
 * sixth of all nodes is killed at once, all of them are in one of 200 cases. */
constexpr size_t kToldNodes = 3;

/** Nodes that are asked, besides those that watch the store. Twice as many as
 * were told, as nodes that do not hear the same others rank them differently.
 */
constexpr size_t kMaxAsked = 2 * kToldNodes;

/** Time after which a question is repeated. Longer than the way to another
 * region and back. */
constexpr milliseconds kRepeatPeriod(60);

/** Time after which a lookup ends with what it has: with the time that is left,
 * the client can still try another node. */
constexpr milliseconds kMaxLookupTime(300);

/** Time for which the answers of all nodes are waited for if enough of them
 * have answered. What told some of them of the stream may have been lost. */
constexpr milliseconds kAllAnswersTime(100);

/** Time for which an ended lookup is kept. Its request looks it up at once; a
 * later one starts anew. */
constexpr std::chrono::seconds kKeepTime(2);

/** Lookups and waiting queries at the same time. Clients can name streams that
 * never began. */
constexpr size_t kMaxLookups = 4096;
constexpr size_t kMaxWaitingQueries = 4096;

/** Questions of a datagram that are answered; nodes send one. */
constexpr size_t kMaxQueries = 16;

/** Time after which the store is asked again. */
constexpr milliseconds kConfirmationTimeout(100);

/** Share of the nodes asked that have to answer: two thirds, or all but one. */
constexpr size_t kEnoughAnswers = 2;
constexpr size_t kEnoughAsked = 3;

/** The nodes that come first for a stream, by rendezvous hashing: all nodes
 * agree on them, but for those that some do not hear.
 * @param bound Most nodes to return. */
std::vector<uint32_t> FirstNodes(const std::vector<uint32_t>& heard,
                                 uint64_t stream,
                                 size_t bound) {
  std::vector<std::pair<uint64_t, uint32_t>> ranked;
  ranked.reserve(heard.size());
  for (const uint32_t ip : heard) {
    ranked.emplace_back(XXH64(&ip, sizeof(ip), stream), ip);
  }
  const size_t count = std::min(bound, ranked.size());
  std::ranges::partial_sort(
      ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<uint32_t> first;
  first.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    first.push_back(ranked[i].second);
  }
  return first;
}

}  // namespace

void StreamLookups::SetPeers(const PeerSummary& summary) {
  this->nodes = std::max<uint32_t>(1, summary.nodes);
  this->heard = summary.heard_ips;
  this->store_watchers = {summary.store_watchers.begin(),
                          summary.store_watchers.end()};
  this->watches_store = summary.watches_store;
}

void StreamLookups::RecordBegin(std::string_view service,
                                std::string_view attempt_id,
                                std::string_view version,
                                TimePoint now) {
  const bool is_told =
      this->records.RecordBegin(service, attempt_id, version, now);
  if (!is_told || this->link == nullptr) {
    return;
  }
  const uint64_t stream = HashStream(HashName(service), attempt_id);
  auto record = this->records.RecordOf(stream, now);
  if (!record) {
    return;
  }
  StreamMessage message;
  message.begun.push_back(std::move(*record));
  for (const uint32_t ip : FirstNodes(this->heard, stream, kToldNodes)) {
    this->link->Send(ip, message);
  }
}

void StreamLookups::RecordEnd(std::string_view service,
                              std::string_view attempt_id,
                              TimePoint now) {
  this->records.RecordEnd(service, attempt_id, now);
}

void StreamLookups::RecordUnknown(std::string_view service,
                                  std::string_view attempt_id,
                                  TimePoint now) {
  this->records.RecordUnknown(service, attempt_id, now);
}

StreamVersion StreamLookups::Find(std::string_view service,
                                  std::string_view attempt_id,
                                  TimePoint taken_up,
                                  TimePoint now) {
  const NameHash name = HashName(service);
  const uint64_t stream = HashStream(name, attempt_id);
  // Another node may know what was recorded as unknown here.
  const auto is_known = [&](const StreamVersion& known) {
    return (known.recorded && known.origin == StreamOrigin::kKnown) ||
           this->link == nullptr || this->nodes == 1;
  };
  StreamVersion known = this->records.Find(service, attempt_id, now);
  auto found = this->lookups.find(stream);
  if (found == this->lookups.end()) {
    if (is_known(known)) {
      return known;
    }
    if (this->lookups.size() >= kMaxLookups) {
      return {StreamOrigin::kPending, {}};
    }
    found = this->lookups.try_emplace(stream).first;
    this->Begin(name, stream, found->second, now);
  } else if (found->second.started < taken_up &&
             this->IsOver(found->second, now) && !is_known(known)) {
    this->Begin(name, stream, found->second, now);
  }
  Lookup& lookup = found->second;
  // A link may have delivered answers at once.
  known = this->records.Find(service, attempt_id, now);
  if (is_known(known)) {
    this->Count(lookup, &StreamLookupCounts::recorded);
    return known;
  }
  if (lookup.started < taken_up || !this->IsOver(lookup, now)) {
    return {StreamOrigin::kPending, {}};
  }
  StreamVersion concluded = this->Conclude(lookup, known, now);
  this->Count(lookup, concluded.origin == StreamOrigin::kKnown
                          ? &StreamLookupCounts::only_version
                      : concluded.origin == StreamOrigin::kUnknown
                          ? &StreamLookupCounts::unknown
                          : &StreamLookupCounts::unverified);
  return concluded;
}

void StreamLookups::Begin(NameHash service,
                          uint64_t stream,
                          Lookup& lookup,
                          TimePoint now) {
  this->streams_by_number.erase(lookup.number);
  lookup = {};
  lookup.service = service;
  lookup.number = ++this->last_number;
  lookup.started = now;
  this->streams_by_number[lookup.number] = stream;
  for (const uint32_t ip : FirstNodes(this->heard, stream, kMaxAsked)) {
    lookup.asked[ip] = {};
  }
  const bool several =
      this->records.HistoryOf(service, now).versions.size() > 1;
  if (!several) {
    for (const uint32_t ip : this->store_watchers) {
      lookup.asked[ip] = {};
    }
    if (this->watches_store) {
      this->WantConfirmation(false, now);
    }
  }
  this->Ask(stream, lookup, now);
}

void StreamLookups::Ask(uint64_t stream, Lookup& lookup, TimePoint now) {
  lookup.last_sent = now;
  StreamMessage message;
  StreamQuery& query = message.queries.emplace_back();
  query.number = lookup.number;
  query.service = lookup.service;
  query.stream = stream;
  // A copy, as a link may deliver the answer at once.
  const std::map<uint32_t, Asked> asked = lookup.asked;
  for (const auto& [ip, progress] : asked) {
    query.confirm = !this->watches_store && !lookup.confirmed &&
                    this->store_watchers.contains(ip);
    if (!progress.answered || query.confirm) {
      this->link->Send(ip, message);
    }
  }
}

bool StreamLookups::HasEnoughAnswers(const Lookup& lookup) {
  const auto current = static_cast<size_t>(std::ranges::count_if(
      lookup.asked, [](const auto& node) { return node.second.current; }));
  const size_t asked = lookup.asked.size();
  return current > 0 && (current + 1 >= asked ||
                         kEnoughAsked * current >= kEnoughAnswers * asked);
}

bool StreamLookups::IsOver(const Lookup& lookup, TimePoint now) const {
  const Duration passed = now - lookup.started;
  if (passed >= kMaxLookupTime) {
    return true;
  }
  const bool several =
      this->records.HistoryOf(lookup.service, now).versions.size() > 1;
  if (!several && !lookup.confirmed) {
    return false;
  }
  const bool all_answered = std::ranges::all_of(
      lookup.asked, [](const auto& node) { return node.second.answered; });
  const bool enough =
      lookup.asked.empty() || StreamLookups::HasEnoughAnswers(lookup);
  return enough && (all_answered || !several || passed >= kAllAnswersTime);
}

StreamVersion StreamLookups::Conclude(const Lookup& lookup,
                                      StreamVersion known,
                                      TimePoint now) const {
  if (known.recorded) {
    return known;
  }
  const bool any_current = std::ranges::any_of(
      lookup.asked, [](const auto& node) { return node.second.current; });
  const bool enough = StreamLookups::HasEnoughAnswers(lookup);
  const VersionHistory history = this->records.HistoryOf(lookup.service, now);
  if (history.versions.size() != 1) {
    if (enough) {
      known.told_within = {};
    }
    return known;
  }
  const bool verified = lookup.confirmed || (enough && this->HearsMostNodes());
  const bool is_only = known.origin == StreamOrigin::kKnown || any_current;
  if (verified && is_only) {
    return {StreamOrigin::kKnown, history.versions.front().version};
  }
  if (known.origin == StreamOrigin::kKnown) {
    return {StreamOrigin::kPending, {}};
  }
  return known;
}

void StreamLookups::Count(Lookup& lookup,
                          uint64_t StreamLookupCounts::*outcome) {
  if (!std::exchange(lookup.counted, true)) {
    this->counts.*outcome += 1;
  }
}

bool StreamLookups::OnMessage(uint32_t sender,
                              const StreamMessage& message,
                              TimePoint now) {
  this->records.MergeTold(message.begun, {}, now);
  const size_t queries = std::min(message.queries.size(), kMaxQueries);
  for (const StreamQuery& query : std::span(message.queries).first(queries)) {
    StreamMessage reply;
    reply.answers.push_back(this->AnswerTo(query, now));
    const StreamAnswer& answer = reply.answers.front();
    if (query.confirm && answer.current && answer.recorded.empty() &&
        this->waiting_queries.size() < kMaxWaitingQueries) {
      this->waiting_queries.push_back({sender, query, now});
      this->WantConfirmation(false, now);
    }
    if (this->link != nullptr) {
      this->link->Send(sender, reply);
    }
  }
  bool any = false;
  for (const StreamAnswer& answer : message.answers) {
    any |= this->MergeAnswer(sender, answer, now);
  }
  return any;
}

StreamAnswer StreamLookups::AnswerTo(const StreamQuery& query,
                                     TimePoint now) const {
  StreamAnswer answer;
  answer.number = query.number;
  answer.current = this->records.IsCurrent(now);
  answer.history = this->records.HistoryOf(query.service, now);
  if (auto recorded = this->records.RecordOf(query.stream, now)) {
    answer.recorded.push_back(std::move(*recorded));
  }
  return answer;
}

bool StreamLookups::MergeAnswer(uint32_t sender,
                                const StreamAnswer& answer,
                                TimePoint now) {
  const auto number = this->streams_by_number.find(answer.number);
  if (number == this->streams_by_number.end()) {
    return false;
  }
  Lookup& lookup = this->lookups.at(number->second);
  const auto asked = lookup.asked.find(sender);
  if (asked == lookup.asked.end()) {
    return false;
  }
  asked->second.answered = true;
  asked->second.current |= answer.current;
  lookup.confirmed |= answer.confirmed && answer.current;
  this->records.MergeTold(answer.recorded, {answer.history}, now);
  return !answer.recorded.empty() || this->IsOver(lookup, now);
}

bool StreamLookups::OnListConfirmed(TimePoint asked, TimePoint now) {
  this->confirmation_wanted.reset();
  bool any = false;
  bool wanted = false;
  for (auto& [stream, lookup] : this->lookups) {
    if (lookup.started <= asked) {
      any |= !std::exchange(lookup.confirmed, true);
    } else {
      wanted |= this->watches_store && !lookup.confirmed;
    }
  }
  for (const WaitingQuery& waiting : std::exchange(this->waiting_queries, {})) {
    if (waiting.received > asked) {
      this->waiting_queries.push_back(waiting);
      wanted = true;
      continue;
    }
    StreamMessage reply;
    reply.answers.push_back(this->AnswerTo(waiting.query, now));
    reply.answers.front().confirmed = reply.answers.front().current;
    this->link->Send(waiting.sender, reply);
  }
  if (wanted) {
    this->WantConfirmation(false, now);
  }
  return any;
}

void StreamLookups::WantConfirmation(bool begin_to_watch, TimePoint now) {
  const bool under_way =
      this->confirmation_wanted &&
      now - *this->confirmation_wanted < kConfirmationTimeout;
  if (this->link == nullptr || (under_way && !begin_to_watch)) {
    return;
  }
  this->confirmation_wanted = now;
  this->link->ConfirmServerList(begin_to_watch);
}

void StreamLookups::CheckTime(TimePoint now) {
  std::erase_if(this->waiting_queries, [&](const WaitingQuery& waiting) {
    return now - waiting.received >= kMaxLookupTime;
  });
  bool wanted = !this->waiting_queries.empty();
  bool begin_to_watch = false;
  for (auto entry = this->lookups.begin(); entry != this->lookups.end();) {
    auto& [stream, lookup] = *entry;
    if (now - lookup.started >= kKeepTime) {
      this->streams_by_number.erase(lookup.number);
      entry = this->lookups.erase(entry);
      continue;
    }
    if (!this->IsOver(lookup, now) && now - lookup.last_sent >= kRepeatPeriod) {
      this->Ask(stream, lookup, now);
      wanted |= this->watches_store && !lookup.confirmed;
      // Those that watched the store may be gone.
      begin_to_watch |=
          !this->watches_store && !lookup.confirmed &&
          std::ranges::none_of(lookup.asked, [](const auto& node) {
            return node.second.answered;
          });
    }
    ++entry;
  }
  if (wanted || begin_to_watch) {
    this->WantConfirmation(begin_to_watch, now);
  }
}

}  // namespace boragewharf::serving
