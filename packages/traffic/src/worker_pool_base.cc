/**
 * @file worker_pool_base.cc
 * Worker threads.
 */
#include "traffic/worker_pool_base.h"

#include <system_error>
#include <utility>

namespace boragewharf::traffic {

WorkerPool::~WorkerPool() {
  this->Stop();
}

bool WorkerPool::Submit(std::function<void()> work) {
  const std::lock_guard lock(this->mutex);
  if (this->stopping) {
    return false;
  }
  if (this->idle <= this->queue.size()) {
    if (this->threads.size() >= this->max_threads) {
      return false;
    }
    try {
      this->threads.emplace_back([this] { this->Loop(); });
    } catch (const std::system_error&) {
      return false;
    }
    // The new thread counts as idle until it takes work.
    ++this->idle;
  }
  this->queue.push_back(std::move(work));
  this->available.notify_one();
  return true;
}

void WorkerPool::Stop() {
  std::vector<std::thread> ending;
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    ending.swap(this->threads);
    this->available.notify_all();
  }
  for (std::thread& thread : ending) {
    thread.join();
  }
}

void WorkerPool::Loop() {
  std::unique_lock lock(this->mutex);
  while (true) {
    this->available.wait(
        lock, [this] { return this->stopping || !this->queue.empty(); });
    if (this->queue.empty()) {
      return;
    }
    const std::function<void()> work = std::move(this->queue.front());
    this->queue.pop_front();
    --this->idle;
    lock.unlock();
    work();
    lock.lock();
    ++this->idle;
  }
}

}  // namespace boragewharf::traffic
