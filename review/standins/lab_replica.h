/**
 * @file lab_replica.h
 * A replica, as PROTOCOL.md describes it. Runs on the loop.
 */
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab_platform.h"

namespace boragewharf::review {

/** A request that a replica got. */
struct Arrival {
  int64_t at_ms = 0;  ///< Since the start of the run.
  std::string attempt_id;
  std::string replica;
  bool run = false;  ///< False: answered 421.
};

/** What distinguishes the replicas of a run. */
struct ReplicaPlan {
  std::string id;
  std::string service;
  std::string zone;
  uint32_t slots = 6;
  bool streams = false;  ///< Answers with streams.
  std::chrono::milliseconds gap{100};
  bool unframed = false;  ///< Streams have no length and no chunks.
  std::chrono::milliseconds work{15};  ///< Of a plain request.
};

class LabReplica : public httpio::RequestHandler {
 public:
  LabReplica(boost::asio::io_context& event_loop,
             LabStore& metadata_store,
             Record& run_record,
             ReplicaPlan replica_plan);

  /** Writes the entry into the store. */
  void Register(const std::string& state);
  /** The entry is removed; the replica serves on. */
  void LeaveQuietly();

  const std::string& Id() const { return this->plan.id; }
  const std::vector<Arrival>& Arrivals() const { return this->arrivals; }
  uint32_t Crashes() const { return this->crashes; }
  /** Streams that it runs. */
  size_t Running() const { return this->streams.size(); }
  uint32_t Moves() const { return this->moves; }

  void OnRequest(const ConnectionPtr& connection,
                 httpio::InboundRequest request) override;
  void OnClientDisconnected(httpio::ServerConnection& connection) override;

 private:
  struct Stream {
    ConnectionPtr connection;
    std::string attempt_id;
    uint32_t next_event = 1;
    uint32_t events = 0;  ///< In all, by the request's output tokens.
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void AnswerPlain(const ConnectionPtr& connection,
                   const httpio::InboundRequest& request,
                   const std::string& attempt_id);
  void AnswerReport(const ConnectionPtr& connection);
  void AnswerMove(const ConnectionPtr& connection, const Json& call);
  void StartStream(const ConnectionPtr& connection,
                   const httpio::InboundRequest& request,
                   const std::string& attempt_id);
  void SendNextEvent(const std::shared_ptr<Stream>& stream);
  void Crash();

  boost::asio::io_context& loop;
  LabStore& store;
  Record& record;
  ReplicaPlan plan;
  Endpoint address;
  std::vector<std::unique_ptr<httpio::HttpListener>> listeners;
  std::map<httpio::ServerConnection*, std::shared_ptr<Stream>> streams;
  std::vector<Arrival> arrivals;
  std::string state = "ready";
  std::chrono::steady_clock::time_point draining_since;
  int64_t born = 0;
  uint32_t lifetimes = 1;
  uint32_t crashes = 0;
  uint32_t moves = 0;
  bool is_down = false;
};

}  // namespace boragewharf::review
