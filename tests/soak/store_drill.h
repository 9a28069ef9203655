/**
 * @file store_drill.h
 * Drills of the store in a soak run: it is away for a moment and comes back
 * from an earlier copy.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "platform_standin.h"

namespace boragewharf::soak {

/**
 * Writes the objects of the operator and of the servers, and writes them again
 * after the store has come back from a copy without them. Not thread-safe: runs
 * on the store's event loop.
 */
class StoreDrill {
 public:
  using Clock = std::chrono::steady_clock;

  /** @param seed Of the ages of the copies and of all times. */
  StoreDrill(boost::asio::io_context& event_loop,
             standins::StoreStandin& drilled_store,
             uint64_t seed);

  /**
   * Writes an object, as its owner would. While the store is away, it is
   * written as soon as the owner writes again after the return.
   */
  void Put(const std::string& kind,
           const std::string& name,
           const standins::Json& spec);

  /** Removes an object; see Put(). */
  void Erase(const std::string& kind, const std::string& name);

  /** Starts to take copies. */
  void Start();

  /** Stops to take copies, so that the event loop can run out of work. */
  void Stop();

  /**
   * Takes the store away for 0.2 to 2 s, then has it come back from a copy that
   * was 0.5 to 6 s old when it went. Does nothing while the store is away.
   * @return A description, for the output of the run.
   */
  std::string Begin();

  /** Whether the store is there and has all that its owners want there. */
  bool IsSettled() const;

  /** @return When the store last came back, or now while it is away. */
  Clock::time_point LastDisturbance() const;

  /** @return When the store accepted the last write of an object's present
   * state; the latest possible time while it has not. */
  Clock::time_point AcceptedAt(const std::string& kind,
                               const std::string& name) const;

 private:
  using Key = std::pair<std::string, std::string>;  ///< Kind and name.

  /** State of an object as its owner wants it. */
  struct Wanted {
    standins::Json spec;  ///< Null: no object.
    Clock::time_point accepted = Clock::time_point::max();
  };
  struct TimedCopy {
    Clock::time_point taken;
    standins::StoreStandin::Copy copy;
  };

  void Want(const Key& key, const standins::Json& spec);
  /** Writes the wanted state of an object if the store is there without it. */
  void WriteWanted(const Key& key);
  void TakeCopies();
  void Return(Clock::time_point copy_time);
  /** Calls a function after a random time up to @p longest. */
  template <class Function>
  void CallWithin(std::chrono::milliseconds longest, Function function);
  std::chrono::milliseconds Random(int64_t shortest_ms, int64_t longest_ms);

  boost::asio::io_context& loop;
  standins::StoreStandin& store;
  std::mt19937_64 generator;
  boost::asio::steady_timer copy_timer;
  std::deque<TimedCopy> copies;
  std::map<Key, Wanted> wanted;
  bool away = false;
  Clock::time_point returned;
};

}  // namespace boragewharf::soak
