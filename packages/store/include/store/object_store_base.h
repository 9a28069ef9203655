/**
 * @file object_store_base.h
 * Interface of the platform's object API.
 */
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "base/object_type.h"

namespace boragewharf {

/**
 * Versioned objects with conditional writes. All methods are thread-safe,
 * block, and return within a bounded time.
 *
 * On failure LastReason() is one of:
 * - kStoreNotFound, kStoreConflict, kStoreBusy (rate limit),
 *   kStoreUnavailable: the call was not applied;
 * - kBodyTooLarge, kMalformedJson, kInvalidField: the call was not sent, or
 *   the object API refused its content;
 * - kStoreUnknown (writes only): the write may have been applied; the caller
 *   reads back and looks for its own write id;
 * - kStoreMalformed, kNewerFormat (reads only): the answer cannot be used.
 */
class ObjectStore {
 public:
  ObjectStore() = default;
  ObjectStore(const ObjectStore&) = delete;
  ObjectStore& operator=(const ObjectStore&) = delete;
  virtual ~ObjectStore() = default;

  /**
   * Reads one object. The answer can be older than a completed write (stale
   * read); a conditional write on it then fails with kStoreConflict.
   */
  virtual std::optional<StoredObject> Read(const ObjectKey& key) = 0;

  /**
   * Creates an object.
   * @param body JSON text of the spec. It is read back with the same order of
   *     members, but not necessarily with the same white space.
   * @return Version of the new object; kStoreConflict if the name exists.
   */
  virtual std::optional<ObjectVersion> Create(const ObjectKey& key,
                                              std::string_view body) = 0;

  /**
   * Replaces an object's body if its version is @p expected.
   * @return The new version; kStoreConflict if the version differs.
   */
  virtual std::optional<ObjectVersion> Update(const ObjectKey& key,
                                              const ObjectVersion& expected,
                                              std::string_view body) = 0;

  /**
   * Removes an object if its version is @p expected.
   * @return Whether it was removed; if not, see LastReason().
   */
  virtual bool Remove(const ObjectKey& key, const ObjectVersion& expected) = 0;

  /**
   * Reads all objects of a kind, in pages. If any page fails, the whole call
   * fails, so that a missing page never looks like removed objects.
   */
  virtual std::optional<std::vector<StoredObject>> List(
      std::string_view kind) = 0;
};

}  // namespace boragewharf
