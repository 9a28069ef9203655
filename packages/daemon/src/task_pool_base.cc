/**
 * @file task_pool_base.cc
 * Worker threads over a bounded queue.
 */
#include "daemon/task_pool_base.h"

#include <utility>

namespace boragewharf::daemon {

namespace {

constexpr std::ptrdiff_t kQueueCapacity = 16384;

}  // namespace

TaskPool::TaskPool(size_t thread_count) {
  this->queue.set_capacity(kQueueCapacity);
  for (size_t i = 0; i < thread_count; ++i) {
    this->threads.emplace_back([this] {
      while (true) {
        std::function<void()> task;
        this->queue.pop(task);
        if (this->stopped) {
          return;
        }
        task();
      }
    });
  }
}

TaskPool::~TaskPool() {
  this->Stop();
}

bool TaskPool::Submit(std::function<void()> task) {
  return !this->stopped && this->queue.try_push(std::move(task));
}

void TaskPool::Stop() {
  if (this->stopped.exchange(true)) {
    return;
  }
  // Wakes each thread; a full queue wakes them as well. The queue must not be
  // cleared here, because that is not safe while threads wait on it.
  for (size_t i = 0; i < this->threads.size(); ++i) {
    this->queue.try_push([] {});
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

}  // namespace boragewharf::daemon
