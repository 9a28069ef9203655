/**
 * @file node_supervisor.cc
 * Supervision of the nodes of a soak run.
 */
#include "node_supervisor.h"

#include <algorithm>
#include <cstdio>

namespace boragewharf::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/** Grace period in the settings of NodeProcess. */
constexpr milliseconds kGracePeriod(4000);

/** A delay of the probe for which an overdue process is excused: most of the
 * 300 ms between the planned exit of a node and the end of its grace period. */
constexpr milliseconds kStallDelay(200);

constexpr milliseconds kProbePeriod(10);

/** One of this many restarts is followed by SIGTERM. */
constexpr uint64_t kRestartsPerStop = 5;

/** Maximum time from such a restart to its SIGTERM. */
constexpr uint64_t kMaxStopDelayMs = 1000;

}  // namespace

StallProbe::StallProbe() : thread([this] { this->Measure(); }) {}

StallProbe::~StallProbe() {
  this->stopping = true;
  this->thread.join();
}

void StallProbe::Measure() {
  while (!this->stopping) {
    const auto due = steady_clock::now() + kProbePeriod;
    std::this_thread::sleep_until(due);
    const auto now = steady_clock::now();
    if (now - due >= kStallDelay) {
      this->last_stall = now;
    }
  }
}

NodeSupervisor::NodeSupervisor(
    std::vector<std::unique_ptr<NodeProcess>> processes,
    uint64_t seed) {
  for (auto& process : processes) {
    Node node;
    node.process = std::move(process);
    node.generator.seed(seed * processes.size() + this->nodes.size());
    this->nodes.push_back(std::move(node));
  }
}

void NodeSupervisor::Start() {
  for (const Node& node : this->nodes) {
    node.process->Start(true);
  }
}

void NodeSupervisor::Terminate(size_t number) {
  Node& node = this->nodes[number];
  if (!node.process->IsRunning()) {
    return;
  }
  node.process->Signal(SIGTERM);
  this->counts.sigterms += 1;
  node.stopped_at = node.stopped_at.value_or(steady_clock::now());
}

void NodeSupervisor::Poll() {
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    Node& node = this->nodes[i];
    if (!node.process->IsRunning()) {
      this->Restart(node);
      continue;
    }
    const auto now = steady_clock::now();
    if (node.stopped_at && now - *node.stopped_at > kGracePeriod) {
      this->KillOverdue(node);
      continue;
    }
    if (node.next_stop && now >= *node.next_stop) {
      node.next_stop.reset();
      this->Terminate(i);
    }
  }
}

void NodeSupervisor::Restart(Node& node) {
  node.process->Start(false);
  this->counts.restarts += 1;
  node.stopped_at.reset();
  node.next_stop.reset();
  const bool stops_soon = node.generator() % kRestartsPerStop == 0;
  const milliseconds delay(node.generator() % kMaxStopDelayMs);
  if (stops_soon && this->stops_restarts) {
    node.next_stop = steady_clock::now() + delay;
  }
}

void NodeSupervisor::KillOverdue(Node& node) {
  const bool stalled = this->stall_probe.StalledSince(*node.stopped_at);
  const auto after =
      duration_cast<milliseconds>(steady_clock::now() - *node.stopped_at);
  std::string description = node.process->Ip();
  description.append(": still runs ")
      .append(std::to_string(after.count()))
      .append(" ms after SIGTERM, killed");
  std::printf("  %s%s\n", description.c_str(),
              stalled ? "; the machine stalled meanwhile" : "");
  node.process->Signal(SIGKILL);
  node.stopped_at.reset();
  this->counts.kills += 1;
  if (stalled) {
    this->counts.kills_in_stalls += 1;
  } else {
    this->violations.push_back(std::move(description));
  }
}

bool NodeSupervisor::AllServe() const {
  return std::all_of(
      this->nodes.begin(), this->nodes.end(), [](const Node& node) {
        return node.process->IsRunning() && !node.stopped_at && !node.next_stop;
      });
}

std::vector<std::string> NodeSupervisor::Violations() const {
  std::vector<std::string> all = this->violations;
  for (const Node& node : this->nodes) {
    if (node.process->ExitedAbnormally()) {
      all.push_back(node.process->Ip() + " exited abnormally");
    }
  }
  return all;
}

std::vector<std::string> NodeSupervisor::LogLinesWith(
    const std::string& text) const {
  std::vector<std::string> lines;
  for (const Node& node : this->nodes) {
    for (std::string& line : node.process->LogLinesWith(text)) {
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

}  // namespace boragewharf::soak
