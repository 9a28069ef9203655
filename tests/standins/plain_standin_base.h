/**
 * @file plain_standin_base.h
 * Stand-in of a plain HTTP service that records every run.
 */
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standins/standin_server_base.h"

namespace boragewharf::standins {

/** Answers any path and counts runs. All methods are thread-safe. */
class PlainStandin {
 public:
  explicit PlainStandin(std::chrono::milliseconds initial_delay);

  /** Starts serving. @return The port, or 0 on failure. @pre Called once. */
  uint16_t Start(uint16_t wanted_port);

  /** Sets the time from the run of a request to its answer. */
  void SetDelay(std::chrono::milliseconds value);

  /** When set, connections end after the run and before the answer. */
  void SetCutAnswers(bool value);

  /** Stops serving. */
  void Stop() { this->server.StopAndJoin(); }

  /** Number of runs by X-Request-Id. */
  std::map<std::string, uint32_t> RunsById() const;

  /** Number of runs by Idempotency-Key; requests without one are absent. */
  std::map<std::string, uint32_t> RunsByKey() const;

 private:
  void Run(const httplib::Request& request, httplib::Response& response);
  void AddRoutes();

  mutable std::mutex mutex;
  std::map<std::string, uint32_t> runs_by_id;
  std::map<std::string, uint32_t> runs_by_key;
  std::atomic<std::chrono::milliseconds::rep> delay_ms;
  std::atomic<bool> cut_answers{false};
  StandinServer server;
};

}  // namespace boragewharf::standins
