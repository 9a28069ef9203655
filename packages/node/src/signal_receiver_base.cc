/**
 * @file signal_receiver_base.cc
 * Receives the signals of the process on a thread of its own.
 */
#include "node/signal_receiver_base.h"

#include <csignal>
#include <utility>

namespace boragewharf::node {

SignalReceiver::SignalReceiver()
    : signals(this->loop, SIGTERM, SIGINT, SIGHUP) {}

SignalReceiver::~SignalReceiver() {
  this->loop.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void SignalReceiver::Start(Handler on_signal) {
  this->handler = std::move(on_signal);
  this->WaitForSignal();
  this->thread = std::thread([this] { this->loop.run(); });
}

void SignalReceiver::WaitForSignal() {
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int number) {
        if (error) {
          return;
        }
        this->handler(number, BootClock::now());
        this->WaitForSignal();
      });
}

}  // namespace boragewharf::node
