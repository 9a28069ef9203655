/**
 * @file udp_proxy.h
 * UDP listener of the fault proxy.
 */
#pragma once

#include <list>
#include <thread>

#include "proxy_base.h"

namespace boragewharf::standin {

/** Forwards datagrams to a target, and answers back to each sender. */
class UdpProxy : public ProxyListener {
 public:
  UdpProxy(uint16_t wanted, const Endpoint& target_endpoint, uint64_t seed);
  ~UdpProxy() override;

 private:
  static constexpr size_t kMaxSenders = 256;
  static constexpr size_t kMaxDatagram = 65'536;

  /** A sender, with the socket on which the target sees it. */
  struct Sender {
    sockaddr_in address{};
    UniqueFd upstream;
    ProxyQueue requests;
    ProxyQueue answers;
    bool silent = false;
  };

  void Run();
  void CarryOutRequests();
  void ReceiveRequests();
  void ReceiveAnswers(Sender& sender);
  void SendDue(Sender& sender);
  Sender& FindOrAdd(const sockaddr_in& address);

  std::list<Sender> senders;  ///< Most recently added last.
  std::thread thread;
};

}  // namespace boragewharf::standin
