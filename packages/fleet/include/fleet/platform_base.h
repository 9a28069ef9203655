/**
 * @file platform_base.h
 * Interface to the platform that a deployment runs on, as the control state
 * needs it.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "fleet/fleet_type.h"

namespace boragewharf::fleet {

/**
 * A deployment's platform. All methods and callbacks run on the control loop.
 * Each callback is called exactly once, unless the platform is destroyed first.
 */
class Platform {
 public:
  using EventSink = std::function<void(Event)>;

  virtual ~Platform() = default;

  /**
   * Starts watching the configuration and the server list, and the roll-out
   * requests if the deployment has bounds for them. Passes ConfigRead,
   * ServersRead, ServerChanged, RolloutsRead, RolloutChanged, StoreReachable
   * and StoreEraRisen events to @p sink.
   */
  virtual void Follow(EventSink sink) = 0;

  /**
   * Pauses or resumes the store calls that Follow() makes, and sets how often
   * they are made.
   * @pre Follow() was called.
   */
  virtual void SetFollowing(const FollowStore& wanted) = 0;

  /** Executes a lease call. Yields one LeaseEvent. */
  virtual void CallLease(const lease::LeaseEffect& call, EventSink sink) = 0;

  /** Records a window's final counts in the store as DecideUsage() decides.
   * Yields UsageFixed with the counts that are final, whichever node recorded
   * them. */
  virtual void Fix(const FixUsage& usage, EventSink sink) = 0;

  /** Saves progress. A failed save is not retried; the next periodic save
   * replaces it. */
  virtual void Save(const SaveProgress& progress) = 0;

  /** Reads saved progress. Yields ProgressRead or ProgressReadFailed. */
  virtual void ReadSaved(EventSink sink) = 0;

  /** Replaces this node's save of begun streams. Yields StreamsSaved. */
  virtual void Save(const SaveStreams& streams, EventSink sink) = 0;

  /** Reads the saved streams of all nodes. Yields StreamsRead. */
  virtual void Read(const ReadStreams& wanted, EventSink sink) = 0;

  /**
   * Asks the store for changes of the server list since the last ones that were
   * passed on, passes them on to the sink of Follow(), and yields
   * ListConfirmed. Fails while the store is not watched, or no list has been
   * read.
   * @pre Follow() was called.
   */
  virtual void Confirm(const ConfirmList& wanted, EventSink sink) = 0;

  /** Reports a window's counts. Yields UsageSent. */
  virtual void Send(const SendUsage& usage, EventSink sink) = 0;

  /** Orders servers. Yields ServersOrdered. An order that has not been sent yet
   * is replaced by a newer one for the same service, zone and kind. */
  virtual void Order(const OrderServers& order, EventSink sink) = 0;

  /** Writes the status of a roll-out request. Yields RolloutStatusWritten. */
  virtual void WriteRollout(const WriteRolloutStatus& wanted,
                            EventSink sink) = 0;

  /** Aborts all queued and running calls of Send() and Order(). Their events
   * report failure. */
  virtual void EndDutyCalls() = 0;

  /**
   * Decodes a configuration text that was received from another node.
   * @return The configuration, or nullptr if the text cannot be decoded.
   */
  virtual std::shared_ptr<const serving::ServingConfig> DecodeConfig(
      std::string_view text) = 0;
};

}  // namespace boragewharf::fleet
