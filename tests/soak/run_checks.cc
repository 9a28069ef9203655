/**
 * @file run_checks.cc
 * Checks at the end of a soak run.
 */
#include "run_checks.h"

#include <sstream>

namespace boragewharf::soak {

uint32_t RunCount(const Servers& servers, const std::string& id) {
  uint32_t runs = 0;
  for (const auto& server : servers) {
    const auto found = server->RunsByAttempt().find(id);
    runs += found == server->RunsByAttempt().end() ? 0 : found->second;
  }
  return runs;
}

void CheckRunCounts(const Servers& servers,
                    const standins::CloudStandin& cloud,
                    RunRecord& record) {
  for (const auto& [id, path] : record.non_idempotent) {
    if (RunCount(servers, id) > 1) {
      record.violations.push_back(
          id + ": a non-idempotent request ran more than once");
    }
  }
  for (const auto& [id, status] : record.reported_not_run) {
    if (RunCount(servers, id) > 0) {
      std::string fault = id;
      fault.append(": response ")
          .append(status)
          .append(" says not run, but the request has run");
      record.violations.push_back(std::move(fault));
    }
  }
  if (cloud.UsageConflicts() > 0 || cloud.FencingViolations() > 0) {
    record.violations.push_back(
        "usage reports: " + std::to_string(cloud.UsageConflicts()) +
        " conflict(s), " + std::to_string(cloud.FencingViolations()) +
        " fencing violation(s)");
  }
}

void CheckServed(const std::vector<std::unique_ptr<SoakClient>>& clients,
                 uint32_t expected,
                 RunRecord& record) {
  uint32_t served = 0;
  for (const auto& client : clients) {
    served += client->Served();
  }
  if (served < expected) {
    record.violations.push_back("after recovery " + std::to_string(served) +
                                " of " + std::to_string(expected) +
                                " requests were served");
  }
}

std::string StatusSummary(const RunRecord& record) {
  std::ostringstream summary;
  for (const auto& [status, count] : record.statuses) {
    summary << " " << status << ":" << count;
  }
  return summary.str();
}

}  // namespace boragewharf::soak
