/**
 * @file soak_client.h
 * A client that sends requests one after another and checks the responses.
 */
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "httpio/message_parser_base.h"

namespace boragewharf::soak {

/** Number of events in a stream unless its request has other traits. */
inline constexpr uint32_t kStreamEvents = 12;

/** What distinguishes a request from others of the same path. */
struct RequestTraits {
  std::chrono::milliseconds deadline{5000};
  std::string token_counts;  ///< Value of Boragewharf-Token-Counts, or empty.
  uint32_t stream_events = kStreamEvents;  ///< Expected if it is a stream.
};

/** A request whose connection ended before its response was complete. */
struct InterruptedRequest {
  std::string id;
  std::string path;
  std::string node_ip;
  bool answer_begun = false;  ///< Whether a byte of the response arrived.
  std::chrono::milliseconds elapsed{0};  ///< From the send to the end.
  std::chrono::milliseconds deadline{0};
  int64_t ended_wall_ms = 0;  ///< In Unix time, as in the nodes' logs.
};

/** Results of all requests of a run. */
struct RunRecord {
  std::vector<std::string>
      violations;  ///< Descriptions of violated guarantees.
  std::map<std::string, uint32_t>
      statuses;  ///< Number of requests by response status, "none" without a
                 ///< response.
  std::map<std::string, std::string>
      reported_not_run;  ///< Attempt ids of rejected requests, with status.
  std::map<std::string, std::string>
      non_idempotent;  ///< Attempt ids of order requests; the values are empty.
  std::vector<InterruptedRequest> interrupted;
  uint32_t early_timeouts = 0;  ///< Answers 504 before the deadline.
  uint32_t connect_failures = 0;
  uint32_t timeouts = 0;  ///< Requests without a complete response one second
                          ///< after their deadline.
};

/**
 * Sends requests until it is stopped. Not thread-safe: runs on one event loop.
 */
class SoakClient {
 public:
  /**
   * @param pick_node Returns the node address for the next connection.
   * @param record Receives the results; must outlive the client.
   */
  SoakClient(boost::asio::io_context& loop,
             std::string name,
             uint64_t seed,
             std::function<boost::asio::ip::tcp::endpoint()> pick_node,
             RunRecord& record);

  using ChooseTraits = std::function<RequestTraits(const std::string&)>;

  /** Sets a function that returns the traits of each request by its id;
   * otherwise, all have the default traits. */
  void SetTraits(ChooseTraits choose) {
    this->choose_traits = std::move(choose);
  }

  /** Starts sending @p count requests, or an unlimited number if it is 0. */
  void Start(uint32_t count);

  /** Stops after the current request. */
  void Stop() { this->stopping = true; }

  /** @return Number of requests with a complete response of status 200. */
  uint32_t Served() const { return this->served; }
  bool Done() const { return this->done; }

 private:
  void StartNextRequest();
  void Connect();
  void Send();
  void Read();
  void OnRead(const boost::system::error_code& error, size_t size);
  void CheckResponse();
  void FinishRequest(bool complete);
  /** Records that the connection ended, then finishes the request. */
  void FinishInterruptedRequest();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string name;
  std::mt19937_64 generator;
  std::function<boost::asio::ip::tcp::endpoint()> choose_node;
  ChooseTraits choose_traits;
  RunRecord& record;
  std::array<char, 8192> read_buffer{};
  std::string input;
  std::string output;
  std::string body;
  std::string id;
  std::string path;
  RequestTraits traits;
  std::string node_ip;
  std::chrono::steady_clock::time_point sent_at;
  bool answer_begun = false;
  std::unique_ptr<httpio::ResponseParser> parser;
  uint64_t request_number = 0;
  uint32_t remaining_requests = 0;
  bool is_limited = false;
  uint32_t served = 0;
  bool stopping = false;
  bool done = false;
};

}  // namespace boragewharf::soak
