/**
 * @file stream_keeper_base.h
 * Looks after running streams: moves them off reclaimed servers, ends those
 * past their deadline, and hands them over when this instance drains.
 */
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "traffic/context_type.h"
#include "traffic/stream_table_base.h"

namespace boragewharf::traffic {

/** One thread that looks at all streams from time to time. */
class StreamKeeper {
 public:
  StreamKeeper(const TrafficContext& shared, StreamTable& all_streams);
  ~StreamKeeper();

  /** Starts the thread. @pre Called once. */
  void Start();

  /** Ends the thread. May be called repeatedly. */
  void Stop();

  /**
   * Offers all streams to peers, several at a time. Streams that none adopts
   * continue here. Blocks.
   * @return Number of streams that could not be handed over.
   */
  size_t HandOverAll();

 private:
  void Loop();
  void LookAt(Stream& stream, const RoutingSnapshot& snapshot, TimePoint now);
  void ConsiderMove(Stream& stream,
                    const RoutingSnapshot& snapshot,
                    TimePoint now);
  bool HandOver(Stream& stream);

  const TrafficContext& context;
  StreamTable& streams;
  /** Attempts found too slow in the previous look, by stream. */
  std::map<RequestId, uint32_t> seen_slow;
  std::map<RequestId, uint32_t> now_slow;  ///< The same in this look.
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace boragewharf::traffic
