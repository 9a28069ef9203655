/**
 * @file task_pool_base.h
 * Threads for blocking calls to the platform and to peers.
 */
#pragma once

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace boragewharf::daemon {

/** Runs tasks on a fixed number of threads. */
class TaskPool {
 public:
  /** @pre @p threads is not 0. */
  explicit TaskPool(size_t threads);
  TaskPool(const TaskPool&) = delete;
  TaskPool& operator=(const TaskPool&) = delete;
  /** Waits for the tasks that have begun. */
  ~TaskPool();

  /**
   * Queues a task.
   * @return False if the queue is full or the pool is stopped; the task is
   *     dropped then.
   * @note Thread-safe; does not block.
   */
  bool Submit(std::function<void()> task);

  /** Ends the threads; queued tasks are dropped. @note Thread-safe. */
  void Stop();

 private:
  tbb::concurrent_bounded_queue<std::function<void()>> queue;
  std::atomic<bool> stopped{false};
  std::vector<std::thread> threads;
};

}  // namespace boragewharf::daemon
