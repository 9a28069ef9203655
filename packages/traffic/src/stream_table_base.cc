/**
 * @file stream_table_base.cc
 * Table of streams.
 */
#include "traffic/stream_table_base.h"

#include <utility>

namespace boragewharf::traffic {

StreamTable::StreamTable(std::function<void(uint32_t)> on_count)
    : count_changed(std::move(on_count)) {}

bool StreamTable::Insert(const std::shared_ptr<Stream>& stream) {
  const std::lock_guard lock(this->mutex);
  const bool inserted = this->streams.emplace(stream->id, stream).second;
  if (inserted) {
    this->count_changed(static_cast<uint32_t>(this->streams.size()));
  }
  return inserted;
}

void StreamTable::Remove(const RequestId& id) {
  const std::lock_guard lock(this->mutex);
  if (this->streams.erase(id) == 0) {
    return;
  }
  this->count_changed(static_cast<uint32_t>(this->streams.size()));
  if (this->streams.empty()) {
    this->emptied.notify_all();
  }
}

std::shared_ptr<Stream> StreamTable::Find(const RequestId& id) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->streams.find(id);
  return found == this->streams.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Stream>> StreamTable::All() const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::shared_ptr<Stream>> all;
  all.reserve(this->streams.size());
  for (const auto& [id, stream] : this->streams) {
    all.push_back(stream);
  }
  return all;
}

size_t StreamTable::Size() const {
  const std::lock_guard lock(this->mutex);
  return this->streams.size();
}

bool StreamTable::WaitEmpty(Duration timeout) {
  std::unique_lock lock(this->mutex);
  return this->emptied.wait_for(lock, timeout,
                                [this] { return this->streams.empty(); });
}

}  // namespace boragewharf::traffic
