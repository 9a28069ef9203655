/**
 * @file trial_replica.h
 * Stand-in for a model replica that names its software version in each event.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform_standin.h"

namespace boragewharf::review {

using std::chrono::milliseconds;

/** What identifies a replica in the store. */
struct ReplicaEntry {
  std::string id;
  std::string service;
  std::string version;
  std::string zone;
};

/** Answers streams event by event, and requests of other paths at once. Runs on
 * one event loop. */
class Replica : public httpio::RequestHandler {
 public:
  Replica(boost::asio::io_context& event_loop,
          standins::StoreStandin& platform_store,
          ReplicaEntry replica_entry,
          Endpoint own_address);

  /** Registers in the store and renews the entry about every 1.2 s. */
  void Register();

  /** Sets the length of streams, and the time before their first event and
   * between events. */
  void SetStream(uint32_t event_count, milliseconds first, milliseconds gap);

  /** Resets all channels and accepts none for @p down_time. The process that
   * follows has a new start time and knows nothing of before. */
  void Crash(milliseconds down_time);

  /** Calls @p callback when the first request begins to run. */
  void OnFirstRun(std::function<void()> callback) {
    this->first_run = std::move(callback);
  }

  const ReplicaEntry& Entry() const { return this->entry; }

  /** Attempt ids of the requests that it began to run. */
  const std::vector<std::string>& Runs() const { return this->runs; }

  void OnRequest(const standins::ConnectionPtr& connection,
                 httpio::InboundRequest request) override;
  void OnClientDisconnected(httpio::ServerConnection& connection) override;

 private:
  struct Stream {
    standins::ConnectionPtr connection;
    std::string attempt_id;
    uint32_t next_event = 1;
    bool begun = false;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void WriteEntry();
  void Beat();
  void StartStream(const standins::ConnectionPtr& connection,
                   const httpio::InboundRequest& request,
                   const std::string& attempt_id);
  void SendNextEvent(const std::shared_ptr<Stream>& stream);

  boost::asio::io_context& loop;
  standins::StoreStandin& store;
  ReplicaEntry entry;
  Endpoint address;
  uint64_t born;
  uint64_t sequence = 0;
  std::vector<std::unique_ptr<httpio::HttpListener>> listeners;
  boost::asio::steady_timer beat_timer;
  boost::asio::steady_timer restart_timer;
  uint32_t events = 8;
  milliseconds first_delay{20};
  milliseconds event_gap{20};
  bool down = false;
  std::function<void()> first_run;
  std::map<httpio::ServerConnection*, std::shared_ptr<Stream>> streams;
  std::map<httpio::ServerConnection*, std::weak_ptr<httpio::ServerConnection>>
      channels;
  std::vector<std::string> runs;
};

}  // namespace boragewharf::review
