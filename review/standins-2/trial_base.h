/**
 * @file trial_base.h
 * A small deployment for one case: nodes as processes, stand-ins in this
 * process.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "platform_standin.h"
#include "trial_node.h"
#include "trial_replica.h"

namespace boragewharf::review {

using Clock = std::chrono::steady_clock;

/** Exit codes of a case. */
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** Host and key of the deployment's only customer. */
inline constexpr char kHost[] = "wharf.example";
inline constexpr char kKey[] = "key-of-the-school";

/** Path prefix of the stream route of WharfConfig(). */
inline constexpr char kStreamPrefix[] = "/stream/";

/** Zones of ascb-wharf, as the nodes' settings have them. */
inline const std::vector<std::string> kZones = {"brest-quay", "crozon-point",
                                                "malo-rampart"};

/** A deployment with a store, a cloud API, nodes and replicas. */
class Trial {
 public:
  /** @param record_path File that gets what was sent, answered and run. */
  explicit Trial(const std::string& record_path);
  ~Trial();
  Trial(const Trial&) = delete;
  Trial& operator=(const Trial&) = delete;

  /** Adds a node in a zone; StartNodes() starts it. */
  void AddNode(const std::string& zone);

  /** Starts all nodes and waits until each serves its readiness address.
   * @return Whether they did in time. */
  bool StartNodes();

  /** Adds a replica; it registers with Replica::Register(). */
  Replica& AddReplica(const ReplicaEntry& entry);

  /** Writes the operator's configuration. */
  void WriteConfig(const standins::Json& config);

  /** Runs the event loop for @p time. */
  void RunFor(milliseconds time);

  /** Calls a function after a delay. */
  void CallAfter(milliseconds delay, std::function<void()> function);

  /** Writes a line with the time since the start to the record. */
  void Note(const std::string& text);

  /** Address at which clients reach a node. */
  boost::asio::ip::tcp::endpoint ClientAddress(size_t node) const;

  size_t NodeCount() const { return this->nodes.size(); }
  TrialNode& Node(size_t index) { return *this->nodes[index]; }
  boost::asio::io_context& Loop() { return this->loop; }
  standins::StoreStandin& Store() { return this->store; }
  standins::CloudStandin& Cloud() { return this->cloud; }
  std::mt19937_64& Generator() { return this->generator; }

 private:
  bool IsReady(size_t node);

  boost::asio::io_context loop;
  standins::StoreStandin store;
  standins::CloudStandin cloud;
  std::string directory;
  NodePorts ports;
  std::vector<std::unique_ptr<TrialNode>> nodes;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::ofstream record;
  Clock::time_point begun;
  std::mt19937_64 generator;
};

/** A configuration with a resumable stream route to the service "wharf-llm",
 * and an unsafe and a safe route to "drying-desk". */
standins::Json WharfConfig(uint64_t version);

/** Adds a service of model replicas with a resumable stream route of its own.
 */
void AddModelService(standins::Json& config,
                     const std::string& service,
                     const std::string& path_prefix);

/** Whether the case is to run with its disturbance (TROUBLE is not 0). */
bool WithTrouble();

}  // namespace boragewharf::review
