/**
 * @file worker_pool_base.h
 * Threads for blocking work, started on demand and reused.
 */
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace boragewharf::traffic {

/** A bounded set of threads. All methods are thread-safe. */
class WorkerPool {
 public:
  /** @param limit Most threads. */
  explicit WorkerPool(size_t limit) : max_threads(limit) {}
  ~WorkerPool();

  /**
   * Runs @p work on an idle or a new thread.
   * @return False if all threads are busy; the work is not run then.
   */
  bool Submit(std::function<void()> work);

  /** Waits for all work and ends the threads. Further work is not accepted. */
  void Stop();

 private:
  void Loop();

  const size_t max_threads;
  std::mutex mutex;
  std::condition_variable available;
  std::deque<std::function<void()>> queue;
  std::vector<std::thread> threads;
  size_t idle = 0;
  bool stopping = false;
};

}  // namespace boragewharf::traffic
