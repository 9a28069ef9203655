/**
 * @file poller_base.cc
 * Polling threads.
 */
#include "daemon/poller_base.h"

namespace boragewharf::daemon {

namespace {

constexpr Duration kInstancePeriod = std::chrono::seconds(2);
constexpr Duration kNoticePeriod = std::chrono::seconds(1);

/** Longest time between polls while the platform does not answer. */
constexpr Duration kLongestPeriod = std::chrono::seconds(16);

/** Doubles the period after a failure, up to the longest one. */
Duration NextPeriod(bool succeeded, Duration current, Duration base) {
  return succeeded ? base : std::min(current * 2, kLongestPeriod);
}

}  // namespace

Poller::Poller(ControlLoop& control_loop,
               InstanceList& instance_list,
               CloudApi& cloud_api,
               uint64_t seed)
    : loop(control_loop), instances(instance_list), cloud(cloud_api) {
  this->instance_thread =
      std::thread([this, seed] { this->PollInstances(seed); });
  this->notice_thread =
      std::thread([this, seed] { this->PollNotices(seed + 1); });
}

Poller::~Poller() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->wake.notify_all();
  this->instance_thread.join();
  this->notice_thread.join();
}

bool Poller::Sleep(Duration period, std::mt19937_64& random) {
  // Up to half of the period as jitter, so that daemons started together do
  // not call the platform at the same moments.
  std::uniform_int_distribution<int64_t> jitter(0, period.count() / 2);
  const Duration time = period * 3 / 4 + Duration(jitter(random));
  std::unique_lock lock(this->mutex);
  this->wake.wait_for(lock, time, [this] { return this->stopped; });
  return !this->stopped;
}

void Poller::PollInstances(uint64_t seed) {
  std::mt19937_64 random(seed);
  Duration period = kInstancePeriod;
  do {
    auto records = this->instances.Read();
    period = NextPeriod(records.has_value(), period, kInstancePeriod);
    if (records) {
      this->loop.Post(control::InstancesRead{std::move(*records)});
    }
  } while (this->Sleep(period, random));
}

void Poller::PollNotices(uint64_t seed) {
  std::mt19937_64 random(seed);
  Duration period = kNoticePeriod;
  do {
    const auto notices = this->cloud.ReadNotices();
    period = NextPeriod(notices.has_value(), period, kNoticePeriod);
    if (!notices) {
      continue;
    }
    control::NoticesRead event;
    for (const ReclaimNotice& notice : *notices) {
      event.notices.push_back(
          {notice.instance, BootClock::now() + (notice.deadline - WallNow())});
    }
    this->loop.Post(std::move(event));
  } while (this->Sleep(period, random));
}

}  // namespace boragewharf::daemon
