/**
 * @file trial_load.h
 * Streams that begin one after the other at random nodes.
 */
#pragma once

#include "trial_stream.h"

namespace boragewharf::review {

/** Begins streams in a fixed period until it is stopped. Must outlive them. */
class StreamLoad {
 public:
  StreamLoad(Trial& deployment, milliseconds begin_period)
      : trial(deployment), period(begin_period) {}

  /** Sets the route of the streams that begin from now on. */
  void SetPrefix(const std::string& path_prefix) { this->prefix = path_prefix; }

  void Start() { this->Next(); }
  void Stop() { this->stopped = true; }

  /** Number of streams with events of replicas of several versions. */
  uint32_t Mixed() const { return this->mixed; }

  /** Number of streams that were taken up at another node. */
  uint32_t TakenUp() const { return this->taken_up; }

  /** Share of the streams that began at nodes that answered. */
  double ShareBegun() const;

  /** Share of the streams that were taken up and went on. */
  double ShareWentOn() const;

  /** Writes the sums to the record. */
  void NoteSums();

 private:
  void Next();
  void OnOver(const StreamResult& result);

  Trial& trial;
  milliseconds period;
  std::string prefix = kStreamPrefix;
  bool stopped = false;
  uint32_t started = 0;
  uint32_t answered = 0;  ///< First attempts that got an answer.
  uint32_t begun = 0;     ///< First attempts that got an event.
  uint32_t complete = 0;
  uint32_t taken_up = 0;
  uint32_t went_on = 0;
  uint32_t refused = 0;  ///< Of those taken up.
  uint32_t mixed = 0;
  uint32_t out_of_order = 0;
};

}  // namespace boragewharf::review
