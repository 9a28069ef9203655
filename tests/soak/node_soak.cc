/**
 * @file node_soak.cc
 * Randomized soak: runs node processes against stand-ins of the store, the
 * cloud API and the servers, injects faults, and checks what clients and
 * servers observe.
 */
#include <popt.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <optional>
#include <random>
#include <sstream>

#include "link_faults.h"
#include "node_process.h"
#include "platform_standin.h"
#include "soak_client.h"

namespace {

namespace asio = boost::asio;
using boragewharf::Endpoint;
using boragewharf::soak::LinkFaults;
using boragewharf::soak::NodeProcess;
using boragewharf::soak::RunAddresses;
using boragewharf::soak::RunRecord;
using boragewharf::soak::SoakClient;
using boragewharf::standins::CloudStandin;
using boragewharf::standins::ServerFault;
using boragewharf::standins::ServerStandin;
using boragewharf::standins::StoreMode;
using boragewharf::standins::StoreStandin;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kNodeCount = 3;
constexpr size_t kClientCount = 8;

/** Number of requests of each client that must be served after recovery. */
constexpr uint32_t kFinalRequestsPerClient = 8;

/** Time for the nodes to recover after all faults have been cleared. */
constexpr seconds kRecoveryTime(6);

/** A soak run whose faults and requests are chosen by a seed. */
class SoakRun {
 public:
  SoakRun(uint64_t run_seed,
          const std::string& node_program,
          seconds fault_seconds)
      : seed(run_seed),
        fault_phase_length(fault_seconds),
        generator(run_seed),
        directory(std::filesystem::temp_directory_path() /
                  ("boragewharf-soak-" + std::to_string(run_seed) + "-" +
                   std::to_string(getpid()))),
        store(loop),
        cloud(loop),
        links(run_seed),
        timer(loop) {
    std::filesystem::create_directories(this->directory);
    for (const char* id : {"llm-1", "llm-2", "desk-1", "desk-2"}) {
      this->servers.push_back(std::make_unique<ServerStandin>(
          this->loop, id,
          std::string(id).substr(0, 3) == "llm" ? "llm" : "desk"));
      this->servers.back()->SetStream(12, milliseconds(20));
      this->proxied_server_addresses[id] =
          ToString(this->links.Add(id, this->servers.back()->Address()));
    }
    this->addresses.cloud = this->links.Add("cloud", this->cloud.Address());
    for (uint16_t* port :
         {&this->addresses.client_port, &this->addresses.ready_port,
          &this->addresses.control_port, &this->addresses.directory_port,
          &this->addresses.metrics_port, &this->addresses.peer_port}) {
      *port = boragewharf::standins::FreePort();
    }
    for (size_t i = 0; i < kNodeCount; ++i) {
      const std::string ip = "127.0.10." + std::to_string(i + 1);
      this->addresses.store =
          this->links.Add(ip + " to store", this->store.Address());
      this->nodes.push_back(std::make_unique<NodeProcess>(
          node_program, this->directory.string(), ip, this->addresses));
      this->client_addresses.push_back(this->links.Add(
          "clients to " + ip, Endpoint{ip, this->addresses.client_port}));
    }
  }

