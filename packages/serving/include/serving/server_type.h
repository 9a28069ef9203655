/**
 * @file server_type.h
 * Backend servers, as listed by the platform.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/time_type.h"

namespace boragewharf::serving {

/** Longest version that nodes tell each other and save. A service with a longer
 * one has no complete history outside of the node. */
inline constexpr size_t kMaxVersionBytes = 128;

/** A backend server in the platform's list. */
struct BackendServer {
  std::string id;       ///< Changes with most restarts of the server.
  std::string service;  ///< Name of the service that it runs.
  Endpoint address;
  std::string zone;
  uint32_t slots = 1;        ///< Requests that it runs concurrently.
  uint64_t started = 0;      ///< Start time in Unix milliseconds.
  bool draining = false;     ///< Finishes its requests and gets no new ones.
  bool reclaimable = false;  ///< The cloud provider may reclaim it.
  /** Of its software, of at most kMaxVersionBytes; empty if not stated. */
  std::string version;
  /** Time from the entry's last change until the server has warmed up. */
  uint32_t cold_left_ms = 0;

  bool operator==(const BackendServer&) const = default;
};

/** All listed servers at a store revision. Immutable after it is published. */
struct ServerSet {
  uint64_t revision = 0;  ///< Store revision of the list.
  uint64_t era = 0;       ///< Era of the store for the revision.
  TimePoint read_at;      ///< When the list was read or last changed.
  std::vector<BackendServer> servers;
};

}  // namespace boragewharf::serving
