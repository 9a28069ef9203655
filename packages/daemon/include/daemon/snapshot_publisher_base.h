/**
 * @file snapshot_publisher_base.h
 * Publishes routing snapshots for traffic threads.
 */
#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "control/control_type.h"
#include "daemon/member_directory_base.h"
#include "traffic/provider_base.h"

namespace boragewharf::daemon {

/** Makes snapshots of the control state; traffic threads read the newest. */
class SnapshotPublisher : public traffic::SnapshotSource {
 public:
  /** @param member_directory Outlives the publisher. */
  explicit SnapshotPublisher(DirectoryHolder& member_directory);

  /** @param listener Called after each publication; must not block. */
  void SetListener(std::function<void()> listener);

  /** Publishes the state. @pre Called on the control thread only. */
  void Publish(const control::ControlState& state);

  traffic::SnapshotPtr Get() const override { return this->current.load(); }

 private:
  DirectoryHolder& directory;
  std::atomic<traffic::SnapshotPtr> current;
  std::shared_ptr<const config::Configuration> configuration;
  ConfigRevision configuration_revision;
  std::mutex listener_mutex;
  std::function<void()> on_publish;
};

}  // namespace boragewharf::daemon
