/**
 * @file handler_guard_base.cc
 * Reports of exceptions in event handlers.
 */
#include "eventlog/handler_guard_base.h"

#include <cstdio>

namespace boragewharf {
namespace {

/** Part of an exception's text that is logged, in bytes; it may quote what was
 * received. */
constexpr size_t kMaxLoggedReason = 200;

}  // namespace

HandlerGuard::HandlerGuard(std::string_view loop,
                           EventLog& event_log,
                           CounterRegistry& registry)
    : name(loop), log(event_log), counters(registry) {}

void HandlerGuard::Report(std::string_view source,
                          std::string_view reason) noexcept {
  try {
    this->counters
        .Get("handler_exceptions_total", "loop=\"" + this->name +
                                             "\",source=\"" +
                                             std::string(source) + "\"")
        .Add();
    this->log.Write(EventLevel::kError, "handler_exception",
                    {{"loop", this->name},
                     {"source", source},
                     {"reason", reason.substr(0, kMaxLoggedReason)}});
  } catch (...) {
    // As a rule there is no memory left to report it with.
    std::fputs("boragewharf: an exception could not be reported\n", stderr);
  }
}

}  // namespace boragewharf
