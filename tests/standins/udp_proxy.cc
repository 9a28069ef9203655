/**
 * @file udp_proxy.cc
 * UDP listener of the fault proxy: one thread with poll().
 */
#include "udp_proxy.h"

#include <poll.h>
#include <sys/socket.h>

#include <vector>

namespace boragewharf::standin {

UdpProxy::UdpProxy(uint16_t wanted,
                   const Endpoint& target_endpoint,
                   uint64_t seed)
    : ProxyListener(target_endpoint, seed) {
  this->Bind(SOCK_DGRAM, wanted);
  this->thread = std::thread([this] { this->Run(); });
}

UdpProxy::~UdpProxy() {
  this->stopping = true;
  this->thread.join();
}

UdpProxy::Sender& UdpProxy::FindOrAdd(const sockaddr_in& address) {
  for (Sender& sender : this->senders) {
    if (sender.address.sin_port == address.sin_port &&
        sender.address.sin_addr.s_addr == address.sin_addr.s_addr) {
      return sender;
    }
  }
  if (this->senders.size() >= kMaxSenders) {
    this->senders.pop_front();
  }
  Sender& sender = this->senders.emplace_back();
  sender.address = address;
  sender.upstream = UniqueFd(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0));
  // Only sets the address; if that fails, datagrams are lost, as they may be.
  static_cast<void>(connect(sender.upstream.Get(),
                            reinterpret_cast<const sockaddr*>(&this->target),
                            sizeof(this->target)));
  return sender;
}

void UdpProxy::ReceiveRequests() {
  char buffer[kMaxDatagram];
  while (true) {
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const ssize_t received =
        recvfrom(this->socket_fd.Get(), buffer, sizeof(buffer), 0,
                 reinterpret_cast<sockaddr*>(&from), &length);
    if (received < 0) {
      return;
    }
    // Read after the data, so that faults apply to all data sent after them.
    const ProxyFaults faults = this->GetFaults();
    Sender& sender = this->FindOrAdd(from);
    if (sender.silent || sender.requests.Full() || this->DropsNow(faults)) {
      continue;
    }
    sender.requests.Push(std::string(buffer, static_cast<size_t>(received)),
                         faults);
  }
}

void UdpProxy::ReceiveAnswers(Sender& sender) {
  char buffer[kMaxDatagram];
  while (true) {
    const ssize_t received =
        recv(sender.upstream.Get(), buffer, sizeof(buffer), 0);
    if (received < 0) {
      return;
    }
    const ProxyFaults faults = this->GetFaults();
    if (sender.silent || faults.swallow_answers || sender.answers.Full() ||
        this->DropsNow(faults)) {
      continue;
    }
    sender.answers.Push(std::string(buffer, static_cast<size_t>(received)),
                        faults);
  }
}

void UdpProxy::SendDue(Sender& sender) {
  if (this->GetFaults().freeze) {
    return;
  }
  const ProxyClock::time_point now = ProxyClock::now();
  while (sender.requests.Due(now)) {
    const std::string& data = sender.requests.Front();
    send(sender.upstream.Get(), data.data(), data.size(), 0);
    sender.requests.Pop(data.size());
  }
  while (sender.answers.Due(now)) {
    const std::string& data = sender.answers.Front();
    sendto(this->socket_fd.Get(), data.data(), data.size(), 0,
           reinterpret_cast<const sockaddr*>(&sender.address),
           sizeof(sender.address));
    sender.answers.Pop(data.size());
  }
}

void UdpProxy::CarryOutRequests() {
  if (this->cut_requested) {
    this->senders.clear();
    this->cut_requested = false;
    this->cut_requested.notify_all();
  }
  if (this->silence_requested) {
    for (Sender& sender : this->senders) {
      sender.silent = true;
    }
    this->silence_requested = false;
    this->silence_requested.notify_all();
  }
  this->open_count = static_cast<int64_t>(this->senders.size());
}

void UdpProxy::Run() {
  std::vector<pollfd> fds;
  while (!this->stopping) {
    this->CarryOutRequests();
    if (this->GetFaults().freeze) {
      std::this_thread::sleep_for(kFrozenPoll);
      continue;
    }
    ProxyClock::time_point wake = ProxyClock::time_point::max();
    fds.clear();
    fds.push_back({this->socket_fd.Get(), POLLIN, 0});
    for (const Sender& sender : this->senders) {
      fds.push_back({sender.upstream.Get(), POLLIN, 0});
      sender.requests.LowerWake(wake);
      sender.answers.LowerWake(wake);
    }
    const timespec timeout = PollTime(wake);
    ppoll(fds.data(), fds.size(), &timeout, nullptr);
    this->ReceiveRequests();
    for (Sender& sender : this->senders) {
      this->ReceiveAnswers(sender);
      this->SendDue(sender);
    }
  }
}

}  // namespace boragewharf::standin
