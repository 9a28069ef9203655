/**
 * @file node_process.cc
 * Node processes of a soak run.
 */
#include "node_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

extern char** environ;  // NOLINT(readability-identifier-naming)

namespace boragewharf::soak {
namespace {

/** For each event name; enough for each request of the clients to be logged. */
constexpr int kLogLinesPerSecond = 2000;

}  // namespace

NodeProcess::NodeProcess(std::string program_path,
                         std::string work_path,
                         std::string address,
                         const RunAddresses& shared)
    : program(std::move(program_path)),
      directory(std::move(work_path)),
      ip(std::move(address)),
      addresses(shared) {}

NodeProcess::~NodeProcess() {
  if (this->IsRunning()) {
    kill(this->pid, SIGCONT);
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

void NodeProcess::Start(bool first_start) {
  if (this->IsRunning()) {
    return;
  }
  const auto address_with_port = [&](uint16_t port) {
    return ToString(Endpoint{this->ip, port});
  };
  const nlohmann::json settings = {
      {"node", "node-" + this->ip},
      {"ip", this->ip},
      {"zone", "a"},
      {"region", "r1"},
      {"zoneRegions", {{"a", "r1"}}},
      {"listen",
       {{"clients", address_with_port(this->addresses.client_port)},
        {"ready", address_with_port(this->addresses.ready_port)},
        {"control", address_with_port(this->addresses.control_port)},
        {"directory", address_with_port(this->addresses.directory_port)}}},
      {"metrics", address_with_port(this->addresses.metrics_port)},
      {"peerPort", this->addresses.peer_port},
      {"seeds",
       {ToString(Endpoint{this->addresses.first_node_ip,
                          this->addresses.control_port})}},
      {"firstStart", first_start},
      {"store", ToString(this->addresses.store)},
      {"cloud", ToString(this->addresses.cloud)},
      {"duties", {"usage"}},
      {"logLinesPerSecond", kLogLinesPerSecond},
      {"bounds", {{"graceS", 4}, {"usageWindowS", 2}, {"leaseMs", 1500}}}};
  const std::string file_prefix = this->directory + "/" + this->ip;
  std::ofstream(file_prefix + ".json") << settings.dump();
  const std::string config = file_prefix + ".json";
  std::array<char*, 4> arguments = {const_cast<char*>(this->program.c_str()),
                                    const_cast<char*>("--config"),
                                    const_cast<char*>(config.c_str()), nullptr};
  std::error_code no_log;
  const auto log_size = std::filesystem::file_size(this->LogPath(), no_log);
  this->log_start = no_log ? 0 : static_cast<std::streamoff>(log_size);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   this->LogPath().c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int result = posix_spawn(&this->pid, this->program.c_str(), &actions,
                                 nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    throw std::runtime_error("cannot start " + this->program);
  }
}

void NodeProcess::Signal(int number) {
  if (this->IsRunning()) {
    kill(this->pid, number);
  }
}

std::vector<std::string> NodeProcess::LogLinesWith(
    const std::string& text) const {
  std::vector<std::string> lines;
  std::ifstream log(this->LogPath());
  for (std::string line; std::getline(log, line);) {
    if (line.find(text) != std::string::npos) {
      lines.push_back(line);
    }
  }
  return lines;
}

bool NodeProcess::HasLoggedStart() const {
  std::ifstream log(this->LogPath());
  log.seekg(this->log_start);
  for (std::string line; std::getline(log, line);) {
    if (line.find("\"event\":\"start\"") != std::string::npos) {
      return true;
    }
  }
  return false;
}

bool NodeProcess::IsRunning() {
  if (this->pid == 0) {
    return false;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0) {
    return true;
  }
  const bool is_killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  const bool is_stopped_early = WIFSIGNALED(status) &&
                                WTERMSIG(status) == SIGTERM &&
                                !this->HasLoggedStart();
  this->exited_abnormally = this->exited_abnormally ||
                            (status != 0 && !is_killed && !is_stopped_early);
  this->pid = 0;
  return false;
}

}  // namespace boragewharf::soak
