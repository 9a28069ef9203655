/**
 * @file poller_base.h
 * Periodic reads of the instance list and of reclaim notices.
 */
#pragma once

#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

#include "daemon/control_loop_base.h"
#include "store/cloud_api_base.h"
#include "store/instance_list_base.h"

namespace boragewharf::daemon {

/** Polls the platform and posts what it read. */
class Poller {
 public:
  /** All references outlive the poller. @param seed For jitter. */
  Poller(ControlLoop& control_loop,
         InstanceList& instance_list,
         CloudApi& cloud_api,
         uint64_t seed);
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;
  /** Stops polling. */
  ~Poller();

 private:
  /** Sleeps for @p period with jitter. @return False once stopped. */
  bool Sleep(Duration period, std::mt19937_64& random);
  void PollInstances(uint64_t seed);
  void PollNotices(uint64_t seed);

  ControlLoop& loop;
  InstanceList& instances;
  CloudApi& cloud;
  std::mutex mutex;
  std::condition_variable wake;
  bool stopped = false;
  std::thread instance_thread;
  std::thread notice_thread;
};

}  // namespace boragewharf::daemon
