/**
 * @file trial_stream.h
 * A client of one stream that takes it up again after a broken channel.
 */
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "httpio/message_parser_base.h"
#include "trial_base.h"

namespace boragewharf::review {

/** What became of one attempt of a stream. */
struct StreamAttempt {
  std::string id;
  size_t node = 0;
  uint32_t status = 0;       ///< 0: no answer.
  uint32_t first_event = 0;  ///< 0: none.
  uint32_t last_event = 0;
  bool complete = false;
  std::set<std::string> versions;  ///< Of the replicas that wrote the events.
  std::string replicas;
};

/** What became of a booking. */
struct Booking {
  std::string id;
  uint32_t status = 0;  ///< 0: no answer.
  milliseconds answered_after{0};
};

/** What became of a stream over all its attempts. */
struct StreamResult {
  std::vector<StreamAttempt> attempts;
  std::optional<Booking> booking;  ///< Sent on the channel of the last attempt.
  bool in_order = true;            ///< Each event followed the one before.

  std::set<std::string> Versions() const;
  /** The stream as a line of the record. */
  std::string Text() const;
};

/** One stream. Exists until it is over. */
class StreamClient : public std::enable_shared_from_this<StreamClient> {
 public:
  using PickNode = std::function<size_t(size_t broken_at)>;
  using Callback = std::function<void(const StreamResult&)>;

  /**
   * @param stream_name Unique; part of the attempt ids and of the path.
   * @param path_prefix Of the route.
   * @param pick Chooses the node for an attempt that takes the stream up.
   * @param when_over Called once, at the end.
   */
  StreamClient(Trial& deployment,
               std::string stream_name,
               std::string path_prefix,
               PickNode pick,
               Callback when_over);

  /** Begins at @p node. The client tries again once at most. */
  void Start(size_t node);

  /** Has the client send a booking on the same channel, some time after the
   * stream was answered. */
  void BookAfterwards() { this->books = true; }

 private:
  void Send(size_t node);
  void Read();
  void OnBody(std::string_view bytes);
  void EndAttempt(bool complete);
  void Book();
  void ReadBooking();
  void Finish();

  Trial& trial;
  std::string name;
  std::string prefix;
  PickNode pick_node;
  Callback callback;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::unique_ptr<httpio::ResponseParser> parser;
  std::array<char, 8192> buffer{};
  std::string input;
  std::string output;
  std::string events_rest;
  StreamResult result;
  uint32_t last_event = 0;
  Clock::time_point sent_at;  ///< Of the booking.
  bool books = false;
  bool over = false;
};

}  // namespace boragewharf::review
