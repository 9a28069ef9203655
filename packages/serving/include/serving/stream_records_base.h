/**
 * @file stream_records_base.h
 * Records of the software versions that began recent streams.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time_type.h"
#include "serving/config_type.h"
#include "serving/server_type.h"
#include "serving/shared_state_base.h"
#include "serving/stream_records_type.h"
#include "serving/stream_versions_base.h"

namespace boragewharf::serving {

/** Hash by which a stream is recorded. @param attempt_id Of the request that
 * began it. @note Thread-safe. */
uint64_t HashStream(NameHash service, std::string_view attempt_id);

/**
 * Remembers which version began each recent stream, of this node and of the
 * others.
 *
 * While all servers of a service have had one version for longer than a stream
 * can be taken up, that version began every stream, and nothing is told or
 * saved of single streams. With two or more, the nodes tell each other the
 * streams that they began, and save them for the case that all nodes are
 * killed.
 *
 * Pure state, without any I/O. Not thread-safe; times are passed in.
 */
class StreamRecords : public SharedState {
 public:
  /** @param first_start Whether the whole deployment starts for the first time:
   *     there are no earlier streams and no saves. */
  StreamRecords(bool first_start, TimePoint now);

  /** Takes the time for which streams can be taken up from the routes. */
  void SetConfig(const ServingConfig& config);

  /** Adds the versions of the listed servers to the history. */
  void SetServers(const ServerSet& set, TimePoint now);

  /** See StreamVersions.
   * @return Whether the other nodes are to be told of the stream: they may not
   *     conclude its version from that of its service. */
  bool RecordBegin(std::string_view service,
                   std::string_view attempt_id,
                   std::string_view version,
                   TimePoint now);
  /** See StreamVersions. */
  void RecordEnd(std::string_view service,
                 std::string_view attempt_id,
                 TimePoint now);
  /** See StreamVersions. Does nothing if kMaxUnknown streams were recorded so
   * lately. */
  void RecordUnknown(std::string_view service,
                     std::string_view attempt_id,
                     TimePoint now);

  /** Version that began a stream as far as this node knows. That a service has
   * had a single version is knowledge of the last reports, up to a second old;
   * see StreamLookups. */
  StreamVersion Find(std::string_view service,
                     std::string_view attempt_id,
                     TimePoint now) const;

  /** The record of a stream; empty if there is none.
   * @param stream See HashStream(). */
  std::optional<BegunStreams> RecordOf(uint64_t stream, TimePoint now) const;

  /** The versions of a service that were in use lately, at most
   * kMaxAnsweredVersions. */
  VersionHistory HistoryOf(NameHash service, TimePoint now) const;

  /** Whether the history has all versions that all nodes used lately, as far as
   * this node can tell. */
  bool IsCurrent(TimePoint now) const {
    return this->complete && this->IsInTouch(now);
  }

  /** Merges streams and versions that another node has told directly. */
  void MergeTold(const std::vector<BegunStreams>& streams,
                 const std::vector<VersionHistory>& versions,
                 TimePoint received);

  void AppendExtensions(std::vector<PeerExtension>& extensions,
                        TimePoint now) override;
  void MergePeers(const PeerSummary& summary, TimePoint now) override;

  /** What is to be saved now; empty if nothing is due, or a save is running. A
   * save replaces the one before it. */
  std::optional<StreamSave> TakeSave(TimePoint now);

  /** Records the end of a save. One that failed is repeated. */
  void EndSave(uint64_t number, bool saved, TimePoint now);

  /** Whether the saves of all nodes are to be read again, as versions or
   * streams of others may have been missed. True once for each such time. */
  bool TakeRestoreWanted();

  /** Adds what all nodes have saved. Until then, TakeSave() returns nothing
   * after a restart: it would replace what the process before has saved.
   * @param asked When the saves were asked for; they may be older. */
  void Restore(const std::vector<SavedStreams>& saved,
               TimePoint asked,
               TimePoint now);

  /** Whether all versions are known that were in use lately. */
  bool Complete() const { return this->complete; }

  /** Number of streams that are remembered. */
  size_t Size() const { return this->records.size(); }

  /** Reports that could not be decoded, since start. */
  uint64_t InvalidReports() const { return this->invalid_reports; }

 private:
  /** Use of a version by a service. */
  struct VersionUse {
    TimePoint last;       ///< When it was last listed or began a stream.
    bool listed = false;  ///< By a server of the current list.
  };
  using VersionUses = std::map<std::string, VersionUse, std::less<>>;

  struct Record {
    NameHash service = 0;
    std::string version;
    TimePoint begun;
    std::optional<TimePoint> ended;  ///< Set only with own.
    bool own = false;     ///< Begun by this node; it tells and saves it.
    bool queued = false;  ///< To be told; see to_tell.
    std::list<uint64_t>::iterator position;  ///< In own_order or heard_order.
  };

