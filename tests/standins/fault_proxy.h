/**
 * @file fault_proxy.h
 * The fault proxy: a set of listeners and their control.
 */
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "proxy_base.h"

namespace boragewharf::standin {

/** Listeners by name. Thread-safe. */
class FaultProxy {
 public:
  /**
   * Adds a listener.
   * @param text NAME=tcp|udp:PORT:TARGET_IP:TARGET_PORT; a port of 0 is
   *     replaced by a free one.
   * @return Whether the text is valid.
   */
  bool Add(std::string_view text, uint64_t seed);

  /**
   * Changes listeners. Body: {"listener": NAME or "*", fields of ProxyFaults,
   * "cut": true, "silence": true}; fields not named stay as they are.
   * @return Whether the body is valid; if not, nothing is changed.
   */
  bool Control(std::string_view text);

  /** JSON text with port, open connections and faults of each listener. */
  std::string Describe() const;

  /** @pre There is a listener of this name. */
  const ProxyListener& Get(const std::string& name) const {
    return *this->listeners.at(name);
  }

 private:
  mutable std::mutex mutex;
  std::map<std::string, std::unique_ptr<ProxyListener>> listeners;
};

}  // namespace boragewharf::standin
