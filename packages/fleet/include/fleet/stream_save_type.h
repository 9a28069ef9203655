/**
 * @file stream_save_type.h
 * Events and effects of the saves of begun streams.
 *
 * Each node saves its own streams in one object. After a restart, it reads the
 * objects of all nodes.
 */
#pragma once

#include <cstdint>
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

/** An event of the saves. */
struct StreamEvent {
  std::variant<StreamRestoreWanted, StreamSaveWanted, StreamsSaved, StreamsRead>
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

/** An effect of the saves. */
struct StreamEffect {
  std::variant<ReadStreams, SaveStreams, RestoreStreams, EndStreamSave> effect;
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

}  // namespace boragewharf::fleet
