/**
 * @file speed_report_type.h
 * What a node tells the others of the speeds and failures of servers.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "serving/crash_evidence_type.h"

namespace boragewharf::servermodel {

/** Most bytes of an encoded report, so that it stays a small part of a
 * datagram. */
inline constexpr size_t kMaxReportBytes = 1200;

/** Recent samples of one node for one server. Older samples weigh less. */
struct SpeedEntry {
  serving::NameHash lifetime = 0;  ///< See LifetimeKey().
  int8_t log_speed = 0;  ///< Mean logarithm of the speed; 1/kLogScale.
  uint8_t weight = 0;    ///< Its precision; 1/kWeightScale.
  uint8_t ended = 0;     ///< Attempts that ended; 1/kCountScale.
  uint8_t failed = 0;    ///< Failed ones among them; 1/kCountScale.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->lifetime, this->log_speed, this->weight, this->ended,
            this->failed);
  }
};

/** Fixed-point scales of SpeedEntry. */
inline constexpr double kLogScale = 64;
inline constexpr double kWeightScale = 2;
inline constexpr double kCountScale = 8;

/** Payload of ExtensionKind::kServerSpeeds. */
struct SpeedReport {
  std::vector<SpeedEntry> entries;  ///< One for each server.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->entries);
  }
};

/** Bytes of an encoded entry, and of a report without any: byte order and
 * number of entries. */
inline constexpr size_t kEntryBytes = 8;
inline constexpr size_t kReportHeadBytes = 9;

/** Most entries of a report. */
inline constexpr size_t kMaxReportEntries =
    (kMaxReportBytes - kReportHeadBytes) / kEntryBytes;

}  // namespace boragewharf::servermodel