  /** A record that is part of the reports until a message has been sent. */
  struct Telling {
    uint64_t stream = 0;
    size_t times_told = 0;  ///< Before.
    TimePoint until;
  };

  /** Adds a stream, or replaces what is known of it. */
  void AddRecord(uint64_t stream,
                 NameHash service,
                 const std::string& version,
                 TimePoint begun,
                 bool own);
  void AddUse(NameHash service, const std::string& version, TimePoint last);
  void RemoveRecord(uint64_t stream);
  /** Drops what is too old to be asked for. */
  void Expire(TimePoint now);
  /** Drops the streams of this node that ended some time ago. */
  void DropEnded(TimePoint now);
  bool HasSeveralVersions(NameHash service) const;
  /** Notes that a service has got or lost a version. */
  void OnHistoryChanged(NameHash service);
  /** Queues all streams of this node that are not waiting to be told. */
  void TellAgain(NameHash service);
  /** @param received When the ages of the report were true.
   * @param own Whether its streams are to be told and saved by this node. */
  void MergeReport(const StreamReport& report, TimePoint received, bool own);
  void MergeUse(NameHash service, const std::string& version, TimePoint last);
  void MergeStreams(const BegunStreams& group, TimePoint received, bool own);
  /** Queues the streams of all services with several versions again. */
  void TellAll(TimePoint now);
  /** Selects the records of the next report. */
  void ChooseTold(TimePoint now);
  /** Most records of a report. */
  size_t MaxTold() const;
  /** Adds the history; nothing if it takes more than @p max_bytes. */
  void AppendHistory(StreamReport& report,
                     size_t max_bytes,
                     TimePoint now) const;
  /** Whether the versions that this node has heard of are those that all nodes
   * use. */
  bool IsInTouch(TimePoint now) const;
  bool HasRecentPeers(TimePoint now) const;
  /** Notes that the node was suspended, if it was. */
  void CheckSuspension(TimePoint now);
  /** Notes whether the summary that was just merged shows contact. */
  void CheckContact(TimePoint now);
  /** Notes that other nodes may have used versions unnoticed until now. */
  void OnContactMissing(TimePoint now);
  /** Whether a message may have waited in the socket while contact was missing:
   * what it calls complete may lack later versions. */
  bool MayPrecedeContact(TimePoint received) const;
  /** Whether what is missing may still be read or told.
   * @param start_time For which a node that has started waits for it. */
  bool IsCatchingUp(TimePoint now, Duration start_time) const;
  Duration SavePeriod() const;

  /** When the process began, or contact with the others was last missing. */
  TimePoint started;
  /** When the process began, unless the deployment started with it. */
  std::optional<TimePoint> restarted;
  Duration keep_time;  ///< For which streams and versions are remembered.
  bool complete = false;
  /** With restored histories of an earlier era of the store: when the list has
   * the versions that they lack. */
  std::optional<TimePoint> complete_from;
  bool restored = false;  ///< Saves were read, or there are none.
  /** The records include what an earlier process of this node has saved. */
  bool own_save_merged = false;
  std::map<NameHash, VersionUses> history;
  std::unordered_map<uint64_t, Record> records;  ///< By hash.
  std::list<uint64_t> own_order;  ///< Least recently recorded first.
  std::list<uint64_t> heard_order;
  std::deque<std::pair<TimePoint, uint64_t>> ended_order;  ///< By time of end.
  std::deque<TimePoint> unknown_recorded;  ///< Times of RecordUnknown().

  // Exchange with the other nodes.
  uint32_t nodes = 1;
  uint32_t heard_nodes = 0;
  bool store_followed = false;
  std::optional<TimePoint> last_merge;
  Duration message_period;
  /** Streams to be told, by the number of times that they have been. */
  std::vector<std::deque<uint64_t>> to_tell;
  std::deque<Telling> telling;  ///< In order of until.
  bool history_changed = false;
  TimePoint tell_history_until;
  TimePoint next_retelling;
  uint64_t invalid_reports = 0;

  // Loss of contact.
  bool had_contact = false;                ///< Since the process began.
  std::optional<TimePoint> cut_off_since;  ///< Contact is missing.
  std::optional<TimePoint> missed_until;   ///< When it was last missing.
  /** The history was complete until contact was lost. */
  bool was_complete = false;
  bool restore_wanted = false;  ///< See TakeRestoreWanted().

  // Saves.
  uint64_t era = 0;         ///< Of the store.
  bool save_wanted = true;  ///< Something has changed since the last save.
  uint64_t save_number = 0;
  std::optional<TimePoint> save_began;  ///< Of the save that is running.
  TimePoint next_save;
  TimePoint next_refresh;
};

}  // namespace boragewharf::serving
