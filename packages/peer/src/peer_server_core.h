/**
 * @file peer_server_core.h
 * State and threads of a PeerServer, internal to the package.
 */
#pragma once

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/scope_guard.h"
#include "peer/peer_server_base.h"

namespace boragewharf {

/**
 * One thread waits for all connections and reads and writes frames; worker
 * threads run handlers. Connections belong to the first thread alone; answers
 * reach it over a list and an event.
 */
class PeerServer::Core : public std::enable_shared_from_this<Core> {
 public:
  Core(PeerServerOptions server_options,
       std::map<MessageType, PeerHandler> type_handlers,
       CounterRegistry& registry);

  /** Binds and starts the threads; false with kSystemError. */
  bool Start();

  /** Ends the threads and closes all connections. */
  void Stop();

  const Endpoint& LocalEndpoint() const { return this->local; }

 private:
  struct Connection {
    UniqueFd socket;
    uint64_t challenge = 0;
    uint64_t last_sequence = 0;
    bool is_authenticated = false;  ///< A request has passed all checks.
    bool is_busy = false;           ///< A request waits for its answer.
    std::string input;              ///< Bytes received, at most one frame.
    std::string output;             ///< Bytes still to send.
    TimePoint last_activity;        ///< Last byte in either direction.
    TimePoint frame_start;          ///< First byte of the frame in input.
  };

  /** What a response repeats of its request. */
  struct RequestRef {
    uint64_t connection = 0;
    MessageType type = MessageType::kRefusal;
    uint64_t sequence = 0;
    uint64_t challenge = 0;
    uint64_t nonce = 0;
  };

  /** A request on its way to a worker; without a handler it ends the worker. */
  struct WorkItem {
    const PeerHandler* handler = nullptr;
    PeerRequest request;
    RequestRef ref;
  };

  /** An encoded response on its way to its connection. */
  struct Completion {
    uint64_t connection = 0;
    std::string frame;
  };

  class PendingAnswer;

  void IoLoop();
  void WorkerLoop();
  void Accept();
  void SendHello(Connection& connection);
  void HandleEvents(uint64_t id, uint32_t events);
  bool ReadInput(Connection& connection);
  bool ProcessInput(uint64_t id, Connection& connection);
  bool ProcessFrame(uint64_t id,
                    Connection& connection,
                    std::string_view bytes);
  void Dispatch(const RequestRef& ref, WorkItem item);
  bool WriteOutput(Connection& connection);
  void UpdateInterest(uint64_t id, const Connection& connection);
  void ApplyCompletions();
  void Complete(const RequestRef& ref, PeerAnswer answer);
  void Close(uint64_t id);
  void CloseSilent(TimePoint now);
  void Drop(ResultCode code);

  PeerServerOptions options;
  std::map<MessageType, PeerHandler> handlers;
  CounterRegistry& counters;
  Endpoint local;
  UniqueFd listener;
  UniqueFd event;
  UniqueFd epoll;
  std::atomic<bool> stopping{false};
  std::map<uint64_t, Connection> connections;  ///< Of the I/O thread.
  uint64_t next_id = 2;      ///< 0 and 1 are the listener and the event.
  size_t input_bytes = 0;    ///< Sum over all connections.
  bool is_accepting = true;  ///< False after accept failed, until the sweep.
  std::mutex mutex;          ///< Guards completions.
  std::vector<Completion> completions;
  /// The standard allocator, because the thread sanitizer takes memory that
  /// TBB's own allocator uses again for a data race.
  tbb::concurrent_bounded_queue<WorkItem, std::allocator<WorkItem>> work;
  std::thread io_thread;
  std::vector<std::thread> workers;
};

}  // namespace boragewharf
