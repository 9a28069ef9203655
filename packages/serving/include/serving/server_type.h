/**
 * @file server_type.h
 * Backend servers as listed by the platform.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/time_type.h"

namespace boragewharf::serving {

/** A listed backend server. */
struct BackendServer {
  std::string id;       ///< New with most starts of the server.
  std::string service;  ///< Service that it runs.
  Endpoint address;
  std::string zone;
  uint32_t slots = 1;        ///< Requests that it runs at once.
  uint64_t started = 0;      ///< Unix milliseconds of its start.
  bool draining = false;     ///< Leaving; gets no new work.
  bool reclaimable = false;  ///< The cloud may take it back.

  bool operator==(const BackendServer&) const = default;
};

/** All listed servers at a revision of the store. Immutable once published. */
struct ServerSet {
  uint64_t revision = 0;  ///< Store revision that the set reflects.
  TimePoint read_at;      ///< When it was read or last changed.
  std::vector<BackendServer> servers;
};

}  // namespace boragewharf::serving
