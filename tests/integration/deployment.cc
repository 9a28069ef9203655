/**
 * @file deployment.cc
 * Start and stop of processes and stand-ins.
 */
#include "deployment.h"

#include <arpa/inet.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "base/digest_func.h"
#include "base/scope_guard.h"

namespace boragewharf::integration {

namespace {

using nlohmann::json;

constexpr size_t kDaemons = 3;
constexpr char kSecret[] = "caller-secret-0123456789";
constexpr char kOperatorKey[] = "operator-secret-0123456789";
constexpr char kPeerSecret[] =
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

json SaltedHash(const std::string& secret) {
  const std::string salt = "0123456789abcdef";
  return {{"salt", HexEncode(salt)},
          {"hash", HexEncode(AsView(Sha256(salt + secret)))}};
}

/** A port on which nothing listens at the moment. */
uint16_t FreePort() {
  const UniqueFd probe(socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(probe.Get(), generic, size) != 0 ||
      getsockname(probe.Get(), generic, &size) != 0) {
    return 0;
  }
  return ntohs(address.sin_port);
}

std::string Loopback(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

json FirstTicket() {
  return {{"ticket", 1},
          {"base", 0},
          {"set",
           {{{"kind", "customer"},
             {"name", "demo"},
             {"tokens", json::array({SaltedHash(kSecret)})}},
            {{"kind", "service"}, {"name", "llm"}, {"type", "model"}},
            {{"kind", "service"}, {"name", "desk"}, {"type", "plain"}},
            {{"kind", "model"},
             {"name", "small"},
             {"service", "llm"},
             {"version", "1"},
             {"replicas", 2}}}}};
}

}  // namespace

bool WaitFor(std::chrono::seconds timeout,
             const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

Deployment::Deployment()
    : platform(0, 0),
      plain(std::chrono::milliseconds(0)),
      directory(std::filesystem::temp_directory_path() /
                ("boragewharf-" + std::to_string(RandomU64()))) {
  std::filesystem::create_directory(this->directory);
  standins::EngineControl control;
  control.token_time = std::chrono::milliseconds(20);
  for (int i = 0; i < 2; ++i) {
    this->engines.push_back(std::make_unique<standins::EngineStandin>(control));
    this->ListBackend("engine-" + std::to_string(i), "llm",
                      this->engines.back()->Start(0));
  }
  this->ListBackend("plain-0", "desk", this->plain.Start(0));
  for (size_t i = 0; i < kDaemons; ++i) {
    this->daemons.push_back(
        {"entry-" + std::to_string(i), FreePort(), FreePort(), {}, -1});
  }
  for (size_t i = 0; i < kDaemons; ++i) {
    this->PrepareDaemon(i);
  }
}

Deployment::~Deployment() {
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].pid > 0) {
      this->Signal(i, SIGKILL);
      this->WaitForExit(i);
    }
  }
  std::filesystem::remove_all(this->directory);
}

void Deployment::ListInstance(const std::string& name, const json& spec) {
  const json object = {{"apiVersion", "boragewharf.dev/v1"},
                       {"kind", "instances"},
                       {"metadata", {{"name", name}}},
                       {"spec", spec}};
  this->platform.State().Create("instances", object.dump());
}

void Deployment::ListBackend(const std::string& name,
                             const std::string& service,
                             uint16_t port) {
  this->ListInstance(name, {{"role", "backend"},
                            {"service", service},
                            {"address", Loopback(port)},
                            {"zone", "zone-0"},
                            {"region", "region-0"},
                            {"machineClass", "small"},
                            {"pricePerHour", 0.1},
                            {"reclaimable", true},
                            {"leaving", false},
                            {"checksFencing", true}});
}

