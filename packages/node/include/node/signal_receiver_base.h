/**
 * @file signal_receiver_base.h
 * Receives the signals of the process on a thread of its own.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <thread>

#include "base/time_type.h"

namespace boragewharf::node {

/**
 * Receives SIGTERM, SIGINT and SIGHUP. Since its thread does nothing else, the
 * time of a signal is known even while the event loops of the node are busy.
 * Signals that arrive before Start() are kept until then.
 */
class SignalReceiver {
 public:
  /** @param number Of the signal. @param received When it arrived. */
  using Handler = std::function<void(int number, TimePoint received)>;

  SignalReceiver();
  /** Waits for a handler that is running. */
  ~SignalReceiver();
  SignalReceiver(const SignalReceiver&) = delete;
  SignalReceiver& operator=(const SignalReceiver&) = delete;

  /**
   * Starts the thread.
   * @param handler Called on that thread for each signal; must not throw.
   * @pre Called at most once.
   */
  void Start(Handler handler);

 private:
  void WaitForSignal();

  boost::asio::io_context loop{1};
  boost::asio::signal_set signals;
  Handler handler;
  std::thread thread;
};

}  // namespace boragewharf::node
