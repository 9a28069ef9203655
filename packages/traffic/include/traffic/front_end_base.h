/**
 * @file front_end_base.h
 * The HTTP front end of an entry instance.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "traffic/caller_api_base.h"
#include "traffic/stream_keeper_base.h"

namespace boragewharf::traffic {

/**
 * Accepts calls, relays them to backend servers and recovers streams.
 * Methods are thread-safe unless noted.
 */
class FrontEnd {
 public:
  /** @param providers All outlive the front end. */
  FrontEnd(const FrontEndOptions& settings, const FrontEndProviders& providers);
  ~FrontEnd();
  FrontEnd(const FrontEnd&) = delete;
  FrontEnd& operator=(const FrontEnd&) = delete;

  /** Starts serving. @return Port, or 0 on failure. @pre Called once. */
  uint16_t Start();

  /** Tells that the snapshot source has a new snapshot. Does not block. */
  void OnSnapshotChanged() { this->snapshot_changed.Notify(); }

  /**
   * Continues a stream that a peer hands over.
   * @return False with the last reason if it is not adopted.
   */
  bool Adopt(const StreamTransfer& transfer);

  /**
   * Refuses new work and waits for the work in progress. With a deadline,
   * streams that still run shortly before it are handed over to peers. Blocks.
   * @return False if work was left at the deadline.
   */
  bool Drain(std::optional<TimePoint> deadline);

  /** Ends all threads; cuts what Drain() did not wait for. */
  void Stop();

  /** Streams held here. */
  size_t OpenStreams() const { return this->streams.Size(); }

 private:
  bool WaitIdle(TimePoint until);

  const FrontEndOptions options;
  TrafficCounters counters;
  ConnectionPool connections;
  InFlightTable in_flight;
  ChangeSignal snapshot_changed;
  const TrafficContext context;
  std::atomic<bool> draining{false};
  ActiveCount active;
  StreamTable streams;
  WorkerPool upstream;
  CompletionRelay completions;
  StreamKeeper keeper;
  CallerApi api;
  CallerServer server;
};

}  // namespace boragewharf::traffic
