/**
 * @file link_faults.cc
 * Fault injection on the network links of a soak run.
 */
#include "link_faults.h"

namespace boragewharf::soak {
namespace {

/** Maximum added delay of each direction, in milliseconds. */
constexpr uint64_t kMaxDelayMs = 200;

/** Probability that a chunk resets its connection on a lossy link. */
constexpr double kResetProbability = 0.05;

/** Bandwidth of a congested link. */
constexpr int64_t kCongestedBytesPerSecond = 20000;

}  // namespace

Endpoint LinkFaults::Add(const std::string& name, const Endpoint& target) {
  auto proxy = std::make_unique<standin::TcpProxy>(
      0, target, this->seed * 31 + this->links.size());
  Endpoint address{"127.0.0.1", proxy->Port()};
  this->links.push_back({name, std::move(proxy)});
  return address;
}

std::string LinkFaults::InjectFault(std::mt19937_64& generator) {
  Link& link = this->links[generator() % this->links.size()];
  standin::ProxyFaults faults = link.proxy->GetFaults();
  std::string description;
  switch (generator() % 7) {
    case 0:
      faults.delay_ms = static_cast<int64_t>(1 + generator() % kMaxDelayMs);
      description = "delays data";
      break;
    case 1:
      faults.drop = kResetProbability;
      description = "resets some connections";
      break;
    case 2:
      faults.freeze = true;
      description = "blocks all data";
      break;
    case 3:
      faults.swallow_answers = true;
      description = "drops responses";
      break;
    case 4:
      faults.bytes_per_second = kCongestedBytesPerSecond;
      description = "is congested";
      break;
    case 5:
      link.proxy->Cut();
      description = "resets all connections";
      break;
    default:
      link.proxy->Silence();
      description = "silences open connections";
      break;
  }
  link.proxy->SetFaults(faults);
  return link.name + " " + description;
}

void LinkFaults::ClearFaults() {
  for (const Link& link : this->links) {
    link.proxy->SetFaults({});
  }
}

}  // namespace boragewharf::soak
