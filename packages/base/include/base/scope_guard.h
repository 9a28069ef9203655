/**
 * @file scope_guard.h
 * RAII wrappers for clean-up actions and file descriptors.
 */
#pragma once

#include <unistd.h>

#include <utility>

namespace boragewharf {

/** Runs a function when the scope ends, unless dismissed. */
template <class Function>
class ScopeGuard {
 public:
  explicit ScopeGuard(Function on_exit) : action(std::move(on_exit)) {}
  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;
  ~ScopeGuard() {
    if (this->armed) {
      this->action();
    }
  }

  /** Cancels the action. @note Not thread-safe. */
  void Dismiss() { this->armed = false; }

 private:
  Function action;
  bool armed = true;
};

/** Owns a file descriptor. */
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int descriptor) : fd(descriptor) {}
  UniqueFd(UniqueFd&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    std::swap(this->fd, other.fd);
    return *this;
  }
  ~UniqueFd() {
    if (this->fd >= 0) {
      close(this->fd);
    }
  }

  /** The descriptor, or -1. @note Thread-safe while not moved from. */
  int Get() const { return this->fd; }

  /** Whether a descriptor is held. */
  explicit operator bool() const { return this->fd >= 0; }

 private:
  int fd = -1;
};

}  // namespace boragewharf
