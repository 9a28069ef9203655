/**
 * @file stream_lookup_type.h
 * Datagrams with which a node asks others which version began a stream.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "serving/peer_type.h"
#include "serving/stream_records_type.h"

namespace boragewharf::serving {

/** Question of a node at which a client takes up a stream. */
struct StreamQuery {
  uint64_t number = 0;  ///< Of the lookup; new for each one.
  NameHash service = 0;
  uint64_t stream = 0;  ///< Hash of its service and attempt id.
  /** The server list is to be confirmed with the store, if the receiver watches
   * the store; a second answer follows. */
  bool confirm = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->service, this->stream, this->confirm);
  }
};

/** What a node knew after the question had arrived. */
struct StreamAnswer {
  uint64_t number = 0;   ///< Of the query.
  bool current = false;  ///< The history has all versions that were in use.
  /** The store has confirmed, since the question, that the history has all
   * versions of listed servers. Only with current. */
  bool confirmed = false;
  VersionHistory history;              ///< Of the service.
  std::vector<BegunStreams> recorded;  ///< The stream; empty if unknown.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->current, this->confirmed, this->history,
            this->recorded);
  }
};

/** A datagram between the data planes of two nodes. */
struct StreamMessage {
  std::vector<BegunStreams> begun;  ///< Streams that the sender began.
  std::vector<StreamQuery> queries;
  std::vector<StreamAnswer> answers;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->begun, this->queries, this->answers);
  }
};

/** Versions in an answer. More tell no more: with two, only a record does. */
inline constexpr size_t kMaxAnsweredVersions = 8;

}  // namespace boragewharf::serving
