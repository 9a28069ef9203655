/**
 * @file version_probe.h
 * Finds out which configuration a node of a soak run has in force.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "httpio/http_channel_base.h"
#include "platform_standin.h"
#include "soak_client.h"

namespace boragewharf::soak {

/** @return A configuration that alone has the route "/v<version>/". */
standins::Json VersionedConfig(uint64_t version);

/** The newest version that was written. */
struct NewestVersion {
  uint64_t version = 0;
  /** Since when nodes in touch must have it in force; the latest possible time
   * if they need not yet. */
  std::chrono::steady_clock::time_point due;
};

/**
 * Sends requests to a node, one after another, for the routes of
 * VersionedConfig(), and records violations: an older version after a newer
 * one within a lifetime of the node, or the newest one not in force in time.
 * Not thread-safe: runs on one event loop.
 */
class VersionProbe {
 public:
  using GetNewest = std::function<NewestVersion()>;

  /**
   * @param newest Called for each request.
   * @param record Receives the violations; must outlive the probe.
   */
  VersionProbe(boost::asio::io_context& loop,
               const Endpoint& node,
               GetNewest newest,
               RunRecord& record);

  /** Starts to send requests. */
  void Start();

  /** Tells that a process of the node has ended or started: it may start with
   * any version, and need not have the newest one for some time. */
  void BeginLifetime();

  /** Ends the requests. */
  void Stop();

  /** @return Number of responses that were checked for the newest version. */
  uint32_t ChecksOfNewest() const { return this->checks; }

 private:
  using Clock = std::chrono::steady_clock;

  void SendNext();
  void OnResponse(uint64_t version,
                  const NewestVersion& newest,
                  Clock::time_point sent,
                  uint32_t status);
  void AddViolation(const std::string& text);

  Endpoint address;
  GetNewest get_newest;
  RunRecord& record;
  httpio::HttpChannel channel;
  boost::asio::steady_timer timer;
  uint64_t lifetime = 0;
  Clock::time_point lifetime_began;
  uint64_t highest = 0;            ///< Version seen in this lifetime.
  Clock::time_point highest_seen;  ///< When it was first seen.
  uint64_t requests = 0;
  uint32_t checks = 0;
  bool stopped = false;
};

}  // namespace boragewharf::soak
