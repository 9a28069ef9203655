/**
 * @file node_process.h
 * A boragewharf-node process that the soak starts, signals and restarts.
 */
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <ios>
#include <string>
#include <vector>

#include "base/endpoint_type.h"

namespace boragewharf::soak {

/** Addresses and ports that all nodes of a run use. */
struct RunAddresses {
  Endpoint store;
  Endpoint cloud;
  std::string first_node_ip = "127.0.10.1";
  uint16_t client_port = 0;
  uint16_t ready_port = 0;
  uint16_t control_port = 0;
  uint16_t directory_port = 0;
  uint16_t metrics_port = 0;
  uint16_t peer_port = 0;
};

/** A node process on its own loopback address. Not thread-safe. */
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

  /** Sends a signal; does nothing if the process is not running. */
  void Signal(int number);

  /** Whether the process is running; reaps it if it has exited. */
  bool IsRunning();

  /**
   * Whether it ever ended other than with exit code 0 or by SIGKILL, as seen by
   * IsRunning(). A SIGTERM also ends it normally before it logs its start: it
   * does not handle signals yet, nor accept requests.
   */
  bool ExitedAbnormally() const { return this->exited_abnormally; }

  /** @return Lines of the logs of all its processes that contain @p text. */
  std::vector<std::string> LogLinesWith(const std::string& text) const;

  const std::string& Ip() const { return this->ip; }

 private:
  std::string LogPath() const {
    return this->directory + "/" + this->ip + ".log";
  }
  /** Whether the last process has logged its start. */
  bool HasLoggedStart() const;

  std::string program;
  std::string directory;
  std::string ip;
  RunAddresses addresses;
  pid_t pid = 0;
  std::streamoff log_start = 0;  ///< Size of the log when it started.
  bool exited_abnormally = false;
};

}  // namespace boragewharf::soak
