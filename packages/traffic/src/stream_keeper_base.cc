/**
 * @file stream_keeper_base.cc
 * Periodic checks of streams.
 */
#include "traffic/stream_keeper_base.h"

#include <algorithm>

#include "traffic/move_func.h"
#include "traffic/server_choice_func.h"

namespace boragewharf::traffic {

namespace {

constexpr Duration kLookInterval = std::chrono::milliseconds(200);
constexpr Duration kIdleConnectionLife = std::chrono::minutes(5);
constexpr size_t kHandoverThreads = 8;

}  // namespace

StreamKeeper::StreamKeeper(const TrafficContext& shared,
                           StreamTable& all_streams)
    : context(shared), streams(all_streams) {}

StreamKeeper::~StreamKeeper() {
  this->Stop();
}

void StreamKeeper::Start() {
  this->thread = std::thread([this] { this->Loop(); });
}

void StreamKeeper::Stop() {
  this->stopping = true;
  this->context.snapshot_changed.Notify();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void StreamKeeper::Loop() {
  while (!this->stopping) {
    this->context.snapshot_changed.Wait(kLookInterval);
    const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
    const TimePoint now = BootClock::now();
    const std::vector<std::shared_ptr<Stream>> all = this->streams.All();
    this->seen_slow.swap(this->now_slow);
    this->now_slow.clear();
    for (const std::shared_ptr<Stream>& stream : all) {
      this->LookAt(*stream, *snapshot, now);
    }
    this->context.connections.CloseUnused(now - kIdleConnectionLife);
  }
}

void StreamKeeper::LookAt(Stream& stream,
                          const RoutingSnapshot& snapshot,
                          TimePoint now) {
  if (now > stream.deadline) {
    stream.Fail({ResultCode::kDeadlineUnreachable,
                 "the deadline has passed",
                 RunState::kMayHaveRun,
                 0,
                 {}});
  }
  if (stream.IsAbandoned(now - this->context.options.stream_retention)) {
    stream.Cancel();
    this->streams.Remove(stream.id);
    return;
  }
  this->ConsiderMove(stream, snapshot, now);
}

void StreamKeeper::ConsiderMove(Stream& stream,
                                const RoutingSnapshot& snapshot,
                                TimePoint now) {
  const AttemptProgress progress = stream.Progress();
  if (progress.instance.empty()) {
    return;
  }
  const backend::BackendServer* server =
      FindServer(snapshot, stream.request.service, progress.instance);
  if (server == nullptr || server->status != backend::BackendStatus::kLeaving ||
      server->reclaim_deadline == TimePoint()) {
    return;
  }
  const MoveBounds bounds{this->context.options.move_margin,
                          this->context.options.move_spread};
  const TimePoint latest = server->reclaim_deadline - bounds.margin;
  if (WouldFinishBefore(progress, now, latest)) {
    return;
  }
  // Two looks in a row must agree, because the rate of an attempt varies.
  const auto seen = this->seen_slow.find(stream.id);
  const bool confirmed =
      seen != this->seen_slow.end() && seen->second == progress.number;
  this->now_slow[stream.id] = progress.number;
  const bool due =
      now >= MoveTime(server->reclaim_deadline, bounds, stream.id.low);
  if ((confirmed && due) || now >= latest) {
    if (stream.RequestMove(progress.number)) {
      this->context.counters.moves.Add();
    }
  }
}

size_t StreamKeeper::HandOverAll() {
  const std::vector<std::shared_ptr<Stream>> all = this->streams.All();
  std::atomic<size_t> next{0};
  std::atomic<size_t> failed{0};
  std::vector<std::thread> threads;
  for (size_t i = 0; i < std::min(kHandoverThreads, all.size()); ++i) {
    threads.emplace_back([&] {
      for (size_t index = next++; index < all.size(); index = next++) {
        failed += this->HandOver(*all[index]) ? 0 : 1;
      }
    });
  }
  for (std::thread& worker : threads) {
    worker.join();
  }
  return failed;
}

bool StreamKeeper::HandOver(Stream& stream) {
  const std::optional<StreamTransfer> transfer = stream.Pause();
  if (!transfer) {
    return true;
  }
  const std::optional<Endpoint> target =
      this->context.providers.handovers.HandOver(*transfer);
  if (!target) {
    stream.Resume();
    return false;
  }
  stream.CompleteHandover(*target);
  this->context.counters.handed_over.Add();
  return true;
}

}  // namespace boragewharf::traffic
