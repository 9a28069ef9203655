/**
 * @file lab_platform.h
 * Stand-ins for the platform's metadata store and cloud API, and the event loop
 * that all stand-ins share.
 */
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "httpio/server_connection_base.h"

namespace boragewharf::review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using ConnectionPtr = std::shared_ptr<httpio::ServerConnection>;

/** The record of a run: lines with the time since its start. Thread-safe. */
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  /** Milliseconds since the start of the run. */
  int64_t Now() const;

 private:
  std::mutex mutex;
  std::ofstream file;
  Clock::time_point started = Clock::now();
};

/** An event loop with its thread; all stand-ins run on it. */
class LabLoop {
 public:
  LabLoop() : guard(boost::asio::make_work_guard(this->context)) {
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~LabLoop() { this->Stop(); }
  LabLoop(const LabLoop&) = delete;
  LabLoop& operator=(const LabLoop&) = delete;

  boost::asio::io_context& Context() { return this->context; }

  /** Ends the thread; stand-ins may be destroyed afterwards. */
  void Stop() {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  /** Runs a function on the loop and returns its result. */
  template <class Function>
  auto Run(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    boost::asio::post(this->context, [&task] { task(); });
    return result.get();
  }

 private:
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard;
  std::thread thread;
};

/** @return A TCP port that is free on 127.0.0.1. */
uint16_t FreeLabPort();

/** The metadata store, as PROTOCOL.md describes it. Runs on the loop. */
class LabStore : public httpio::RequestHandler {
 public:
  LabStore(boost::asio::io_context& event_loop, Record& run_record);

  const Endpoint& Address() const { return this->address; }

  /** Creates or replaces an object, as the operator or a replica does. */
  void Put(const std::string& kind, const std::string& name, const Json& spec);
  void Erase(const std::string& kind, const std::string& name);

  /** Most objects in a page of a list. */
  void SetPageSize(size_t size) { this->page_size = size; }

  /** Called once, after the next first page of several of this kind. */
  void SetAfterFirstPage(std::string kind, std::function<void()> action) {
    this->paged_kind = std::move(kind);
    this->after_first_page = std::move(action);
  }

  void OnRequest(const ConnectionPtr& connection,
                 httpio::InboundRequest request) override;
  void OnClientDisconnected(httpio::ServerConnection& connection) override;

 private:
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    Json spec;
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    Json event;
  };
  struct Watch {
    ConnectionPtr connection;
    std::string kind;
    uint64_t revision = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  static void Answer(const ConnectionPtr& connection,
                     uint32_t status,
                     const Json& body);
  static Json ObjectJson(const std::string& name, const Object& object);
  void AddChange(const std::string& kind,
                 const std::string& name,
                 const Object& object,
                 bool removed);
  bool TryAnswerWatch(const Watch& watch, bool ended);
  void StartWatch(const ConnectionPtr& connection,
                  const std::string& kind,
                  uint64_t from,
                  int64_t wait_ms);
  void List(const ConnectionPtr& connection,
            const std::string& kind,
            const std::string& after);
  void Write(const ConnectionPtr& connection,
             const httpio::InboundRequest& request,
             const std::string& kind,
             const std::string& name);

  boost::asio::io_context& loop;
  Record& record;
  Endpoint address;
  httpio::HttpListener listener;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::deque<Change> history;
  std::list<Watch> watches;
  uint64_t revision = 1;
  size_t page_size = 500;
  std::string paged_kind;
  std::function<void()> after_first_page;
};

/** The cloud API: accepts all calls. Runs on the loop. */
class LabCloud : public httpio::RequestHandler {
 public:
  explicit LabCloud(boost::asio::io_context& event_loop);
  const Endpoint& Address() const { return this->address; }
  void OnRequest(const ConnectionPtr& connection,
                 httpio::InboundRequest request) override;
  void OnClientDisconnected(httpio::ServerConnection&) override {}

 private:
  Endpoint address;
  httpio::HttpListener listener;
};

}  // namespace boragewharf::review
