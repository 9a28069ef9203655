/**
 * @file replay_window_base.h
 * Detection of repeated datagrams.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "base/strong_id_type.h"

namespace boragewharf {

/** Accepts each sequence number once, within 64 numbers of the highest. */
class ReplayWindow {
 public:
  /**
   * Records a sequence number.
   * @return False if it was recorded before or is too old to tell.
   * @note Not thread-safe.
   */
  bool Accept(uint64_t sequence);

 private:
  uint64_t highest = 0;  ///< Highest number accepted; 0 for none.
  uint64_t seen = 0;     ///< Bit i: number highest - i was accepted.
};

/**
 * Replay windows of a bounded number of senders. When it is full, the sender
 * that was heard least recently is forgotten. The owner must tolerate one
 * repeat of a forgotten sender's datagrams; only authenticated senders take
 * up room.
 */
class ReplayGuard {
 public:
  /** @pre @p max_senders is not 0. */
  explicit ReplayGuard(size_t max_senders) : capacity(max_senders) {}

  /**
   * Records a datagram.
   * @return False for a repeated or too old one.
   * @note Not thread-safe.
   */
  bool Accept(MemberId sender, uint64_t sequence);

  /** Number of senders remembered. @note Not thread-safe. */
  size_t size() const { return this->by_sender.size(); }

 private:
  struct Entry {
    MemberId sender;
    ReplayWindow window;
  };

  size_t capacity;
  std::list<Entry> entries;  ///< Most recently heard first.
  std::unordered_map<MemberId, std::list<Entry>::iterator> by_sender;
};

}  // namespace boragewharf
