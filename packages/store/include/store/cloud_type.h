/**
 * @file cloud_type.h
 * Notices and orders of the cloud API.
 */
#pragma once

#include <string>

#include "base/time_type.h"

namespace boragewharf {

/** Announces that the cloud takes an instance back. */
struct ReclaimNotice {
  std::string instance;  ///< Name in the instance list.
  WallTime deadline;     ///< When the instance is stopped.

  bool operator==(const ReclaimNotice&) const = default;
};

/** Asks for a new instance. */
struct StartOrder {
  std::string name;           ///< Chosen by the caller; makes repeats safe.
  std::string service;        ///< Service that it shall run.
  std::string zone;           ///< Availability zone.
  std::string machine_class;  ///< Machine class.
  bool reclaimable = true;    ///< Cheaper, but can be taken back.

  bool operator==(const StartOrder&) const = default;
};

}  // namespace boragewharf
