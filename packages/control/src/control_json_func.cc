/**
 * @file control_json_func.cc
 * JSON views of the control state for operators.
 */
#include <nlohmann/json.hpp>

#include "backend/backend_func.h"
#include "config/config_func.h"
#include "control/control_func.h"
#include "membership/membership_func.h"

namespace boragewharf::control {

namespace {

using Json = nlohmann::ordered_json;

Json MemberJson(const membership::Member& member) {
  return {{"id", member.id.value},
          {"instance", member.instance},
          {"zone", member.zone},
          {"region", member.region},
          {"callerAddress", ToString(member.caller_address)},
          {"peerAddress", ToString(member.peer_address)},
          {"status", StatusName(member.status)},
          {"heldRevision", member.report.held_revision.value},
          {"openStreams", member.report.open_streams}};
}

Json MembersJson(const ControlState& state) {
  Json members = Json::array();
  for (const auto& member : membership::LiveMembers(state.membership)) {
    members.push_back(MemberJson(member));
  }
  for (const auto& member : membership::UnheardMembers(state.membership)) {
    members.push_back(MemberJson(member));
  }
  return members;
}

Json BackendsJson(const ControlState& state) {
  Json servers = Json::array();
  for (const auto& server : backend::ListServers(state.backend)) {
    servers.push_back({{"instance", server.instance},
                       {"service", server.service},
                       {"address", ToString(server.address)},
                       {"zone", server.zone},
                       {"status", StatusName(server.status)},
                       {"running", server.reported_running}});
  }
  return servers;
}

Json ConfigurationJson(const ControlState& state) {
  const config::Document& document = state.config.document;
  Json waiting = Json::array();
  for (const std::string& instance : config::WaitingFor(state.config)) {
    waiting.push_back(instance);
  }
  Json staged;
  if (document.staged) {
    staged = {{"ticket", document.staged->record.number.value},
              {"revision", document.staged->record.revision.value},
              {"waitingFor", waiting}};
  }
  return {{"acceptedRevision", document.accepted.revision.value},
          {"heldRevision", config::HeldRevision(document).value},
          {"staged", staged}};
}

Json StatusObject(const ControlState& state, TimePoint now) {
  return {
      {"instance", state.membership.self.instance},
      {"zone", state.membership.self.zone},
      {"draining", state.draining},
      {"servingLease", membership::HoldsServingLease(state.membership, now)},
      {"openStreams", state.open_streams},
      {"configuration", ConfigurationJson(state)},
      {"members", MembersJson(state)},
      {"backendServers", BackendsJson(state)}};
}

Json ConfigCountersJson(const config::ConfigCounters& counters) {
  return {{"staleDocuments", counters.stale_documents},
          {"malformedDocuments", counters.malformed_documents},
          {"newerFormats", counters.newer_formats},
          {"storeFailures", counters.store_failures},
          {"writeConflicts", counters.write_conflicts},
          {"unknownWrites", counters.unknown_writes}};
}

Json ObjectNamesJson(const config::Configuration& configuration) {
  Json names = {{"customers", Json::array()},
                {"services", Json::array()},
                {"models", Json::array()},
                {"limits", Json::array()}};
  for (const auto& [name, object] : configuration.customers) {
    names["customers"].push_back(name);
  }
  for (const auto& [name, object] : configuration.services) {
    names["services"].push_back(name);
  }
  for (const auto& [name, object] : configuration.models) {
    names["models"].push_back(name);
  }
  for (const auto& [name, object] : configuration.limits) {
    names["limits"].push_back(name);
  }
  return names;
}

}  // namespace

std::string StatusJson(const ControlState& state, TimePoint now) {
  return StatusObject(state, now).dump();
}

std::string DumpJson(const ControlState& state, TimePoint now) {
  Json dump = StatusObject(state, now);
  dump["memberId"] = state.membership.self.id.value;
  dump["objects"] = ObjectNamesJson(state.config.document.accepted);
  dump["configCounters"] = ConfigCountersJson(state.config.counters);
  dump["ownedShards"] = Json::array();
  for (const auto& [shard, content] : state.ledger.shards) {
    dump["ownedShards"].push_back(shard.value);
  }
  dump["backendTotals"] = {{"ejections", state.backend.totals.ejections},
                           {"crashes", state.backend.totals.crashes},
                           {"convictions", state.backend.totals.convictions}};
  return dump.dump();
}

}  // namespace boragewharf::control
