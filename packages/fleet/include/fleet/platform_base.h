/**
 * @file platform_base.h
 * What the control state needs of the platform that a deployment runs on.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/**
 * A deployment's platform. All methods and callbacks run on the control loop;
 * each callback is called exactly once, unless the platform is destroyed.
 */
class Platform {
 public:
  using EventSink = std::function<void(Event)>;

  virtual ~Platform() = default;

  /**
   * Follows the configuration and the servers from now on. Yields ConfigRead,
   * ServersRead, ServerChanged and StoreReachable.
   */
  virtual void Follow(EventSink sink) = 0;

  /**
   * Stops or resumes the calls that Follow() makes, and sets their pace.
   * @pre Follow() was called.
   */
  virtual void SetFollowing(const FollowStore& wanted) = 0;

  /** Executes a lease call; yields one LeaseEvent. */
  virtual void CallLease(const lease::LeaseEffect& call, EventSink sink) = 0;

  /** Fixes a window's counts as DecideUsage() tells; yields UsageFixed with the
   * counts that are fixed, whoever fixed them. */
  virtual void Fix(const FixUsage& usage, EventSink sink) = 0;

  /** Saves progress. Failures are left to the next save. */
  virtual void Save(const SaveProgress& progress) = 0;

  /** Reads saved progress; yields ProgressRead if there is any. */
  virtual void ReadSaved(EventSink sink) = 0;

  /** Reports a window; yields UsageSent. */
  virtual void Send(const SendUsage& usage, EventSink sink) = 0;

  /** Orders servers; yields ServersOrdered. An order that still waits gives way
   * to a newer one for the same servers. */
  virtual void Order(const OrderServers& order, EventSink sink) = 0;

  /** Ends the calls of Send() and Order() that wait or are under way; they
   * yield their events without success. */
  virtual void EndDutyCalls() = 0;

  /**
   * Decodes a configuration as another node read it.
   * @return nullptr if it cannot be read.
   */
  virtual std::shared_ptr<const serving::ServingConfig> DecodeConfig(
      std::string_view text) = 0;
};

}  // namespace boragewharf::fleet
