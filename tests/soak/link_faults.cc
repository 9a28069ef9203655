/**
 * @file link_faults.cc
 * Proxied links of a soak run.
 */
#include "link_faults.h"

namespace boragewharf::soak {
namespace {

/** Longest added delay of one direction, in milliseconds. */
constexpr uint64_t kMaxDelayMs = 200;

/** Share of chunks whose connection is reset while a link is lossy. */
constexpr double kResetShare = 0.05;

/** Bandwidth of a link that is congested. */
constexpr int64_t kSlowBytesPerSecond = 20000;

}  // namespace

Endpoint LinkFaults::Add(const std::string& name, const Endpoint& target) {
  auto proxy = std::make_unique<standin::TcpProxy>(
      0, target, this->seed * 31 + this->links.size());
  Endpoint address{"127.0.0.1", proxy->Port()};
  this->links.push_back({name, std::move(proxy)});
  return address;
}

std::string LinkFaults::Inject(std::mt19937_64& generator) {
  Link& link = this->links[generator() % this->links.size()];
  standin::ProxyFaults faults = link.proxy->GetFaults();
  std::string done;
  switch (generator() % 7) {
    case 0:
      faults.delay_ms = static_cast<int64_t>(1 + generator() % kMaxDelayMs);
      done = "delays";
      break;
    case 1:
      faults.drop = kResetShare;
      done = "resets some";
      break;
    case 2:
      faults.freeze = true;
      done = "carries nothing";
      break;
    case 3:
      faults.swallow_answers = true;
      done = "loses answers";
      break;
    case 4:
      faults.bytes_per_second = kSlowBytesPerSecond;
      done = "is slow";
      break;
    case 5:
      link.proxy->Cut();
      done = "resets all";
      break;
    default:
      link.proxy->Silence();
      done = "silences the open ones";
      break;
  }
  link.proxy->SetFaults(faults);
  return link.name + " " + done;
}

void LinkFaults::Heal() {
  for (const Link& link : this->links) {
    link.proxy->SetFaults({});
  }
}

}  // namespace boragewharf::soak
