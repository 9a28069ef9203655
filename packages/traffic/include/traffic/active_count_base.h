/**
 * @file active_count_base.h
 * Number of calls in progress, to wait for when draining.
 */
#pragma once

#include <condition_variable>
#include <mutex>

#include "base/time_type.h"

namespace boragewharf::traffic {

/** Counts calls in progress. Thread-safe. */
class ActiveCount {
 public:
  /** Counts one call while it exists. */
  class Hold {
   public:
    explicit Hold(ActiveCount& owner) : count(owner) { this->count.Add(1); }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;
    ~Hold() { this->count.Add(-1); }

   private:
    ActiveCount& count;
  };

  /** Calls in progress. */
  int64_t Get() const {
    const std::lock_guard lock(this->mutex);
    return this->active;
  }

  /** Waits until there are none. @return False after @p timeout. */
  bool WaitNone(Duration timeout) {
    std::unique_lock lock(this->mutex);
    return this->ended.wait_for(lock, timeout,
                                [this] { return this->active == 0; });
  }

 private:
  void Add(int64_t change) {
    const std::lock_guard lock(this->mutex);
    this->active += change;
    if (this->active == 0) {
      this->ended.notify_all();
    }
  }

  mutable std::mutex mutex;
  std::condition_variable ended;
  int64_t active = 0;
};

}  // namespace boragewharf::traffic
