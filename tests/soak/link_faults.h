/**
 * @file link_faults.h
 * Connections of a soak run through proxies that delay, reset or silence them.
 */
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "tcp_proxy.h"

namespace boragewharf::soak {

/** All proxied links of a run. Not thread-safe; each proxy has a thread. */
class LinkFaults {
 public:
  /** @param run_seed Decides which chunks the proxies drop. */
  explicit LinkFaults(uint64_t run_seed) : seed(run_seed) {}

  /** Adds a proxy. @return The address at which @p target is reached. */
  Endpoint Add(const std::string& name, const Endpoint& target);

  /**
   * Makes a random link misbehave, on top of what it does already.
   * @return What was done, for the run's report.
   */
  std::string InjectFault(std::mt19937_64& generator);

  /** Ends all faults; connections that were made silent stay so. */
  void ClearFaults();

 private:
  struct Link {
    std::string name;
    std::unique_ptr<standin::TcpProxy> proxy;
  };

  uint64_t seed;
  std::vector<Link> links;
};

}  // namespace boragewharf::soak
