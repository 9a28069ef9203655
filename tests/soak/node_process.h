/**
 * @file node_process.h
 * A node process that the soak starts, signals and restarts.
 */
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "base/endpoint_type.h"

namespace boragewharf::soak {

/** Addresses that all nodes of a run share. */
struct RunAddresses {
  Endpoint store;
  Endpoint cloud;
  uint16_t client_port = 0;
  uint16_t ready_port = 0;
  uint16_t control_port = 0;
  uint16_t directory_port = 0;
  uint16_t metrics_port = 0;
  uint16_t peer_port = 0;
};

/** One node on a loopback address of its own. Not thread-safe. */
class NodeProcess {
 public:
  /**
   * @param program Path of boragewharf-node.
   * @param directory Existing directory for settings and logs.
   */
  NodeProcess(std::string program,
              std::string directory,
              std::string ip,
              const RunAddresses& addresses);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /** Starts the process if it is not running. */
  void Start(bool first_start);

  /** Sends a signal; nothing happens if it has ended. */
  void Signal(int number);

  /** Whether it is running; reaps it otherwise. */
  bool IsRunning();

  /** Whether it ended other than by a signal or with code 0. */
  bool ExitedAbnormally() const { return this->exited_abnormally; }

  const std::string& Ip() const { return this->ip; }

 private:
  std::string program;
  std::string directory;
  std::string ip;
  RunAddresses addresses;
  pid_t pid = 0;
  bool exited_abnormally = false;
};

}  // namespace boragewharf::soak