  /** @return Descriptions of violated guarantees, empty if there were none. */
  std::vector<std::string> Run() {
    this->PublishServers();
    this->store.Put("config", "main",
                    boragewharf::standins::ExampleConfig(++this->version));
    for (const auto& node : this->nodes) {
      node->Start(true);
    }
    this->loop.run_for(seconds(3));
    auto clients = this->MakeClients("load", 0);
    this->ScheduleFault();
    this->loop.run_for(this->fault_phase_length);
    this->fault_phase_over = true;
    this->timer.cancel();
    this->ClearFaults();
    for (const auto& client : clients) {
      client->Stop();
    }
    this->loop.run_for(kRecoveryTime);
    auto final_clients = this->MakeClients("final", kFinalRequestsPerClient);
    this->loop.run_for(seconds(8));
    this->CheckFinalRequestsServed(final_clients);
    this->CheckRunCounts();
    for (const auto& node : this->nodes) {
      if (node->ExitedAbnormally()) {
        this->record.violations.push_back(node->Ip() + " exited abnormally");
      }
    }
    std::ostringstream status_summary;
    for (const auto& [status, count] : this->record.statuses) {
      status_summary << " " << status << ":" << count;
    }
    std::printf("seed %lu: %zu fault(s) injected, answers%s, logs in %s\n",
                this->seed, this->injected_count, status_summary.str().c_str(),
                this->directory.c_str());
    if (this->record.violations.empty()) {
      std::filesystem::remove_all(this->directory);
    } else {
      for (const std::string& link : this->injected_link_faults) {
        std::printf("  link: %s\n", link.c_str());
      }
    }
    return this->record.violations;
  }

 private:
  std::vector<std::unique_ptr<SoakClient>> MakeClients(const std::string& kind,
                                                       uint32_t count) {
    std::vector<std::unique_ptr<SoakClient>> clients;
    for (size_t i = 0; i < kClientCount; ++i) {
      clients.push_back(std::make_unique<SoakClient>(
          this->loop, kind + "-" + std::to_string(i), this->generator(),
          [this] {
            const Endpoint& entry =
                this->client_addresses[this->generator() %
                                       this->client_addresses.size()];
            return asio::ip::tcp::endpoint(asio::ip::make_address(entry.host),
                                           entry.port);
          },
          this->record));
      clients.back()->Start(count);
    }
    return clients;
  }

  void PublishServer(const ServerStandin& server, const char* state) {
    auto entry = server.StoreSpec("a", state);
    entry["address"] = this->proxied_server_addresses.at(server.Id());
    this->store.Put("servers", server.Id(), entry);
  }

  void PublishServers() {
    for (const auto& server : this->servers) {
      this->PublishServer(*server, "ready");
    }
  }

  void ScheduleFault() {
    this->timer.expires_after(milliseconds(200 + this->generator() % 700));
    this->timer.async_wait([this](const boost::system::error_code& error) {
      // Cancelling the timer does not stop a handler that is already queued.
      if (!error && !this->fault_phase_over) {
        this->InjectFault();
        this->ScheduleFault();
      }
    });
  }

  void InjectFault() {
    ++this->injected_count;
    NodeProcess& node = *this->nodes[this->generator() % this->nodes.size()];
    ServerStandin& server =
        *this->servers[this->generator() % this->servers.size()];
    switch (this->generator() % 14) {
      case 0:
        node.Signal(SIGKILL);
        break;
      case 1:
        node.Signal(SIGTERM);
        break;
      case 2:
        node.Signal(SIGSTOP);
        break;
      case 3:
        node.Signal(SIGHUP);
        break;
      case 4:
        this->store.SetMode(static_cast<StoreMode>(this->generator() % 5));
        break;
      case 5:
        this->store.CompactHistory();
        break;
      case 6:
        this->store.Put("config", "main",
                        boragewharf::standins::ExampleConfig(++this->version));
        break;
      case 7:
        this->PublishServer(server, "draining");
        break;
      case 8:
        server.SetFault(static_cast<ServerFault>(this->generator() % 8));
        break;
      case 9:
      case 10:
      case 11:
        this->injected_link_faults.push_back(
            this->links.InjectFault(this->generator));
        break;
      default:
        this->links.ClearFaults();
        this->PublishServers();
        server.SetFault(ServerFault::kNone);
        for (const auto& stopped : this->nodes) {
          stopped->Signal(SIGCONT);
          stopped->Start(false);
        }
        break;
    }
  }

  void ClearFaults() {
    this->store.SetMode(StoreMode::kServe);
    this->links.ClearFaults();
    this->PublishServers();
    for (const auto& server : this->servers) {
      server->SetFault(ServerFault::kNone);
    }
    for (int i = 0; i < 50; ++i) {
      for (const auto& node : this->nodes) {
        node->Signal(SIGCONT);
        node->Start(false);
      }
      this->loop.run_for(milliseconds(100));
    }
  }

