/**
 * @file lab_process.h
 * boragewharf-node processes that a script starts, signals and ends.
 */
#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "lab_platform.h"

namespace boragewharf::review {

/** Ports that all nodes of a run use, each on an address of its own. */
struct NodePorts {
  uint16_t front = 0;
  uint16_t ready = 0;
  uint16_t control = 0;
  uint16_t directory = 0;
  uint16_t metrics = 0;
  uint16_t peer = 0;
};

/** What the nodes of a deployment have in common. */
struct NodePlan {
  std::string program;    ///< As in deploy/system.toml.
  std::string directory;  ///< For settings and logs.
  NodePorts ports;
  Endpoint cloud;
  std::map<std::string, std::string> zones;  ///< Region by zone.
  std::vector<std::string> seeds;            ///< Addresses of nodes.
};

/** A node process on its own loopback address. Not thread-safe. */
class LabNode {
 public:
  LabNode(const NodePlan& node_plan,
          std::string node_ip,
          std::string node_zone,
          Endpoint store_address,
          Record& run_record);
  ~LabNode();
  LabNode(const LabNode&) = delete;
  LabNode& operator=(const LabNode&) = delete;

  void Start(bool first_start);
  void Signal(int number);
  /** Waits until the process has ended. @return Whether it has. */
  bool WaitForEnd(std::chrono::milliseconds timeout);
  /** Whether the process runs; reaps it if it has ended. */
  bool IsRunning();
  /** Waits until the node says that it is ready. */
  bool WaitUntilReady(std::chrono::milliseconds timeout);

  const std::string& Ip() const { return this->ip; }
  Endpoint Front() const { return {this->ip, this->plan.ports.front}; }

 private:
  const NodePlan& plan;
  std::string ip;
  std::string zone;
  Endpoint store;
  Record& record;
  pid_t pid = 0;
};

/** @return Ports that are free on all the addresses. */
NodePorts FindNodePorts(const std::vector<std::string>& ips);

}  // namespace boragewharf::review
