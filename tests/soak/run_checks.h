/**
 * @file run_checks.h
 * What the clients and the stand-ins of a soak run must have observed.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "platform_standin.h"
#include "soak_client.h"

namespace boragewharf::soak {

using Servers = std::vector<std::unique_ptr<standins::ServerStandin>>;

/** @return How often the servers ran a request. */
uint32_t RunCount(const Servers& servers, const std::string& id);

/**
 * Records violations by requests that ran too often, or although their response
 * says that they have not, and by usage reports.
 */
void CheckRunCounts(const Servers& servers,
                    const standins::CloudStandin& cloud,
                    RunRecord& record);

/** Records a violation unless the clients were served @p expected requests. */
void CheckServed(const std::vector<std::unique_ptr<SoakClient>>& clients,
                 uint32_t expected,
                 RunRecord& record);

/** @return The number of requests by status, as a line of text. */
std::string StatusSummary(const RunRecord& record);

}  // namespace boragewharf::soak
