/**
 * @file stream_save_cmd.cc
 * Saves of begun streams, and their restoration after a restart.
 */
#include "stream_save_cmd.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "list_confirmation_cmd.h"
#include "serving/stream_records_type.h"
#include "spread_cmd.h"

namespace boragewharf::fleet {
namespace {

using std::chrono::milliseconds;

/** Delay before saves that could not be read are read again, and the range of
 * what is added to it: after a restart of all nodes, their reads fail at the
 * same time. */
constexpr milliseconds kReadRetryDelay(250);
constexpr uint64_t kReadRetrySpreadMs = 250;

/** Timeouts of the first read and of later ones, each twice the one before. */
constexpr milliseconds kFirstReadTimeout(1000);
constexpr uint32_t kMaxTimeoutDoublings = 3;

/** Shortest time between two reads, and the least as a multiple of the time
 * that a read took. Reading the saves of many nodes can delay a node so much
 * that it may have missed something and wants to read them again. */
constexpr milliseconds kMinReadPause(1000);
constexpr int kReadPauseFactor = 4;

/** A node that saved so long before the last save of all nodes has been gone
 * since: all nodes save at least once a minute. If the last save of all is so
 * old, it does not tell which versions were in use since. */
constexpr std::chrono::minutes kMaxSaveAge(5);

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

int64_t WallMs(const FleetState& state, int64_t clock_wall_ms, TimePoint now) {
  return state.wall_offset_ms ? *state.wall_offset_ms + BootMs(now)
                              : clock_wall_ms;
}

template <class Kind>
void AddEffect(std::vector<Effect>& effects, Kind effect) {
  // Built in place: GCC 12 falsely reports uninitialized fields if a temporary
  // of nested variants is moved.
  effects.emplace_back(std::in_place_type<StreamEffect>);
  std::get<StreamEffect>(effects.back()).effect = std::move(effect);
}

template <class Number>
Number AddBounded(Number value, int64_t added) {
  const auto most = static_cast<int64_t>(std::numeric_limits<Number>::max());
  return static_cast<Number>(std::min<int64_t>(most, value + added));
}

/** Adds the time since the save to the ages. */
void AddAge(serving::StreamReport& report, milliseconds age) {
  for (serving::VersionHistory& history : report.history) {
    for (serving::ListedVersion& version : history.versions) {
      version.age_ms = AddBounded(version.age_ms, age.count());
    }
  }
  for (serving::BegunStreams& group : report.groups) {
    for (serving::BegunStream& stream : group.streams) {
      stream.age = AddBounded(stream.age, age / serving::kStreamAgeUnit);
    }
  }
}

void ApplyStreamsRead(FleetState& state,
                      const StreamsRead& read,
                      TimePoint now,
                      std::vector<Effect>& effects) {
  state.streams.reading = false;
  if (!read.read) {
    const auto spread =
        milliseconds(state.settings.incarnation % kReadRetrySpreadMs);
    state.streams.next_read = now + kReadRetryDelay + spread;
    state.streams.failed_reads += 1;
    return;
  }
  state.streams.wanted = std::exchange(state.streams.wanted_again, false);
  state.streams.failed_reads = 0;
  state.streams.next_read = now + kMinReadPause;
  const bool since_uncertain =
      !state.store_uncertain_since ||
      state.streams.asked >= *state.store_uncertain_since;
  if (since_uncertain) {
    // The time of another read may include that of a freeze.
    state.store_uncertain_since.reset();
    state.streams.next_read =
        std::max(state.streams.next_read,
                 now + kReadPauseFactor * (now - state.streams.asked));
  }
  int64_t newest = std::numeric_limits<int64_t>::min();
  for (const StoredStreams& stored : read.saved) {
    newest = std::max(newest, stored.saved_wall_ms);
  }
  // The clock may have been set back since the last save.
  const int64_t wall = std::max(WallMs(state, read.clock_wall_ms, now), newest);
  const auto max_age = milliseconds(kMaxSaveAge).count();
  RestoreStreams restore;
  restore.asked = state.streams.asked;
  size_t streams = 0;
  for (const StoredStreams& stored : read.saved) {
    if (newest - stored.saved_wall_ms > max_age) {
      continue;
    }
    serving::SavedStreams& saved = restore.saved.emplace_back();
    saved.own = stored.own;
    saved.from_earlier_era = stored.from_earlier_era;
    saved.report = stored.report;
    saved.report.complete &= wall - newest <= max_age;
    AddAge(saved.report, milliseconds(wall - stored.saved_wall_ms));
    for (const serving::BegunStreams& group : saved.report.groups) {
      streams += group.streams.size();
    }
  }
  effects.emplace_back(LogChange{
      "streams_restored",
      "saves " + std::to_string(restore.saved.size()) + " of " +
          std::to_string(read.saved.size()) + " unreadable " +
          std::to_string(read.unreadable) + " streams " +
          std::to_string(streams) + " age " +
          (read.saved.empty() ? "none" : std::to_string(wall - newest) + " ms"),
      state.servers_revision});
  AddEffect(effects, std::move(restore));
}

}  // namespace

void ReduceStreamEvent(FleetState& state,
                       const StreamEvent& event,
                       TimePoint now,
                       std::vector<Effect>& effects) {
  std::visit(
      Overloaded{
          [&](const StreamRestoreWanted&) {
            if (!state.streams.wanted) {
              effects.emplace_back(
                  LogChange{"stream_saves_wanted", "", state.servers_revision});
            }
            state.streams.wanted = true;
            state.streams.wanted_again = state.streams.reading;
          },
          [&](const StreamSaveWanted& wanted) {
            // The time of day is known from the first tick on.
            if (!state.wall_offset_ms) {
              AddEffect(effects, EndStreamSave{wanted.save.number, false});
              return;
            }
            AddEffect(effects, SaveStreams{wanted.save, WallMs(state, 0, now)});
          },
          [&](const StreamsSaved& saved) {
            AddEffect(effects, EndStreamSave{saved.number, saved.saved});
          },
          [&](const StreamsRead& read) {
            ApplyStreamsRead(state, read, now, effects);
          },
          [&](const ListConfirmationWanted& wanted) {
            WantListConfirmation(state, wanted, now, effects);
          },
          [&](const ListConfirmed& answer) {
            ApplyListConfirmed(state, answer, now, effects);
          },
      },
      event.event);
}

void AdvanceStreamRestore(FleetState& state,
                          TimePoint now,
                          std::vector<Effect>& effects) {
  StreamRestoreState& restore = state.streams;
  if (!restore.wanted || restore.reading || now < restore.next_read) {
    return;
  }
  restore.reading = true;
  restore.wanted_again = false;
  restore.asked = now;
  const uint32_t doublings =
      std::min(restore.failed_reads, kMaxTimeoutDoublings);
  AddEffect(effects, ReadStreams{kFirstReadTimeout * (1U << doublings)});
}

}  // namespace boragewharf::fleet
