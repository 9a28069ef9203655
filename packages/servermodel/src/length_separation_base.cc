/**
 * @file length_separation_base.cc
 * Separation of long and short prompts by the work that they cause.
 */
#include "servermodel/length_separation_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace boragewharf::servermodel {
namespace {

/** Prompts on which a decision is based: those of the last minute, of which a
 * node sees some hundred. */
constexpr std::chrono::seconds kPromptLifetime(60);
constexpr size_t kMaxPrompts = 1024;

/** Fewest prompts for a decision; the share of the work is known to about a
 * fifth with so many. */
constexpr size_t kMinPrompts = 100;

constexpr std::chrono::seconds kUpdatePeriod(1);

/** Position, among the objectives of the recent requests, of the one that
 * counts as the most urgent; a few odd requests don't decide. */
constexpr double kUrgentQuantile = 0.1;

/** A prompt is long if reading it takes more than this share of the objective:
 * several of them ahead of a request use it up. */
constexpr double kLongReadShare = 0.15;

/** Separation starts if a request that meets a long prompt waits for it for
 * more than the first share of its objective on average, and ends below the
 * second. Half the objective is what is left besides its own prompt and step.
 */
constexpr double kStartDelayShare = 0.5;
constexpr double kEndDelayShare = 0.35;

/** Range of the long prompts' share of the work in which separation starts, and
 * the margin by which it is left later. Outside of it, a group would have too
 * few servers to balance its load. */
constexpr double kMinShare = 0.1;
constexpr double kMaxShare = 0.8;
constexpr double kShareMargin = 0.05;

/** Weight of a new share in the moving average, with one update per second. */
constexpr double kShareWeight = 0.1;

/** Time constant of the number of events per request. */
constexpr double kEventSeconds = 30;

}  // namespace

void LengthSeparation::AddPrompt(uint32_t tokens, double goal, TimePoint now) {
  this->prompts.push_back({tokens, goal, now});
  if (this->prompts.size() > kMaxPrompts) {
    this->prompts.pop_front();
  }
  this->event_requests += 1;
}

void LengthSeparation::AddEvents(size_t count, TimePoint now) {
  const double passed =
      std::chrono::duration<double>(now - this->decayed).count();
  if (passed > 0) {
    const double left = std::exp(-passed / kEventSeconds);
    this->events *= left;
    this->event_requests *= left;
    this->decayed = now;
  }
  this->events += static_cast<double>(count);
}

void LengthSeparation::Update(const EngineCosts& costs, TimePoint now) {
  if (now < this->next_update) {
    return;
  }
  this->next_update = now + kUpdatePeriod;
  while (!this->prompts.empty() &&
         now - this->prompts.front().seen > kPromptLifetime) {
    this->prompts.pop_front();
  }
  if (this->prompts.size() < kMinPrompts || costs.tokens_per_ms <= 0) {
    this->active = false;
    return;
  }
  this->Decide(costs);
}

void LengthSeparation::Decide(const EngineCosts& costs) {
  std::vector<double> goals;
  for (const Prompt& prompt : this->prompts) {
    if (prompt.goal_ms > 0) {
      goals.push_back(prompt.goal_ms);
    }
  }
  if (goals.empty()) {
    this->active = false;
    return;
  }
  const auto urgent =
      goals.begin() + static_cast<std::ptrdiff_t>(
                          kUrgentQuantile * static_cast<double>(goals.size()));
  std::ranges::nth_element(goals, urgent);
  this->goal_ms = *urgent;
  this->cut_tokens = kLongReadShare * this->goal_ms * costs.tokens_per_ms;
  const double per_request =
      this->events / std::max(1.0, this->event_requests) * costs.event_ms;
  double total = 0;
  double long_total = 0;
  double long_ms = 0;
  double long_squares = 0;
  for (const Prompt& prompt : this->prompts) {
    const double read_ms = prompt.tokens / costs.tokens_per_ms;
    total += read_ms + per_request;
    if (this->IsLong(prompt.tokens)) {
      long_total += read_ms + per_request;
      long_ms += read_ms;
      long_squares += read_ms * read_ms;
    }
  }
  const double share = total > 0 ? long_total / total : 0;
  this->long_share =
      this->active
          ? this->long_share + kShareWeight * (share - this->long_share)
          : share;
  // A request that arrives during a read meets the longer ones more often.
  const double met_ms = long_ms > 0 ? long_squares / long_ms : 0;
  const double margin = this->active ? kShareMargin : 0;
  const double least_delay = this->active ? kEndDelayShare : kStartDelayShare;
  this->active = met_ms > least_delay * this->goal_ms &&
                 share > kMinShare - margin && share < kMaxShare + margin;
}

}  // namespace boragewharf::servermodel
