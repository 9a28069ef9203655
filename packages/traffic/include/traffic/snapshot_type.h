/**
 * @file snapshot_type.h
 * What traffic threads know of the rest of the system.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backend/backend_type.h"
#include "base/digest_func.h"
#include "base/endpoint_type.h"
#include "base/time_type.h"
#include "config/document_type.h"

namespace boragewharf::traffic {

/** An entry instance as callers see it. */
struct EntryInstance {
  std::string instance;  ///< Name in the instance list.
  Endpoint address;      ///< Caller address.
  std::string zone;      ///< Availability zone.
  std::string region;    ///< Region of the zone.
  bool leaving = false;  ///< Drains or is reclaimed.
};

/** Immutable view of one moment; replaced as a whole. */
struct RoutingSnapshot {
  using Servers = std::vector<backend::BackendServer>;

  /** Accepted configuration; null before there is one. */
  std::shared_ptr<const config::Configuration> configuration;
  std::map<std::string, Servers, std::less<>> servers;  ///< By service.
  std::vector<EntryInstance> entries;                   ///< All live ones.
  /** End of the serving lease; empty if none is needed. */
  std::optional<TimePoint> serving_lease_end;
  bool draining = false;       ///< This instance is leaving.
  std::set<Digest> convicted;  ///< Fingerprints that crash servers.
};

using SnapshotPtr = std::shared_ptr<const RoutingSnapshot>;

}  // namespace boragewharf::traffic
