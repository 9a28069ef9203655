/**
 * @file fake_store.h
 * A store with one object, conditional writes and injected faults.
 */
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config/config_event_type.h"

namespace boragewharf::config {

/** All versions that the object ever had; versions are "v1", "v2", ... */
class FakeStore {
 public:
  std::string Version() const { return VersionOf(this->bodies.size()); }

  /** Body of the newest version; empty before the first write. */
  const std::string& Body() const {
    static const std::string kNone;
    return this->bodies.empty() ? kNone : this->bodies.back();
  }

  /** Applies a conditional write. */
  bool Write(const WriteDocument& write) {
    if (write.expected_version != this->Version()) {
      return false;
    }
    this->bodies.push_back(write.body);
    return true;
  }

  /** Answer of a read that returns the version @p age writes ago. */
  StoreRead Read(size_t age) const {
    if (age >= this->bodies.size()) {
      return {};
    }
    const size_t count = this->bodies.size() - age;
    return {VersionOf(count), this->bodies[count - 1]};
  }

 private:
  static std::string VersionOf(size_t count) {
    return count == 0 ? "" : "v" + std::to_string(count);
  }

  std::vector<std::string> bodies;
};

}  // namespace boragewharf::config
