/**
 * @file handler_guard_base.h
 * Last resort against exceptions in the event handlers of a thread.
 */
#pragma once

#include <exception>
#include <string>
#include <string_view>

#include "base/counter_base.h"
#include "eventlog/event_log_base.h"

namespace boragewharf {

/**
 * Turns an exception of an event handler into a log line and a count, so that
 * it costs one request or message instead of the process. It is no substitute
 * for handling errors: each count is a fault of the software. Writes
 * "handler_exception" and counts in "handler_exceptions_total".
 * @note Thread-safe, but meant for one event loop.
 */
class HandlerGuard {
 public:
  /** @param loop Name of the event loop, for the log and the counter. */
  HandlerGuard(std::string_view loop, EventLog& log, CounterRegistry& counters);

  /**
   * Calls @p handler and catches what it throws.
   * @param source What is handled: a constant, as it becomes a label of the
   *     counter.
   * @return False if it threw.
   */
  template <class Handler>
  bool Call(std::string_view source, Handler&& handler) {
    try {
      handler();
      return true;
    } catch (const std::exception& error) {
      this->Report(source, error.what());
    } catch (...) {
      this->Report(source, "not a standard exception");
    }
    return false;
  }

 private:
  void Report(std::string_view source, std::string_view reason) noexcept;

  std::string name;
  EventLog& log;
  CounterRegistry& counters;
};

/**
 * Runs an event loop until it has no more work or is stopped, also after
 * exceptions of its handlers.
 */
template <class Loop>
void RunGuarded(Loop& loop, HandlerGuard& guard) {
  while (!guard.Call("event_loop", [&] { loop.run(); })) {
  }
}

}  // namespace boragewharf
