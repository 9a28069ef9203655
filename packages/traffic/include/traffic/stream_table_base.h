/**
 * @file stream_table_base.h
 * All streams that this entry instance holds.
 */
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "traffic/stream_base.h"

namespace boragewharf::traffic {

/** Streams by id. All methods are thread-safe. */
class StreamTable {
 public:
  /** @param on_count Called with the number of streams when it changes. */
  explicit StreamTable(std::function<void(uint32_t)> on_count);

  /** Adds a stream. @return False if its id is present. */
  bool Insert(const std::shared_ptr<Stream>& stream);

  /** Removes a stream, if present. */
  void Remove(const RequestId& id);

  /** Null if there is none. */
  std::shared_ptr<Stream> Find(const RequestId& id) const;

  /** A copy of the list. */
  std::vector<std::shared_ptr<Stream>> All() const;

  /** Number of streams. */
  size_t Size() const;

  /** Waits until there are no streams. @return False after @p timeout. */
  bool WaitEmpty(Duration timeout);

 private:
  const std::function<void(uint32_t)> count_changed;
  mutable std::mutex mutex;
  std::condition_variable emptied;
  std::unordered_map<RequestId, std::shared_ptr<Stream>> streams;
};

}  // namespace boragewharf::traffic
