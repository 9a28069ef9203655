/**
 * @file stream_records_save.cc
 * Saves of the begun streams, and what is restored of them.
 */
#include <algorithm>
#include <iterator>

#include "serving/stream_records_base.h"
#include "stream_records_bounds.h"

namespace boragewharf::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Shortest interval between saves of a node, and its increase per node, with
 * which all nodes together make at most 200 saves per second. */
constexpr milliseconds kMinSavePeriod(250);
constexpr milliseconds kSavePeriodPerNode(5);

/** Interval of saves while nothing changes: other processes ignore old ones. */
constexpr seconds kRefreshPeriod(60);

/** Time after which the result of a save is no longer waited for. */
constexpr seconds kMaxSaveTime(5);

/** Bytes of the history in a save. */
constexpr size_t kMaxSavedHistoryBytes = size_t{32} * 1024;

/** Streams of a save. At most 22 bytes each as text, which is below half of
 * the largest object of a store. */
constexpr size_t kMaxSavedStreams = 20000;

}  // namespace

Duration StreamRecords::SavePeriod() const {
  return std::max<Duration>(kMinSavePeriod, this->nodes * kSavePeriodPerNode);
}

std::optional<StreamSave> StreamRecords::TakeSave(TimePoint now) {
  if (this->save_began && now - *this->save_began >= kMaxSaveTime) {
    this->EndSave(this->save_number, false, now);
  }
  const bool due = now >= this->next_refresh ||
                   (this->save_wanted && now >= this->next_save);
  if (!this->restored || this->history.empty() || this->save_began || !due) {
    return std::nullopt;
  }
  this->save_wanted = false;
  this->save_began = now;
  this->next_save = now + this->SavePeriod();
  this->next_refresh = now + kRefreshPeriod;
  StreamSave save;
  save.number = ++this->save_number;
  // What others began while contact was missing is in their own saves. Without
  // this, no node could read a complete history after all were suspended.
  save.report.complete = this->complete || this->was_complete;
  this->AppendHistory(save.report, kMaxSavedHistoryBytes, now);
  std::map<std::pair<NameHash, std::string_view>, BegunStreams> groups;
  size_t streams = 0;
  for (auto stream = this->own_order.rbegin();
       stream != this->own_order.rend() && streams < kMaxSavedStreams;
       ++stream) {
    const Record& record = this->records.at(*stream);
    const bool needed = record.version == kUnknownVersion ||
                        this->HasSeveralVersions(record.service);
    if (!needed || record.version.size() > kMaxVersionBytes) {
      continue;
    }
    BegunStreams& group = groups[{record.service, record.version}];
    group.service = record.service;
    group.version = record.version;
    group.streams.push_back({*stream, AgeUnits(record.begun, now)});
    streams += 1;
  }
  for (auto& [key, group] : groups) {
    save.report.groups.push_back(std::move(group));
  }
  return save;
}

void StreamRecords::EndSave(uint64_t number, bool saved, TimePoint now) {
  if (number != this->save_number || !this->save_began) {
    return;
  }
  this->save_began.reset();
  if (!saved) {
    this->save_wanted = true;
    this->next_save = std::max(this->next_save, now + this->SavePeriod());
  }
}

void StreamRecords::Restore(const std::vector<SavedStreams>& saved,
                            TimePoint asked,
                            TimePoint now) {
  const bool outdated = this->missed_until && asked < *this->missed_until;
  this->restored = true;
  this->save_wanted = true;
  for (const SavedStreams& node : saved) {
    if (node.own && this->own_save_merged) {
      continue;  // The records are newer.
    }
    StreamReport report = node.report;
    report.complete &= !outdated;
    if (node.from_earlier_era && report.complete && !report.history.empty()) {
      // It lacks versions that appeared after the copy was taken. Those that
      // serve are listed soon.
      report.complete = false;
      this->complete_from = now + kEntryReturnTime;
    }
    this->MergeReport(report, now, node.own);
  }
  this->own_save_merged = true;
}

}  // namespace boragewharf::serving
