/**
 * @file platform_state.h
 * State of the platform stand-in: objects with their recent history, cloud
 * orders, injected faults and call counts. Knows nothing of HTTP.
 */
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace boragewharf::standin {

using Json = nlohmann::ordered_json;
using Clock = std::chrono::steady_clock;

/** Injected faults and limits; changed through POST /control. */
struct Faults {
  std::string outage = "none";     ///< none, refuse, hang, unavailable (503).
  int64_t slow_ms = 0;             ///< Delay before each call.
  int64_t drop_write_answers = 0;  ///< Next N writes; -1 for all.
  int64_t drop_pages = 0;          ///< Next N continued list pages; -1: all.
  std::string answers = "normal";  ///< normal, malformed, newer.
  int64_t stale_ms = 0;            ///< Age of what reads and lists see.
  int64_t instance_lag_ms = 0;     ///< The same for kind "instances".
  int64_t writes_per_second = 300;
  int64_t reads_per_second = 2000;
  int64_t refuse_starts = 0;  ///< Next N start orders; -1 for all.
  int64_t weight_bytes_per_second = 50'000'000;
  nlohmann::json notices =
      nlohmann::json::array();  ///< {"instance", "deadline" in ms}.
};

/** Answer of the state to a call. */
struct Answer {
  int status = 200;
  Json body;
  bool cut = false;  ///< The answer is lost after the call took effect.
};

/** A change of an object, as sent to watches. */
struct WatchEvent {
  uint64_t revision = 0;
  std::string kind;
  Clock::time_point time;
  std::string line;  ///< One JSON line.
};

/** Thread-safe. */
class PlatformState {
 public:
  /** Counts the call; 429 if it exceeds the rate of its class. */
  std::optional<Answer> Admit(const std::string& label, bool is_write);

  Answer Read(const std::string& kind, const std::string& name);
  Answer List(const std::string& kind, size_t limit, const std::string& from);
  Answer Create(const std::string& kind, const std::string& text);
  Answer Update(const std::string& kind,
                const std::string& name,
                const std::string& text);
  Answer Remove(const std::string& kind,
                const std::string& name,
                const std::string& text);

  /** Events of @p kind after @p revision; waits up to @p wait for one. */
  std::vector<WatchEvent> WaitEvents(const std::string& kind,
                                     uint64_t revision,
                                     std::chrono::milliseconds wait);
  uint64_t LatestRevision();

  Answer Start(const std::string& text);
  Answer Delete(const std::string& instance);

  /** Takes part of the weight store's rate; returns how long to wait. */
  Clock::duration TakeWeightBytes(size_t bytes);

  /** Merges @p patch into the faults; 400 for an unknown field or type. */
  Answer Control(const std::string& patch);
  Faults GetFaults();
  Json CallCounts();
  Json Orders();

 private:
  struct Revision {
    Clock::time_point time;
    uint64_t number = 0;
    Json object;  ///< null if removed.
  };
  using Objects = std::map<std::string, std::deque<Revision>>;
  struct CallClass {
    int64_t second = -1;
    int64_t in_second = 0;
    int64_t highest_per_second = 0;
    int64_t limited = 0;
  };

  Clock::duration AgeOf(const std::string& kind) const;
  const Json* Find(const std::string& kind,
                   const std::string& name,
                   Clock::duration age) const;
  Answer Store(const std::string& kind,
               const std::string& name,
               Json object,
               const char* event,
               int status);
  Answer AnswerWrite(int status, Json body);
  Answer AnswerRead(Json body) const;
  static bool TakeOne(int64_t& count);

  std::mutex mutex;
  std::condition_variable changed;
  Faults faults;
  std::map<std::string, Objects> kinds;
  uint64_t revision = 0;
  std::deque<WatchEvent> events;
  std::map<std::string, int64_t> calls;
  CallClass reads;
  CallClass writes;
  Json orders = Json::array();
  Clock::time_point weights_free_at;
};

}  // namespace boragewharf::standin
