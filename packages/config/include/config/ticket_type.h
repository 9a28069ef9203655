/**
 * @file ticket_type.h
 * A change ticket as filed by an operator.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/strong_id_type.h"
#include "config/document_type.h"

namespace boragewharf::config {

/** Largest ticket, in bytes; a store object is not larger either. */
inline constexpr size_t kMaxTicketBytes = 1000000;

/**
 * Largest serialized document, in bytes. The store accepts 1 MB; the rest is
 * left for the envelope that the object API puts around it.
 */
inline constexpr size_t kMaxDocumentBytes = 960000;

/** Accepted tickets that a document remembers. */
inline constexpr size_t kMaxTicketRecords = 1000;

/** Longest summary of a ticket, in bytes. */
inline constexpr size_t kMaxSummaryBytes = 160;

/** Largest serialized record of a ticket: summary, digest and two numbers. */
inline constexpr size_t kMaxRecordBytes = 320;

/**
 * Largest serialized configuration, in bytes. A document holds two of them
 * while a ticket is staged, besides its records. A larger one could be
 * accepted, but neither changed nor made smaller afterwards.
 */
inline constexpr size_t kMaxConfigurationBytes =
    (kMaxDocumentBytes - kMaxTicketRecords * kMaxRecordBytes) / 2;

enum class ObjectKind : uint8_t { kCustomer, kService, kModel, kLimits };

/** Names one object of a configuration. */
struct ObjectName {
  ObjectKind kind = ObjectKind::kCustomer;  ///< Kind of the object.
  std::string name;                         ///< Unique within the kind.

  auto operator<=>(const ObjectName&) const = default;
};

/** A change of several objects that takes effect as a whole. */
struct Ticket {
  TicketNumber number;             ///< Chosen by the operator.
  ConfigRevision base;             ///< Revision that the operator looked at.
  Configuration set;               ///< New states; origins are not filled.
  std::vector<ObjectName> remove;  ///< Sorted, without repetitions.
};

/** Name of a kind as in a ticket. @note Thread-safe. */
std::string_view KindName(ObjectKind kind);

/** "KIND/NAME". @note Thread-safe. */
std::string ToString(const ObjectName& object);

}  // namespace boragewharf::config
