/**
 * @file instance_type.h
 * Records of the platform's instance list.
 */
#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint_type.h"

namespace boragewharf {

/** What an instance runs. */
enum class InstanceRole : uint8_t {
  kEntry,    ///< The daemon.
  kBackend,  ///< A backend server.
};

/** One instance of the instance list. */
struct InstanceRecord {
  std::string name;  ///< Unique name.
  /**
   * False if the record's spec cannot be read. The instance exists, but only
   * `name` is set; it must not be taken for an instance that has gone.
   */
  bool readable = false;
  InstanceRole role = InstanceRole::kBackend;  ///< What it runs.
  std::string service;                         ///< Service of a backend server.
  Endpoint address;             ///< Where a backend server listens.
  std::string zone;             ///< Availability zone.
  std::string region;           ///< Region of the zone.
  std::string machine_class;    ///< Machine class.
  double price_per_hour = 0;    ///< In the platform's currency.
  bool reclaimable = false;     ///< Can be taken back with short notice.
  bool leaving = false;         ///< Reclaimed or stopping.
  bool checks_fencing = false;  ///< Refuses orders with old fencing numbers.
  Endpoint caller_address;      ///< Where an entry instance serves callers.
  Endpoint peer_address;        ///< Where an entry instance listens for peers.

  bool operator==(const InstanceRecord&) const = default;
};

}  // namespace boragewharf
