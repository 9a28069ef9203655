/**
 * @file stream_records_contact.cc
 * Loss of contact with the other nodes, after which the saves are read again.
 */
#include <utility>

#include "serving/stream_records_base.h"

namespace boragewharf::serving {
namespace {

/** Message periods after the loss of contact within which the store is waited
 * for before streams are refused. It answers within some 100 ms, and a summary
 * tells of it a period later. */
constexpr int kPeriodsUntilRefusal = 3;

}  // namespace

bool StreamRecords::TakeRestoreWanted() {
  return std::exchange(this->restore_wanted, false);
}

void StreamRecords::CheckSuspension(TimePoint now) {
  if (this->had_contact && this->nodes > 1 && !this->HasRecentPeers(now)) {
    this->OnContactMissing(now);
  }
}

void StreamRecords::CheckContact(TimePoint now) {
  if (this->IsInTouch(now)) {
    this->had_contact = true;
    this->cut_off_since.reset();
  } else if (this->had_contact) {
    this->cut_off_since = this->cut_off_since.value_or(now);
    this->OnContactMissing(now);
  }
}

void StreamRecords::OnContactMissing(TimePoint now) {
  this->missed_until = now;
  this->started = now;
  this->was_complete |= this->complete;
  this->complete = false;
  this->complete_from.reset();
  this->restore_wanted = true;
}

bool StreamRecords::MayPrecedeContact(TimePoint received) const {
  return this->missed_until &&
         received < *this->missed_until + this->message_period;
}

bool StreamRecords::IsCatchingUp(TimePoint now, Duration start_time) const {
  if (this->cut_off_since && this->HasRecentPeers(now)) {
    return now - *this->cut_off_since <
           kPeriodsUntilRefusal * this->message_period;
  }
  return now - this->started < start_time;
}

}  // namespace boragewharf::serving
