/**
 * @file lab_process.cc
 * boragewharf-node processes that a script starts, signals and ends.
 */
#include "lab_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>

#include "lab_client.h"

namespace boragewharf::review {

using std::chrono::milliseconds;

LabNode::LabNode(const NodePlan& node_plan,
                 std::string node_ip,
                 std::string node_zone,
                 Endpoint store_address,
                 Record& run_record)
    : plan(node_plan),
      ip(std::move(node_ip)),
      zone(std::move(node_zone)),
      store(std::move(store_address)),
      record(run_record) {}

LabNode::~LabNode() {
  if (this->IsRunning()) {
    kill(this->pid, SIGCONT);
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

void LabNode::Start(bool first_start) {
  const auto at = [&](uint16_t port) {
    return ToString(Endpoint{this->ip, port});
  };
  Json seeds = Json::array();
  for (const std::string& seed : this->plan.seeds) {
    seeds.push_back(ToString(Endpoint{seed, this->plan.ports.control}));
  }
  // As deploy/settings.json.tmpl makes them from the platform's fields.
  const Json settings = {{"node", "front-" + this->ip},
                         {"ip", this->ip},
                         {"zone", this->zone},
                         {"region", this->plan.zones.at(this->zone)},
                         {"zoneRegions", this->plan.zones},
                         {"listen",
                          {{"clients", at(this->plan.ports.front)},
                           {"ready", at(this->plan.ports.ready)},
                           {"control", at(this->plan.ports.control)},
                           {"directory", at(this->plan.ports.directory)},
                           {"format", 1}}},
                         {"metrics", at(this->plan.ports.metrics)},
                         {"peerPort", this->plan.ports.peer},
                         {"firstStart", first_start},
                         {"cloud", ToString(this->plan.cloud)},
                         {"duties", {"usage", "scale"}},
                         {"seeds", seeds},
                         {"bounds",
                          {{"leaseMs", 3000},
                           {"drainMs", 2500},
                           {"graceS", 8},
                           {"retryRatio", 0.2},
                           {"retryExtra", 52},
                           {"retryWindowS", 10},
                           {"quotaSlack", 140000},
                           {"usageWindowS", 5},
                           {"usageLateS", 10},
                           {"directoryTtlS", 5},
                           {"format", 1}}},
                         {"store", ToString(this->store)}};
  const std::string prefix = this->plan.directory + "/" + this->ip;
  const std::string config = prefix + ".json";
  const std::string log = prefix + ".log";
  std::ofstream(config) << settings.dump(1);
  const std::string variable = "BORAGEWHARF_CONFIG=" + config;
  std::array<char*, 2> arguments = {
      const_cast<char*>(this->plan.program.c_str()), nullptr};
  std::array<char*, 2> environment = {const_cast<char*>(variable.c_str()),
                                      nullptr};
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t child = fork();
  if (child < 0 || output < 0) {
    throw std::runtime_error("cannot start " + this->plan.program);
  }
  if (child == 0) {
    // The node ends with the script, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    // Sockets of the stand-ins must not stay open in the node.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execve(this->plan.program.c_str(), arguments.data(), environment.data());
    _exit(127);
  }
  close(output);
  this->pid = child;
  this->record.Write("node " + this->ip + " is started");
}

void LabNode::Signal(int number) {
  if (this->IsRunning()) {
    this->record.Write("node " + this->ip + " gets signal " +
                       std::to_string(number));
    kill(this->pid, number);
  }
}

bool LabNode::IsRunning() {
  if (this->pid == 0) {
    return false;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0) {
    return true;
  }
  this->record.Write("node " + this->ip + " has ended: " +
                     (WIFSIGNALED(status)
                          ? "signal " + std::to_string(WTERMSIG(status))
                          : "exit " + std::to_string(WEXITSTATUS(status))));
  this->pid = 0;
  return false;
}

bool LabNode::WaitForEnd(milliseconds timeout) {
  const auto end = Clock::now() + timeout;
  while (this->IsRunning()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

bool LabNode::WaitUntilReady(milliseconds timeout) {
  const auto end = Clock::now() + timeout;
  while (Clock::now() < end) {
    LabChannel channel({this->ip, this->plan.ports.ready});
    channel.Send("GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    if (channel.Read(milliseconds(500)).status == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

NodePorts FindNodePorts(const std::vector<std::string>& ips) {
  const auto find = [&] {
    constexpr int kTries = 100;
    for (int i = 0; i < kTries; ++i) {
      const uint16_t port = FreeLabPort();
      boost::asio::io_context loop;
      bool free = true;
      for (const std::string& ip : ips) {
        boost::asio::ip::tcp::acceptor probe(loop);
        boost::system::error_code error;
        probe.open(boost::asio::ip::tcp::v4(), error);
        probe.bind({boost::asio::ip::make_address(ip), port}, error);
        free = free && !error;
      }
      if (free) {
        return port;
      }
    }
    throw std::runtime_error("no free port");
  };
  return {find(), find(), find(), find(), find(), find()};
}

}  // namespace boragewharf::review
