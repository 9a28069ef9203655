/**
 * @file store_instance_list_base.h
 * The instance list as objects of kind "instances".
 */
#pragma once

#include <optional>
#include <vector>

#include "store/instance_list_base.h"
#include "store/object_store_base.h"

namespace boragewharf {

/** InstanceList read through an ObjectStore. */
class StoreInstanceList : public InstanceList {
 public:
  /** @param object_store Outlives the list. */
  explicit StoreInstanceList(ObjectStore& object_store) : store(object_store) {}

  std::optional<std::vector<InstanceRecord>> Read() override;

 private:
  ObjectStore& store;
};

/**
 * Decodes an object of kind "instances".
 * @return A record with `readable` false if a field is missing or malformed.
 * @note Thread-safe.
 */
InstanceRecord DecodeInstance(const StoredObject& object);

}  // namespace boragewharf
