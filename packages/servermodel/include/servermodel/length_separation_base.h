/**
 * @file length_separation_base.h
 * Decides whether long prompts of an engine service get servers of their own,
 * and how many.
 */
#pragma once

#include <cstdint>
#include <deque>

#include "base/time_type.h"

namespace boragewharf::servermodel {

/** Costs of an average server of a service. */
struct EngineCosts {
  double tokens_per_ms = 0;  ///< Prompt tokens read per ms; 0: unknown.
  double event_ms = 0;       ///< Added to a step by a running request.
};

/**
 * Size-interval task assignment (Harchol-Balter, Crovella, Murta 1999): prompts
 * up to a length and those above it get separate servers, in proportion to
 * their work. Learns the lengths from the requests of this node; nodes with the
 * same traffic decide about the same. Not thread-safe.
 */
class LengthSeparation {
 public:
  /** Adds a request whose prompt has been read. @param goal_ms Objective for
   * its first event; 0: none. */
  void AddPrompt(uint32_t tokens, double goal_ms, TimePoint now);

  /** Adds events of running requests. */
  void AddEvents(size_t count, TimePoint now);

  /** Decides again; at most once per second. */
  void Update(const EngineCosts& costs, TimePoint now);

  /** Whether long and short prompts are separated. */
  bool Active() const { return this->active; }

  /** Whether a prompt counts as long. */
  bool IsLong(uint32_t tokens) const { return tokens > this->cut_tokens; }

  /** Length above which prompts count as long. */
  double CutTokens() const { return this->cut_tokens; }

  /** Share of the servers' work that is due to long prompts, 0 to 1. */
  double LongShare() const { return this->long_share; }

  /** Objective of the most urgent requests for the first event. */
  double GoalMs() const { return this->goal_ms; }

 private:
  struct Prompt {
    uint32_t tokens = 0;
    double goal_ms = 0;
    TimePoint seen;
  };

  void Decide(const EngineCosts& costs);

  std::deque<Prompt> prompts;
  double events = 0;          ///< Decayed sum.
  double event_requests = 0;  ///< Requests to which they belong.
  TimePoint decayed;
  TimePoint next_update;
  bool active = false;
  double cut_tokens = 0;
  double long_share = 0;
  double goal_ms = 0;
};

}  // namespace boragewharf::servermodel
