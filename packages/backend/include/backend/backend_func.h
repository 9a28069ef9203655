/**
 * @file backend_func.h
 * The reducer of the table of backend servers, and questions about requests.
 */
#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "backend/backend_state.h"

namespace boragewharf::backend {

/** How a request has to be treated. */
enum class SuspectStatus : uint8_t {
  kClear,    ///< As any other.
  kAlone,    ///< Runs on a server that runs nothing else.
  kRefused,  ///< Is refused with kRequestCrashesServers.
};

/** Immutable copy of all suspects for traffic threads. */
using SuspectTable =
    std::unordered_map<Fingerprint, SuspectStatus, FingerprintHash>;

/** Name of a status for operators. @note Thread-safe. */
std::string_view StatusName(BackendStatus status);

/** An empty table. @param seed Seed of the jitter. */
BackendState MakeBackendState(const BackendOptions& options, uint64_t seed);

/**
 * Applies one event.
 * @param now Present time; never earlier than in the call before.
 * @param effects Effects to execute are appended, in order.
 * @note Not thread-safe; uses no clock, socket, lock or random device.
 */
void Reduce(BackendState& state,
            const BackendEvent& event,
            TimePoint now,
            std::vector<BackendEffect>& effects);

/** How the request has to be treated now. @note Not thread-safe. */
SuspectStatus StatusOf(const BackendState& state,
                       const Fingerprint& fingerprint);

/** All fingerprints that are not kClear. @note Not thread-safe. */
SuspectTable MakeSuspectTable(const BackendState& state);

/** All servers, in the order of their names. @note Not thread-safe. */
std::vector<BackendServer> ListServers(const BackendState& state);

}  // namespace boragewharf::backend
