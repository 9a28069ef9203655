/**
 * @file snapshot_publisher_base.cc
 * Conversion of control state to routing snapshots.
 */
#include "daemon/snapshot_publisher_base.h"

#include <algorithm>

#include "backend/backend_func.h"
#include "control/control_func.h"
#include "membership/membership_func.h"

namespace boragewharf::daemon {

namespace {

bool IsListedLeaving(const control::ControlState& state,
                     std::string_view instance) {
  return std::ranges::any_of(state.entries, [&](const auto& entry) {
    return entry.leaving && entry.instance == instance;
  });
}

std::vector<traffic::EntryInstance> MakeEntries(
    const control::ControlState& state,
    const MemberDirectory& directory) {
  std::vector<traffic::EntryInstance> entries;
  for (const membership::Member& member : directory.members) {
    entries.push_back({member.instance, member.caller_address, member.zone,
                       member.region, IsListedLeaving(state, member.instance)});
  }
  return entries;
}

std::shared_ptr<const MemberDirectory> MakeDirectory(
    const control::ControlState& state) {
  auto directory = std::make_shared<MemberDirectory>();
  directory->members = membership::LiveMembers(state.membership);
  for (const membership::Member& member : directory->members) {
    directory->ids.push_back(member.id);
  }
  return directory;
}

}  // namespace

SnapshotPublisher::SnapshotPublisher(DirectoryHolder& member_directory)
    : directory(member_directory) {
  auto initial = std::make_shared<traffic::RoutingSnapshot>();
  initial->serving_lease_end = TimePoint{};
  this->current.store(std::move(initial));
}

void SnapshotPublisher::SetListener(std::function<void()> listener) {
  const std::lock_guard lock(this->listener_mutex);
  this->on_publish = std::move(listener);
}

void SnapshotPublisher::Publish(const control::ControlState& state) {
  const auto members = MakeDirectory(state);
  this->directory.Set(members);
  const ConfigRevision held = config::HeldRevision(state.config.document);
  if (!this->configuration || held != this->configuration_revision) {
    this->configuration = control::ConfigurationInForce(state);
    this->configuration_revision = held;
  }
  auto snapshot = std::make_shared<traffic::RoutingSnapshot>();
  snapshot->configuration = this->configuration;
  for (backend::BackendServer& server : backend::ListServers(state.backend)) {
    snapshot->servers[server.service].push_back(std::move(server));
  }
  snapshot->entries = MakeEntries(state, *members);
  snapshot->serving_lease_end = membership::ServingLeaseEnd(state.membership);
  snapshot->draining = state.draining;
  for (const auto& [fingerprint, status] :
       backend::MakeSuspectTable(state.backend)) {
    if (status == backend::SuspectStatus::kRefused) {
      snapshot->convicted.insert(fingerprint);
    }
  }
  this->current.store(std::move(snapshot));
  const std::lock_guard lock(this->listener_mutex);
  if (this->on_publish) {
    this->on_publish();
  }
}

}  // namespace boragewharf::daemon
