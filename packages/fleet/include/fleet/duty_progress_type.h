/**
 * @file duty_progress_type.h
 * Progress of the duties: usage reports and server orders.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time_type.h"

namespace boragewharf::fleet {

/** Number of requests that started in a usage window, by customer name. */
using NamedCounts = std::map<std::string, uint32_t>;

/** Progress of the usage report of one window. */
struct WindowProgress {
  enum class Step : uint8_t { kOpen, kFixing, kFixed, kSending, kDone };
  Step step = Step::kOpen;
  NamedCounts counts;
  bool fixed = false;  ///< The counts have been final in the store.
  TimePoint next_try;
};

/** State of reading the saved progress: when the process starts, and when it
 * gains the duties. */
struct ProgressReadState {
  /** It has not been read yet. Nothing is saved until then, as a save would
   * replace it. */
  bool wanted = false;
  bool reading = false;
  bool wanted_again = false;  ///< Since the read under way was begun.
  uint32_t failures = 0;      ///< Consecutive failed reads.
  TimePoint next_read;
};

/** Orders for one kind of server (reclaimable or on-demand) of a service in
 * one zone. */
struct OrderState {
  /** Number of servers in the last accepted order. */
  std::optional<uint32_t> ordered;
  /** Number of servers in the newest unanswered order. */
  std::optional<uint32_t> requested;
  TimePoint next_try;
  TimePoint ordered_at;
  /** Since when fewer servers than ordered have been wanted. */
  std::optional<TimePoint> fewer_wanted_since;
  TimePoint unavailable_until;
};

/** Scaling state of one service. */
struct ScalingState {
  /** By zone and whether the servers are reclaimable. */
  std::map<std::pair<std::string, bool>, OrderState> orders;
  /** Number of servers needed, by time. */
  std::map<TimePoint, uint32_t> recent_needs;
  /** Number of servers listed before the first order. */
  uint32_t initial_servers = 0;
  /** When initial_servers last increased. */
  std::optional<TimePoint> last_growth;
  bool initial_servers_known = false;  ///< initial_servers is final.
  std::optional<TimePoint> first_demand;
  uint32_t last_needed = 0;  ///< Last number that was logged.
};

}  // namespace boragewharf::fleet
