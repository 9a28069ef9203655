/**
 * @file call_table_base.h
 * Calls that wait for an answer from the control thread.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace boragewharf::daemon {

/** Matches answers of the reducer to those who asked. */
template <class Answer>
class CallTable {
 public:
  using Callback = std::function<void(Answer)>;

  /** Registers a call. @return Its number. @note Thread-safe. */
  uint64_t Add(Callback callback) {
    const std::lock_guard lock(this->mutex);
    this->calls.emplace(++this->last, std::move(callback));
    return this->last;
  }

  /** Answers a call; does nothing for an unknown one. @note Thread-safe. */
  void Complete(uint64_t number, Answer answer) {
    Callback callback;
    {
      const std::lock_guard lock(this->mutex);
      auto call = this->calls.extract(number);
      if (call.empty()) {
        return;
      }
      callback = std::move(call.mapped());
    }
    callback(std::move(answer));
  }

 private:
  std::mutex mutex;
  uint64_t last = 0;
  std::unordered_map<uint64_t, Callback> calls;
};

}  // namespace boragewharf::daemon
