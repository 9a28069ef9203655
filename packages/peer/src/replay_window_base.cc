/**
 * @file replay_window_base.cc
 * Detection of repeated datagrams.
 */
#include "peer/replay_window_base.h"

namespace boragewharf {
namespace {

constexpr uint64_t kWindowSize = 64;

}  // namespace

bool ReplayWindow::Accept(uint64_t sequence) {
  if (sequence == 0) {
    return false;
  }
  if (sequence > this->highest) {
    const uint64_t advance = sequence - this->highest;
    this->seen = advance >= kWindowSize ? 0 : this->seen << advance;
    this->seen |= 1;
    this->highest = sequence;
    return true;
  }
  const uint64_t age = this->highest - sequence;
  if (age >= kWindowSize) {
    return false;
  }
  const uint64_t bit = uint64_t{1} << age;
  if ((this->seen & bit) != 0) {
    return false;
  }
  this->seen |= bit;
  return true;
}

bool ReplayGuard::Accept(MemberId sender, uint64_t sequence) {
  const auto found = this->by_sender.find(sender);
  if (found != this->by_sender.end()) {
    this->entries.splice(this->entries.begin(), this->entries, found->second);
    return found->second->window.Accept(sequence);
  }
  if (this->entries.size() >= this->capacity) {
    this->by_sender.erase(this->entries.back().sender);
    this->entries.pop_back();
  }
  this->entries.push_front(Entry{sender, {}});
  this->by_sender.emplace(sender, this->entries.begin());
  return this->entries.front().window.Accept(sequence);
}

}  // namespace boragewharf
