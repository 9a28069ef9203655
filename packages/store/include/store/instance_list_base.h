/**
 * @file instance_list_base.h
 * Interface of the platform's instance list.
 */
#pragma once

#include <optional>
#include <vector>

#include "store/instance_type.h"

namespace boragewharf {

/** Live and leaving instances, with a lag. */
class InstanceList {
 public:
  InstanceList() = default;
  InstanceList(const InstanceList&) = delete;
  InstanceList& operator=(const InstanceList&) = delete;
  virtual ~InstanceList() = default;

  /**
   * Reads the whole list. A record that cannot be read is kept with
   * `readable` false.
   * @return Empty optional if any page failed; the reasons are those of reads
   *     of ObjectStore.
   * @note Thread-safe; blocks for a bounded time.
   */
  virtual std::optional<std::vector<InstanceRecord>> Read() = 0;
};

}  // namespace boragewharf
