/**
 * @file latest_slot_base.h
 * Passes values between two event loops without a queue.
 */
#pragma once

#include <mutex>
#include <optional>
#include <utility>

namespace boragewharf::node {

/** Holds the value that the receiver has not taken yet. Thread-safe. */
template <class Value>
class LatestSlot {
 public:
  /**
   * Puts a value. If the previous one has not been taken, @p merge is called
   * with it and the new one, and updates the former.
   * @return Whether the receiver has to be told; if not, it was told before.
   */
  template <class Merge>
  bool Put(Value value, Merge merge) {
    const std::lock_guard lock(this->mutex);
    if (this->pending) {
      merge(*this->pending, std::move(value));
      return false;
    }
    this->pending.emplace(std::move(value));
    return true;
  }

  /** Puts a value that replaces one that has not been taken. */
  bool Put(Value value) {
    return this->Put(std::move(value), [](Value& older, Value newer) {
      older = std::move(newer);
    });
  }

  /** Takes the value, if there is one. */
  std::optional<Value> Take() {
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->pending, std::nullopt);
  }

 private:
  std::mutex mutex;
  std::optional<Value> pending;
};

}  // namespace boragewharf::node
