/**
 * @file trial_load.cc
 * Streams that begin one after the other at random nodes.
 */
#include "trial_load.h"

namespace boragewharf::review {

double StreamLoad::ShareBegun() const {
  return this->answered == 0
             ? 0
             : static_cast<double>(this->begun) / this->answered;
}

double StreamLoad::ShareWentOn() const {
  return this->taken_up == 0
             ? 0
             : static_cast<double>(this->went_on) / this->taken_up;
}

void StreamLoad::NoteSums() {
  this->trial.Note("streams " + std::to_string(this->started) + ", answered " +
                   std::to_string(this->answered) + ", begun " +
                   std::to_string(this->begun) + ", complete " +
                   std::to_string(this->complete) + ", taken up " +
                   std::to_string(this->taken_up) + ", of these went on " +
                   std::to_string(this->went_on) + " and refused " +
                   std::to_string(this->refused) +
                   "; with events of two versions " +
                   std::to_string(this->mixed) + ", out of order " +
                   std::to_string(this->out_of_order));
}

void StreamLoad::Next() {
  if (this->stopped) {
    return;
  }
  const size_t nodes = this->trial.NodeCount();
  const auto pick = [this, nodes](size_t broken_at) {
    const size_t step = 1 + this->trial.Generator()() % (nodes - 1);
    return (broken_at + step) % nodes;
  };
  std::make_shared<StreamClient>(
      this->trial, "s" + std::to_string(++this->started), this->prefix, pick,
      [this](const StreamResult& result) { this->OnOver(result); })
      ->Start(this->trial.Generator()() % nodes);
  this->trial.CallAfter(this->period, [this] { this->Next(); });
}

void StreamLoad::OnOver(const StreamResult& result) {
  const StreamAttempt& first = result.attempts.front();
  const StreamAttempt& last = result.attempts.back();
  this->answered += first.status != 0 ? 1 : 0;
  this->begun += first.first_event != 0 ? 1 : 0;
  this->complete += last.complete ? 1 : 0;
  this->out_of_order += result.in_order ? 0 : 1;
  if (result.attempts.size() > 1) {
    this->taken_up += 1;
    this->went_on += last.first_event != 0 ? 1 : 0;
    this->refused += last.status == 503 ? 1 : 0;
    this->trial.Note(result.Text());
  }
  if (result.Versions().size() > 1) {
    this->mixed += 1;
    this->trial.Note("events of two versions in " + first.id);
  }
}

}  // namespace boragewharf::review