  void CheckFinalRequestsServed(
      const std::vector<std::unique_ptr<SoakClient>>& clients) {
    uint32_t served = 0;
    for (const auto& client : clients) {
      served += client->Served();
    }
    if (served < kClientCount * kFinalRequestsPerClient) {
      this->record.violations.push_back(
          "after recovery " + std::to_string(served) + " of " +
          std::to_string(kClientCount * kFinalRequestsPerClient) +
          " requests were served");
    }
  }

  uint32_t RunCount(const std::string& id) const {
    uint32_t runs = 0;
    for (const auto& server : this->servers) {
      const auto found = server->RunsByAttempt().find(id);
      runs += found == server->RunsByAttempt().end() ? 0 : found->second;
    }
    return runs;
  }

  void CheckRunCounts() {
    for (const auto& [id, path] : this->record.non_idempotent) {
      if (this->RunCount(id) > 1) {
        this->record.violations.push_back(
            id + ": a non-idempotent request ran more than once");
      }
    }
    for (const auto& [id, status] : this->record.reported_not_run) {
      if (this->RunCount(id) > 0) {
        std::string fault = id;
        fault.append(": response ")
            .append(status)
            .append(" says not run, but the request has run");
        this->record.violations.push_back(std::move(fault));
      }
    }
    if (this->cloud.UsageConflicts() > 0 ||
        this->cloud.FencingViolations() > 0) {
      this->record.violations.push_back(
          "usage reports: " + std::to_string(this->cloud.UsageConflicts()) +
          " conflict(s), " + std::to_string(this->cloud.FencingViolations()) +
          " fencing violation(s)");
    }
  }

  uint64_t seed;
  seconds fault_phase_length;
  std::mt19937_64 generator;
  std::filesystem::path directory;
  asio::io_context loop;
  StoreStandin store;
  CloudStandin cloud;
  LinkFaults links;
  std::map<std::string, std::string>
      proxied_server_addresses;  ///< Proxy addresses by server id.
  std::vector<Endpoint>
      client_addresses;  ///< Proxy addresses for clients, by node.
  std::vector<std::string> injected_link_faults;
  std::vector<std::unique_ptr<ServerStandin>> servers;
  RunAddresses addresses;
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  asio::steady_timer timer;
  RunRecord record;
  uint64_t version = 0;
  size_t injected_count = 0;
  bool fault_phase_over = false;
};

}  // namespace

int main(int argc, const char** argv) {
  char* program = nullptr;
  char* seeds = nullptr;
  int fault_phase_length = 10;
  const poptOption table[] = {
      {"node", 0, POPT_ARG_STRING, &program, 0, "path of boragewharf-node",
       "FILE"},
      {"seeds", 0, POPT_ARG_STRING, &seeds, 0,
       "comma-separated seeds, one for each run", "N,..."},
      {"seconds", 0, POPT_ARG_INT, &fault_phase_length, 0,
       "time in which faults are injected", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("node_soak", argc, argv, table, 0), &poptFreeContext);
  if (poptGetNextOpt(context.get()) < -1 || program == nullptr ||
      seeds == nullptr) {
    std::fprintf(stderr, "usage: node_soak --node FILE --seeds N,...\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  size_t failed = 0;
  size_t passed = 0;
  std::istringstream seed_list(seeds);
  for (std::string seed; std::getline(seed_list, seed, ',');) {
    SoakRun run(std::stoull(seed), program, seconds(fault_phase_length));
    const auto violations = run.Run();
    const size_t shown_count = std::min<size_t>(violations.size(), 5);
    for (size_t i = 0; i < shown_count; ++i) {
      std::printf("  VIOLATION: %s\n", violations[i].c_str());
    }
    (violations.empty() ? passed : failed) += 1;
  }
  std::printf("%zu passed, %zu failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