void Deployment::PrepareDaemon(size_t index) {
  DaemonProcess& daemon = this->daemons[index];
  const std::string zone = "zone-" + std::to_string(index);
  json peers = json::array();
  for (const DaemonProcess& other : this->daemons) {
    if (other.instance != daemon.instance) {
      peers.push_back(Loopback(other.peer_port));
    }
  }
  const std::string api = Loopback(this->platform.ApiPort());
  const json settings = {
      {"instance", daemon.instance},
      {"zone", zone},
      {"region", "region-0"},
      {"callerAddress", Loopback(daemon.caller_port)},
      {"peerAddress", Loopback(daemon.peer_port)},
      {"platform", {{"objectApi", api}, {"cloudApi", api}}},
      {"peers", peers},
      {"peerKeys", json::array({{{"id", 1}, {"secret", kPeerSecret}}})},
      {"operatorKey", SaltedHash(kOperatorKey)},
      {"log", {{"file", this->directory + "/" + daemon.instance + ".log"}}}};
  daemon.settings_path = this->directory + "/" + daemon.instance + ".json";
  std::ofstream(daemon.settings_path) << settings.dump();
  this->ListInstance(daemon.instance,
                     {{"role", "entry"},
                      {"service", ""},
                      {"address", Loopback(daemon.caller_port)},
                      {"zone", zone},
                      {"region", "region-0"},
                      {"machineClass", "small"},
                      {"pricePerHour", 0.1},
                      {"reclaimable", true},
                      {"leaving", false},
                      {"checksFencing", false},
                      {"callerAddress", Loopback(daemon.caller_port)},
                      {"peerAddress", Loopback(daemon.peer_port)}});
}

bool Deployment::Start() {
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    this->StartDaemon(i);
  }
  // The first tries can meet daemons that have not joined yet.
  const bool filed = WaitFor(std::chrono::seconds(60), [this] {
    return this->FileTicket(0, FirstTicket()) == 200;
  });
  if (!filed) {
    return false;
  }
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    if (!this->WaitUntilReady(i, std::chrono::seconds(30))) {
      return false;
    }
  }
  return true;
}

void Deployment::StartDaemon(size_t index) {
  DaemonProcess& daemon = this->daemons[index];
  std::string program = BORAGEWHARF_BINARY;
  std::string option = "--config";
  std::string path = daemon.settings_path;
  char* arguments[] = {program.data(), option.data(), path.data(), nullptr};
  posix_spawn(&daemon.pid, program.c_str(), nullptr, nullptr, arguments,
              environ);
}

void Deployment::Signal(size_t index, int number) const {
  kill(this->daemons[index].pid, number);
}

int Deployment::WaitForExit(size_t index) {
  int status = 0;
  waitpid(this->daemons[index].pid, &status, 0);
  this->daemons[index].pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Deployment::WaitUntilReady(size_t index,
                                std::chrono::seconds timeout) const {
  return WaitFor(timeout, [this, index] {
    const auto answer = this->Caller(index)->Get("/readyz");
    return answer && answer->status == 200;
  });
}

std::unique_ptr<httplib::Client> Deployment::Caller(size_t index) const {
  auto client = std::make_unique<httplib::Client>(
      "127.0.0.1", this->daemons[index].caller_port);
  client->set_bearer_token_auth("demo." + std::string(kSecret));
  client->set_read_timeout(std::chrono::seconds(30));
  return client;
}

int Deployment::FileTicket(size_t index, const json& ticket) const {
  httplib::Client client("127.0.0.1", this->daemons[index].caller_port);
  client.set_bearer_token_auth(kOperatorKey);
  client.set_read_timeout(std::chrono::seconds(30));
  const auto answer =
      client.Post("/admin/tickets", ticket.dump(), "application/json");
  return answer ? answer->status : 0;
}

httplib::Result Deployment::Book(size_t index, const std::string& key) const {
  return this->Caller(index)->Post("/services/desk/bookings",
                                   httplib::Headers{{"Idempotency-Key", key}},
                                   R"({"seats":2})", "application/json");
}

}  // namespace boragewharf::integration
