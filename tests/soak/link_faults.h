/**
 * @file link_faults.h
 * Network links of a soak run: TCP proxies that delay, reset or block
 * connections.
 */
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "tcp_proxy.h"

namespace boragewharf::soak {

/**
 * All proxied links of a run. Not thread-safe; each proxy runs its own thread.
 */
class LinkFaults {
 public:
  /**
   * @param run_seed Seeds the random choice of connections that the proxies
   * reset.
   */
  explicit LinkFaults(uint64_t run_seed) : seed(run_seed) {}

  /** Adds a proxy in front of @p target. @return The address of the proxy. */
  Endpoint Add(const std::string& name, const Endpoint& target);

  /**
   * Adds a random fault to a random link; earlier faults of the link stay.
   * @return Description of the link and its fault, for the output of the run.
   */
  std::string InjectFault(std::mt19937_64& generator);

  /** Clears all faults; connections that were silenced before stay silent. */
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
