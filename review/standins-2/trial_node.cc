/**
 * @file trial_node.cc
 * A boragewharf-node process of a trial.
 */
#include "trial_node.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

extern char** environ;  // NOLINT(readability-identifier-naming)

namespace boragewharf::review {
namespace {

/** The program of the deploy file, from the repository's root. */
constexpr char kProgram[] = "target/bin/boragewharf-node";

/** Keeps the sockets of the stand-ins out of the node processes, where they
 * would stay open after a stand-in has closed them. */
void CloseDescriptorsOnSpawn() {
  constexpr int kFirst = 3;
  const auto limit = static_cast<int>(sysconf(_SC_OPEN_MAX));
  for (int descriptor = kFirst; descriptor < limit; ++descriptor) {
    fcntl(descriptor, F_SETFD, FD_CLOEXEC);
  }
}

}  // namespace

TrialNode::TrialNode(std::string node_name,
                     std::string node_ip,
                     std::string node_zone,
                     std::string work_directory,
                     const NodePorts& node_ports)
    : name(std::move(node_name)),
      ip(std::move(node_ip)),
      zone(std::move(node_zone)),
      directory(std::move(work_directory)),
      ports(node_ports) {}

TrialNode::~TrialNode() {
  if (this->IsRunning()) {
    kill(this->pid, SIGCONT);
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

void TrialNode::Start(bool first_start) {
  if (this->IsRunning()) {
    return;
  }
  const auto at = [&](uint16_t port) {
    return ToString(Endpoint{this->ip, port});
  };
  const nlohmann::json zones = {{"brest-quay", "finistere"},
                                {"crozon-point", "finistere"},
                                {"malo-rampart", "ille-vilaine"}};
  // As deploy/settings.json.tmpl has it, with the bounds of ascb-wharf.
  nlohmann::json settings = {
      {"node", this->name},
      {"ip", this->ip},
      {"zone", this->zone},
      {"region", zones[this->zone]},
      {"zoneRegions", zones},
      {"listen",
       {{"clients", at(this->ports.clients)},
        {"ready", at(this->ports.ready)},
        {"control", at(this->ports.control)},
        {"directory", at(this->ports.directory)},
        {"format", 1}}},
      {"metrics", at(this->ports.metrics)},
      {"peerPort", this->ports.peers},
      {"cloud", ToString(this->ports.cloud)},
      {"duties", {"usage", "scale"}},
      {"seeds", {ToString(Endpoint{this->ports.seed_ip, this->ports.control})}},
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
      {"store", ToString(this->ports.store)}};
  if (first_start) {
    settings["firstStart"] = true;
  }
  const std::string file = this->directory + "/" + this->name + ".json";
  std::ofstream(file) << settings.dump(1);
  const std::string log = this->directory + "/" + this->name + ".log";
  std::vector<std::string> variables;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    variables.emplace_back(*entry);
  }
  variables.push_back("BORAGEWHARF_CONFIG=" + file);
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (std::string& variable : variables) {
    environment.push_back(variable.data());
  }
  environment.push_back(nullptr);
  std::array<char*, 2> arguments = {const_cast<char*>(kProgram), nullptr};
  CloseDescriptorsOnSpawn();
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int result = posix_spawn(&this->pid, kProgram, &actions, nullptr,
                                 arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    this->pid = 0;
    throw std::runtime_error(std::string("cannot start ") + kProgram);
  }
}

void TrialNode::Signal(int number) {
  if (this->IsRunning()) {
    kill(this->pid, number);
  }
}

bool TrialNode::IsRunning() {
  if (this->pid == 0) {
    return false;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0) {
    return true;
  }
  this->pid = 0;
  return false;
}

}  // namespace boragewharf::review
