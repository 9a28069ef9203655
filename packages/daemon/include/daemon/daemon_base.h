/**
 * @file daemon_base.h
 * A daemon with all its parts.
 */
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

#include "base/counter_base.h"
#include "base/time_type.h"
#include "settings/settings_type.h"

namespace boragewharf::daemon {

/** Owns and connects all parts of a daemon. */
class Daemon {
 public:
  explicit Daemon(Settings daemon_settings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /**
   * Opens all sockets and starts all threads.
   * @return False with the last reason.
   * @pre Called once.
   */
  bool Start();

  /**
   * Asks for a graceful shutdown; returns at once.
   * @param reclaim_at When the instance is stopped, if it is reclaimed.
   * @note Thread-safe.
   */
  void RequestDrain(std::optional<TimePoint> reclaim_at = {});

  /** Blocks until a drain is requested. @note Thread-safe. */
  void WaitForDrainRequest();

  /**
   * Serves what is in flight, then stops.
   * @return False if work was left when the time was over.
   */
  bool DrainAndStop();

 private:
  struct Parts;

  const Settings settings;
  CounterRegistry counters;
  std::mutex mutex;
  std::condition_variable drain_changed;
  bool drain_requested = false;
  std::optional<TimePoint> drain_deadline;
  std::unique_ptr<Parts> parts;
};

}  // namespace boragewharf::daemon
