/**
 * @file stream_lookups_base.h
 * Versions of streams that were begun at other nodes, asked for when a client
 * takes them up.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time_type.h"
#include "serving/peer_type.h"
#include "serving/stream_link_base.h"
#include "serving/stream_lookup_type.h"
#include "serving/stream_records_base.h"
#include "serving/stream_versions_base.h"

namespace boragewharf::serving {

/** How lookups ended, since start. */
struct StreamLookupCounts {
  uint64_t recorded = 0;      ///< Another node knew the stream.
  uint64_t only_version = 0;  ///< Its service had a single version.
  uint64_t unknown = 0;       ///< Nobody knew it, of several versions.
  uint64_t unverified = 0;    ///< Too few answers to conclude anything.
};

/**
 * Finds the version of a stream that this node has no record of.
 *
 * What a node knows without asking is as old as the last message that it has
 * received, and a node that was cut off or suspended does not notice this at
 * once. So each take-up asks other nodes, and those that watch the store
 * whether the versions they know are all that are listed. Answers count from
 * the time of the question on:
 *
 * - A record tells the version.
 * - Without one, a service whose only version is known has begun the stream
 * with it, if the store has confirmed the server list, or, while nothing is
 * heard of the store, if most nodes are heard and two thirds of those asked
 * agree.
 * - Otherwise the version stays unknown.
 *
 * Pure state: I/O goes through the StreamLink. Not thread-safe; times are
 * passed in.
 */
class StreamLookups : public StreamVersions {
 public:
  /** @param stream_records What this node knows; must outlive this object.
   * @param first_number Random, so that an answer to an earlier process of this
   *     node is not taken for one to this process. */
  StreamLookups(StreamRecords& stream_records, uint64_t first_number)
      : records(stream_records), last_number(first_number) {}

  /** Sets the way to the other nodes, which must outlive this object. Without
   * one, only the records count. */
  void SetLink(StreamLink& stream_link) { this->link = &stream_link; }

  /** Takes the nodes that can be asked from @p summary. */
  void SetPeers(const PeerSummary& summary);

  void RecordBegin(std::string_view service,
                   std::string_view attempt_id,
                   std::string_view version,
                   TimePoint now) override;
  void RecordEnd(std::string_view service,
                 std::string_view attempt_id,
                 TimePoint now) override;
  void RecordUnknown(std::string_view service,
                     std::string_view attempt_id,
                     TimePoint now) override;
  StreamVersion Find(std::string_view service,
                     std::string_view attempt_id,
                     TimePoint taken_up,
                     TimePoint now) override;

  /** Handles a datagram.
   * @param sender PackIp() of the node that sent it.
   * @return Whether a stream that was pending may be known now. */
  bool OnMessage(uint32_t sender, const StreamMessage& message, TimePoint now);

  /** The store has confirmed the server list, which StreamRecords has been told
   * of, as of @p asked.
   * @return Whether a stream that was pending may be known now. */
  bool OnListConfirmed(TimePoint asked, TimePoint now);

  /** Repeats questions that were not answered, and ends lookups. Called every
   * few dozen milliseconds. */
  void CheckTime(TimePoint now);

  const StreamLookupCounts& Counts() const { return this->counts; }

 private:
  /** Progress at a node that was asked. */
  struct Asked {
    bool answered = false;
    bool current = false;  ///< See StreamAnswer.
  };

  struct Lookup {
    NameHash service = 0;
    uint64_t number = 0;
    TimePoint started;
    TimePoint last_sent;
    std::map<uint32_t, Asked> asked;  ///< By address.
    bool confirmed = false;           ///< By the store; see StreamAnswer.
    bool counted = false;             ///< In counts.
  };

  /** Question of another node that waits for the store. */
  struct WaitingQuery {
    uint32_t sender = 0;
    StreamQuery query;
    TimePoint received;
  };

  /** Replaces @p lookup by a new one. */
  void Begin(NameHash service, uint64_t stream, Lookup& lookup, TimePoint now);
  /** Asks the nodes that have not answered. */
  void Ask(uint64_t stream, Lookup& lookup, TimePoint now);
  /** Whether more answers would not change the outcome, or take too long. */
  bool IsOver(const Lookup& lookup, TimePoint now) const;
  /** Whether enough nodes have answered that know all versions, so that one of
   * them would have been told of the stream. */
  static bool HasEnoughAnswers(const Lookup& lookup);
  /** Version of a stream after the end of its lookup, which has brought no
   * record of its version.
   * @param known What the records tell. */
  StreamVersion Conclude(const Lookup& lookup,
                         StreamVersion known,
                         TimePoint now) const;
  void Count(Lookup& lookup, uint64_t StreamLookupCounts::*outcome);
  bool MergeAnswer(uint32_t sender, const StreamAnswer& answer, TimePoint now);
  StreamAnswer AnswerTo(const StreamQuery& query, TimePoint now) const;
  /** Asks the store to confirm the list, unless that is under way. */
  void WantConfirmation(bool begin_to_watch, TimePoint now);
  bool HearsMostNodes() const {
    return 2 * (this->heard.size() + 1) > this->nodes;
  }

  StreamRecords& records;
  StreamLink* link = nullptr;
  size_t nodes = 1;                   ///< Known ones, this one included.
  std::vector<uint32_t> heard;        ///< Addresses of the others.
  std::set<uint32_t> store_watchers;  ///< Of heard.
  bool watches_store = false;
  std::unordered_map<uint64_t, Lookup> lookups;  ///< By stream.
  std::map<uint64_t, uint64_t> streams_by_number;
  uint64_t last_number;
  std::vector<WaitingQuery> waiting_queries;
  std::optional<TimePoint> confirmation_wanted;
  StreamLookupCounts counts;
};

}  // namespace boragewharf::serving
