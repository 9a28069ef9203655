/**
 * @file node_supervisor.h
 * Starts nodes again when they end, and enforces their grace period.
 */
#pragma once

#include <signal.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "node_process.h"

namespace boragewharf::soak {

/**
 * Notices when the machine does not run a thread that is due. StalledSince() is
 * thread-safe.
 */
class StallProbe {
 public:
  StallProbe();
  ~StallProbe();
  StallProbe(const StallProbe&) = delete;
  StallProbe& operator=(const StallProbe&) = delete;

  /** Whether a stall ended after @p time. */
  bool StalledSince(std::chrono::steady_clock::time_point time) const {
    return this->last_stall.load() > time;
  }

 private:
  void Measure();

  std::atomic<std::chrono::steady_clock::time_point> last_stall;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

/** Totals of a run. */
struct SupervisorCounts {
  uint32_t sigterms = 0;  ///< Sent to a running process, repetitions included.
  uint32_t restarts = 0;
  uint32_t kills = 0;  ///< Processes that outlasted their grace period.
  uint32_t kills_in_stalls = 0;  ///< Those of them while the machine stalled.
};

/**
 * Runs the nodes of a run as a service manager would: starts each node again
 * at once when it ends, and kills it at the end of its grace period. Also sends
 * SIGTERM soon after some of the restarts. Not thread-safe.
 */
class NodeSupervisor {
 public:
  /** @param seed Seeds the choice of restarts that are followed by SIGTERM. */
  NodeSupervisor(std::vector<std::unique_ptr<NodeProcess>> processes,
                 uint64_t seed);

  /** Starts all nodes for the first time. */
  void Start();

  /** Sends SIGTERM to a node; its grace period starts with the first one. */
  void Terminate(size_t node);

  /** Sends SIGHUP to a node. */
  void Reload(size_t node) { this->nodes[node].process->Signal(SIGHUP); }

  /** Must be called every few milliseconds. */
  void Poll();

  /** No restart is followed by SIGTERM any more. */
  void EndPlannedEvents() { this->stops_restarts = false; }

  const SupervisorCounts& Counts() const { return this->counts; }

  /** @return Descriptions of exits that break the rules. */
  std::vector<std::string> Violations() const;

  /** Whether no node is stopping or has ended. */
  bool AllServe() const;

  /** @return Lines of all logs that contain @p text. */
  std::vector<std::string> LogLinesWith(const std::string& text) const;

 private:
  using Clock = std::chrono::steady_clock;
  struct Node {
    std::unique_ptr<NodeProcess> process;
    std::optional<Clock::time_point> stopped_at;  ///< First SIGTERM.
    std::optional<Clock::time_point> next_stop;
    std::mt19937_64 generator;
  };

  void Restart(Node& node);
  void KillOverdue(Node& node);

  StallProbe stall_probe;
  std::vector<Node> nodes;
  SupervisorCounts counts;
  std::vector<std::string> violations;
  bool stops_restarts = true;
};

}  // namespace boragewharf::soak
