/**
 * @file trial_base.cc
 * A small deployment for one case.
 */
#include "trial_base.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <set>
#include <utility>

#include "httpio/http_channel_base.h"

namespace boragewharf::review {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr milliseconds kStartLimit(15000);
constexpr milliseconds kReadyCheckPeriod(200);

}  // namespace

Trial::Trial(const std::string& record_path)
    : store(loop),
      cloud(loop),
      directory((std::filesystem::temp_directory_path() /
                 ("boragewharf-review-" + std::to_string(getpid())))
                    .string()),
      record(record_path),
      begun(Clock::now()),
      generator(std::random_device{}()) {
  std::filesystem::create_directories(this->directory);
  // A port that was probed before may be found free again.
  std::set<uint16_t> used;
  for (uint16_t* port :
       {&this->ports.clients, &this->ports.ready, &this->ports.control,
        &this->ports.directory, &this->ports.metrics, &this->ports.peers}) {
    do {
      *port = standins::FreePort();
    } while (!used.insert(*port).second);
  }
  this->ports.store = this->store.Address();
  this->ports.cloud = this->cloud.Address();
}

Trial::~Trial() {
  this->nodes.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->directory);
  }
}

void Trial::AddNode(const std::string& zone) {
  const std::string number = std::to_string(this->nodes.size() + 1);
  const std::string ip = "127.0.31." + number;
  if (this->nodes.empty()) {
    this->ports.seed_ip = ip;
  }
  this->nodes.push_back(std::make_unique<TrialNode>(
      "front-" + number, ip, zone, this->directory, this->ports));
}

bool Trial::IsReady(size_t node) {
  httpio::HttpChannel channel(
      this->loop, Endpoint{this->nodes[node]->Ip(), this->ports.ready});
  httpio::HttpCall call;
  call.method = "GET";
  call.target = "/v1/ready";
  call.timeout = kReadyCheckPeriod;
  bool ready = false;
  channel.Call(std::move(call), [&ready](const httpio::HttpResult& result) {
    ready = result.head && result.head->status == 200;
  });
  this->RunFor(kReadyCheckPeriod);
  return ready;
}

bool Trial::StartNodes() {
  for (const auto& node : this->nodes) {
    node->Start(true);
  }
  const auto end = Clock::now() + kStartLimit;
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    while (!this->IsReady(i)) {
      if (Clock::now() > end) {
        this->Note("node " + std::to_string(i + 1) + " is not ready");
        return false;
      }
    }
  }
  return true;
}

Replica& Trial::AddReplica(const ReplicaEntry& entry) {
  // An address of its own, so that no other socket takes the port while the
  // replica is down.
  const Endpoint address{
      "127.0.32." + std::to_string(this->replicas.size() + 1),
      this->ports.clients};
  this->replicas.push_back(
      std::make_unique<Replica>(this->loop, this->store, entry, address));
  return *this->replicas.back();
}

void Trial::WriteConfig(const standins::Json& config) {
  this->store.Put("config", "main", config);
  this->Note("operator: configuration " + config["version"].dump());
}

void Trial::RunFor(milliseconds time) {
  this->loop.restart();
  this->loop.run_for(time);
}

void Trial::CallAfter(milliseconds delay, std::function<void()> function) {
  const auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
  timer->async_wait([timer, function = std::move(function)](
                        const boost::system::error_code& error) {
    if (!error) {
      function();
    }
  });
}

void Trial::Note(const std::string& text) {
  const auto at =
      std::chrono::duration_cast<milliseconds>(Clock::now() - this->begun);
  this->record << at.count() << " ms: " << text << std::endl;
}

tcp::endpoint Trial::ClientAddress(size_t node) const {
  return {asio::ip::make_address(this->nodes[node]->Ip()), this->ports.clients};
}

standins::Json WharfConfig(uint64_t version) {
  const auto route = [](const char* name, const char* prefix, const char* kind,
                        const char* service, int timeout_ms, int goal_ms) {
    return standins::Json{{"name", name},
                          {"host", kHost},
                          {"path_prefix", prefix},
                          {"kind", kind},
                          {"timeout_ms", timeout_ms},
                          {"goal_ms", goal_ms},
                          {"priority", 1},
                          {"service", service},
                          {"max_attempts", 2},
                          {"anonymous", false}};
  };
  standins::Json stream =
      route("member-answer", kStreamPrefix, "stream", "wharf-llm", 12000, 300);
  stream["gap_goal_ms"] = 250;
  stream["resumable"] = true;
  stream["sticky"] = true;
  return {{"version", version},
          {"routes",
           {stream,
            route("pickup-book", "/book/", "unsafe", "drying-desk", 2500, 150),
            route("rack-status", "/rack/", "safe", "drying-desk", 2500, 150)}},
          {"services",
           {{{"name", "wharf-llm"},
             {"health_path", "/health"},
             {"max_conns", 290},
             {"engine", {{"slots", 48}, {"kv_tokens", 950105}}}},
            {{"name", "drying-desk"},
             {"health_path", "/health"},
             {"max_conns", 96}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           {{{"name", "school"},
             {"api_keys", {kKey}},
             {"unit", "tokens"},
             {"plain_tokens", 100},
             {"rate_per_s", 0},
             {"burst", 0}}}}};
}

void AddModelService(standins::Json& config,
                     const std::string& service,
                     const std::string& path_prefix) {
  standins::Json route = config["routes"][0];
  route["name"] = "stream-" + service;
  route["path_prefix"] = path_prefix;
  route["service"] = service;
  config["routes"].push_back(route);
  standins::Json model = config["services"][0];
  model["name"] = service;
  config["services"].push_back(model);
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace boragewharf::review
