/**
 * @file progress_read_cmd.cc
 * Reading of the saved progress.
 */
#include "progress_read_cmd.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** First and longest delay before progress that could not be read is read
 * again; it doubles in between. All nodes may wait for the store. */
constexpr milliseconds kFirstReadDelay(500);
constexpr milliseconds kLongestReadDelay(2000);

/** Delay before the next read. It differs between nodes, so that they do not
 * all read at once when the store is back. */
Duration ReadDelay(const FleetState& state) {
  const uint32_t doublings = std::min(state.progress_read.failures, 8U);
  const Duration longest =
      std::min(kFirstReadDelay * (1 << doublings), kLongestReadDelay);
  const double share =
      static_cast<double>(serving::HashName(state.settings.ip)) /
      std::numeric_limits<serving::NameHash>::max();
  return std::chrono::duration_cast<Duration>(longest * (1 + share) / 2);
}

/** Ends the read under way. @param done Whether no further one is needed. */
void EndRead(FleetState& state, bool done, TimePoint now) {
  ProgressReadState& read = state.progress_read;
  read.reading = false;
  if (std::exchange(read.wanted_again, false)) {
    read.next_read = now;
    return;
  }
  if (done) {
    read.wanted = false;
    read.failures = 0;
    return;
  }
  read.next_read = now + ReadDelay(state);
  read.failures += 1;
}

}  // namespace

void WantProgress(FleetState& state,
                  TimePoint now,
                  std::vector<Effect>& effects) {
  ProgressReadState& read = state.progress_read;
  read.wanted = true;
  read.wanted_again = read.reading;
  read.next_read = now;
  AdvanceProgressRead(state, now, effects);
}

void AdvanceProgressRead(FleetState& state,
                         TimePoint now,
                         std::vector<Effect>& effects) {
  ProgressReadState& read = state.progress_read;
  if (!read.wanted || read.reading || now < read.next_read) {
    return;
  }
  read.reading = true;
  effects.emplace_back(ReadProgress{});
}

void EndProgressRead(FleetState& state, TimePoint now) {
  EndRead(state, true, now);
}

void ApplyProgressReadFailed(FleetState& state,
                             const ProgressReadFailed& failed,
                             TimePoint now,
                             std::vector<Effect>& effects) {
  if (state.progress_read.failures == 0) {
    effects.emplace_back(LogChange{
        "progress_not_read",
        "result " + std::to_string(static_cast<int>(failed.code)) +
            (failed.may_exist ? ", to be read again" : ", nothing to read"),
        0});
  }
  EndRead(state, !failed.may_exist, now);
}

}  // namespace boragewharf::fleet
