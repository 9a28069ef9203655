/**
 * @file stream_records_type.h
 * What nodes tell each other and save of the versions that began streams.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "serving/peer_type.h"

namespace boragewharf::serving {

/** A software version of a service's servers. */
struct ListedVersion {
  std::string version;  ///< Empty: the servers state none.
  uint32_t age_ms = 0;  ///< Time since a server of it was last listed or used.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->age_ms);
  }
};

/** The versions of a service that were in use lately. */
struct VersionHistory {
  NameHash service = 0;
  std::vector<ListedVersion> versions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->versions);
  }
};

/** Unit of BegunStream::age. */
inline constexpr std::chrono::milliseconds kStreamAgeUnit(100);

/** A stream that began lately. */
struct BegunStream {
  uint64_t stream = 0;  ///< Hash of its service and attempt id.
  uint16_t age = 0;     ///< Time since it began, in kStreamAgeUnit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->stream, this->age);
  }
};

/** Streams that servers of one version began. */
struct BegunStreams {
  NameHash service = 0;
  std::string version;
  std::vector<BegunStream> streams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->version, this->streams);
  }
};

/** Payload of ExtensionKind::kStreamVersions, and content of a save. Ages are
 * as of the message or the save. */
struct StreamReport {
  /** The sender knows of all versions that were in use lately. A node that does
   * not is told by the others. */
  bool complete = false;
  std::vector<VersionHistory> history;  ///< Of all services, or empty.
  std::vector<BegunStreams> groups;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->complete, this->history, this->groups);
  }
};

/** What a node wants to have saved of its streams. */
struct StreamSave {
  uint64_t number = 0;  ///< For StreamRecords::EndSave().
  StreamReport report;
};

/** A save that a node has made. */
struct SavedStreams {
  bool own = false;  ///< Of an earlier process of this node.
  /** Ages include the time since the save. */
  StreamReport report;
  /** The store has come back from a copy since; later saves may be lost. */
  bool from_earlier_era = false;
};

}  // namespace boragewharf::serving
