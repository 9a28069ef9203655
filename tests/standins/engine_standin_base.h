/**
 * @file engine_standin_base.h
 * Stand-in of a model engine with the completions API and injectable faults.
 */
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "standins/standin_server_base.h"

namespace boragewharf::standins {

/** Speeds, limits and faults; all can be changed by POST /control. */
struct EngineControl {
  std::chrono::microseconds token_time{1000};        ///< Between tokens.
  std::chrono::microseconds first_token_time{2000};  ///< Before the first.
  std::chrono::microseconds block_time{0};  ///< Per uncached prompt block.
  std::chrono::milliseconds load_lag{0};    ///< Age of load reports.
  uint32_t batch_limit = 64;                ///< Requests running at once.
  uint32_t cache_blocks = 1024;             ///< Prompt blocks kept.
  bool refuse = false;                      ///< Answers 503 to new requests.
  bool freeze = false;                      ///< No progress on anything.
  bool check_fencing = true;                ///< Refuses old fencing numbers.
  std::string crash_marker;  ///< A prompt with this text ends the process.
};

void to_json(nlohmann::json& json, const EngineControl& control);
void from_json(const nlohmann::json& json, EngineControl& control);

/** A model engine. All methods are thread-safe. */
class EngineStandin {
 public:
  explicit EngineStandin(const EngineControl& initial);
  ~EngineStandin();
  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;

  /** Starts serving. @return The port, or 0 on failure. @pre Called once. */
  uint16_t Start(uint16_t wanted_port);

  /** Applies @p change to the control settings. */
  void Change(const std::function<void(EngineControl&)>& change);

  /**
   * Connections used so far never carry another byte, whether they are idle
   * or not; new ones work.
   */
  void SilenceOpenConnections();

  /** Cuts all answers short and stops serving, as a crash does. */
  void Kill();

  /** Called when a prompt has the crash marker; by default all answers are cut
   * short, but the port stays open. @pre Set before Start(). */
  std::function<void()> on_crash;

  /** Number of runs by X-Request-Id. */
  std::map<std::string, uint32_t> Runs() const;

  /** Tokens generated so far. */
  uint64_t TokensGenerated() const;

  /** Requests running now. */
  uint32_t Running() const;

 private:
  struct Run;
  struct LoadSample {
    std::chrono::steady_clock::time_point time;
    uint32_t running;
    uint32_t waiting;
  };

  void AddRoutes();
  void Complete(const httplib::Request& request,
                httplib::Response& response,
                bool is_chat);
  bool Begin(Run& run);
  bool EmitNext(Run& run, std::string& token);
  void End(Run& run);
  bool Sleep(const Run& run, std::chrono::microseconds time);
  uint32_t LoadPromptBlocks(std::string_view prompt);
  void RecordLoad();
  nlohmann::json LaggedLoad() const;
  void Order(const httplib::Request& request, httplib::Response& response);
  void AnswerStreamed(const std::shared_ptr<Run>& run,
                      httplib::Response& response);
  void AnswerPlain(Run& run, httplib::Response& response);

  mutable std::mutex mutex;
  std::condition_variable changed;
  EngineControl control;
  std::map<std::string, uint32_t> runs;
  std::list<uint64_t> cache;  ///< Block hashes, most recently used first.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache_index;
  std::deque<LoadSample> load;
  nlohmann::json orders = nlohmann::json::array();
  uint64_t highest_fencing = 0;
  std::set<int> ports;         ///< Caller's ports seen so far.
  std::set<int> silent_ports;  ///< Those that went silent.
  uint64_t next_run = 0;
  uint64_t tokens = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  bool killed = false;
  StandinServer server;
};

}  // namespace boragewharf::standins
