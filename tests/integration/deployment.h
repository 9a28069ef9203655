/**
 * @file deployment.h
 * Daemons as processes, with stand-ins of the platform and of backend servers.
 */
#pragma once

#include <httplib.h>
#include <sys/types.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform_server.h"
#include "standins/engine_standin_base.h"
#include "standins/plain_standin_base.h"

namespace boragewharf::integration {

/** A daemon that runs, or ran, as a process. */
struct DaemonProcess {
  std::string instance;       ///< Name in the instance list.
  uint16_t caller_port = 0;   ///< For callers.
  uint16_t peer_port = 0;     ///< For other daemons.
  std::string settings_path;  ///< Its settings file.
  pid_t pid = -1;             ///< -1 when it does not run.
};

/** Three daemons in three zones, two engines and one plain service. */
class Deployment {
 public:
  Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  /** Kills what still runs. */
  ~Deployment();

  /** Starts all daemons, files the first ticket and waits for readiness. */
  bool Start();

  /** Starts a daemon that does not run. */
  void StartDaemon(size_t index);

  /** Sends a signal to a daemon. */
  void Signal(size_t index, int number) const;

  /** Waits for the end of a daemon. @return Its exit code, or -1. */
  int WaitForExit(size_t index);

  /** Whether the daemon answers 200 on /readyz within @p timeout. */
  bool WaitUntilReady(size_t index, std::chrono::seconds timeout) const;

  /** A client of the demo customer. */
  std::unique_ptr<httplib::Client> Caller(size_t index) const;

  /** Files a ticket at a daemon. @return HTTP status, or 0. */
  int FileTicket(size_t index, const nlohmann::json& ticket) const;

  /** A keyed call of the plain service. */
  httplib::Result Book(size_t index, const std::string& key) const;

  standin::PlatformServer platform;
  standins::PlainStandin plain;
  std::vector<std::unique_ptr<standins::EngineStandin>> engines;
  std::vector<DaemonProcess> daemons;

 private:
  void ListInstance(const std::string& name, const nlohmann::json& spec);
  void ListBackend(const std::string& name,
                   const std::string& service,
                   uint16_t port);
  void PrepareDaemon(size_t index);

  std::string directory;
};

/** Polls @p condition every 50 ms. @return Whether it came true in time. */
bool WaitFor(std::chrono::seconds timeout,
             const std::function<bool()>& condition);

}  // namespace boragewharf::integration
