/**
 * @file stream_save_type.h
 * Events and effects of the saves of begun streams, and of the question whether
 * the server list is that of the store.
 *
 * Each node saves its own streams in one object. After a restart, it reads the
 * objects of all nodes.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time_type.h"
#include "serving/stream_records_type.h"

namespace boragewharf::fleet {

// Events.

/** Saves are to be read: this is not the first start of the deployment, or the
 * node may have missed versions or streams of the others. */
struct StreamRestoreWanted {};

/** The data plane wants its streams saved. */
struct StreamSaveWanted {
  serving::StreamSave save;
};

/** A SaveStreams effect has completed. */
struct StreamsSaved {
  uint64_t number = 0;
  bool saved = false;
};

/** The save of one node, as read from the store. */
struct StoredStreams {
  bool own = false;  ///< Saved under this node's name.
  int64_t saved_wall_ms = 0;
  serving::StreamReport report;  ///< Ages as of the save.
  uint64_t era = 0;              ///< Of the store when it was saved.
  /** The store has come back from a copy since; later saves may be lost. */
  bool from_earlier_era = false;
};

/** A ReadStreams effect has completed. */
struct StreamsRead {
  bool read = false;  ///< All objects were read.
  std::vector<StoredStreams> saved;
  uint32_t unreadable = 0;  ///< Objects that could not be decoded.
  /** This node's wall clock when they were read. */
  int64_t clock_wall_ms = 0;
};

/** The data plane wants to know whether the server list is that of the store.
 */
struct ListConfirmationWanted {
  /** A node that does not watch the store is to begin to: none of those that do
   * has answered it. */
  bool begin_to_watch = false;
};

/** A ConfirmList effect has completed. The changes that the store has answered
 * with were passed on before. */
struct ListConfirmed {
  bool confirmed = false;
};

/** An event of the saves, or of the server list's confirmation. */
struct StreamEvent {
  std::variant<StreamRestoreWanted,
               StreamSaveWanted,
               StreamsSaved,
               StreamsRead,
               ListConfirmationWanted,
               ListConfirmed>
      event;
};

// Effects.

/** Read the saves of all nodes. Completes with StreamsRead. */
struct ReadStreams {
  /** Timeout of each call. Longer after failures: between regions, the saves
   * take as long as the link is busy with those for the other nodes. */
  std::chrono::milliseconds timeout{0};
};

/** Replace this node's save. Completes with StreamsSaved. */
struct SaveStreams {
  serving::StreamSave save;
  int64_t wall_ms = 0;
};

/** Hand the saves of all nodes to the data plane. */
struct RestoreStreams {
  std::vector<serving::SavedStreams> saved;
  TimePoint asked;  ///< When they were asked for.
};

/** Tell the data plane that a save has ended. */
struct EndStreamSave {
  uint64_t number = 0;
  bool saved = false;
};

/** Ask the store for changes of the server list that this node has not been
 * told of. Completes with ListConfirmed. */
struct ConfirmList {};

/** Tell the data plane that the published server list was that of the store, or
 * a later one, at the given time. */
struct ReportListConfirmed {
  TimePoint asked;
};

/** An effect of the saves, or of the server list's confirmation. */
struct StreamEffect {
  std::variant<ReadStreams,
               SaveStreams,
               RestoreStreams,
               EndStreamSave,
               ConfirmList,
               ReportListConfirmed>
      effect;
};

// State.

/** Progress of reading the saves. */
struct StreamRestoreState {
  bool wanted = false;  ///< They have not been read yet.
  bool reading = false;
  bool wanted_again = false;  ///< Since the read began.
  TimePoint asked;            ///< When the last read began.
  TimePoint next_read;
  uint32_t failed_reads = 0;
};

/** Progress of the confirmation of the server list. */
struct ListConfirmationState {
  bool wanted = false;  ///< Since the call began, or none is under way.
  bool calling = false;
  TimePoint asked;  ///< When the last call was made.
  /** When the last call that was answered had been made. */
  std::optional<TimePoint> confirmed;
  /** Until when this node watches the store although others do. */
  TimePoint watch_until;
  /** Since when no majority of the nodes has been heard. */
  std::optional<TimePoint> few_heard_since;
};

}  // namespace boragewharf::fleet
