/**
 * @file trial_node.h
 * A boragewharf-node process of a trial.
 */
#pragma once

#include <sys/types.h>

#include <string>

#include "base/endpoint_type.h"

namespace boragewharf::review {

/** Ports that all nodes share, each on its own loopback address, and the
 * addresses of the platform. */
struct NodePorts {
  uint16_t clients = 0;
  uint16_t ready = 0;
  uint16_t control = 0;
  uint16_t directory = 0;
  uint16_t metrics = 0;
  uint16_t peers = 0;
  Endpoint store;
  Endpoint cloud;
  std::string seed_ip;
};

/** A node process. Ends it when destroyed. */
class TrialNode {
 public:
  TrialNode(std::string node_name,
            std::string node_ip,
            std::string node_zone,
            std::string work_directory,
            const NodePorts& node_ports);
  ~TrialNode();
  TrialNode(const TrialNode&) = delete;
  TrialNode& operator=(const TrialNode&) = delete;

  /** Starts the process if it is not running. */
  void Start(bool first_start);

  /** Sends a signal; does nothing if the process is not running. */
  void Signal(int number);

  /** Whether the process is running; reaps it if it has ended. */
  bool IsRunning();

  const std::string& Ip() const { return this->ip; }
  const std::string& Name() const { return this->name; }

 private:
  std::string name;
  std::string ip;
  std::string zone;
  std::string directory;
  const NodePorts& ports;
  pid_t pid = 0;
};

}  // namespace boragewharf::review
