/**
 * @file object_type.h
 * Objects of the platform's object API.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <string>

namespace boragewharf {

/** Largest object that the object API accepts, in bytes with its envelope. */
inline constexpr size_t kMaxObjectBytes = 1'000'000;

/** Names an object. */
struct ObjectKey {
  std::string kind;  ///< Collection, e.g. "leases".
  std::string name;  ///< Unique within the collection.

  auto operator<=>(const ObjectKey&) const = default;
};

/** Opaque version of an object; only comparable for equality. */
struct ObjectVersion {
  std::string text;  ///< metadata.resourceVersion.

  bool operator==(const ObjectVersion&) const = default;
};

/** An object as read. */
struct StoredObject {
  ObjectKey key;          ///< Its name.
  ObjectVersion version;  ///< Version for a conditional update.
  std::string body;       ///< JSON text of its spec.

  bool operator==(const StoredObject&) const = default;
};

}  // namespace boragewharf
