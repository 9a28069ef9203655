/**
 * @file node_soak.cc
 * Randomized soak: runs node processes against stand-ins of the store, the
 * cloud API and the servers, injects faults, and checks what clients and
 * servers observe.
 */
#include <signal.h>

#include <cstdio>
#include <filesystem>
#include <memory>
#include <optional>
#include <random>

#include "link_faults.h"
#include "node_process.h"
#include "platform_standin.h"
#include "run_checks.h"
#include "soak_client.h"
#include "soak_program.h"

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
      this->servers.back()->SetStream(boragewharf::soak::kStreamEvents,
                                      milliseconds(20));
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
    boragewharf::soak::CheckServed(
        final_clients, kClientCount * kFinalRequestsPerClient, this->record);
    boragewharf::soak::CheckRunCounts(this->servers, this->cloud, this->record);
    for (const auto& node : this->nodes) {
      if (node->ExitedAbnormally()) {
        this->record.violations.push_back(node->Ip() + " exited abnormally");
      }
    }
    std::printf("seed %lu: %zu fault(s) injected, answers%s, logs in %s\n",
                this->seed, this->injected_count,
                StatusSummary(this->record).c_str(), this->directory.c_str());
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
  return boragewharf::soak::RunSoakProgram(
      argc, argv, "node_soak",
      [](uint64_t seed, const std::string& program, seconds fault_seconds) {
        return SoakRun(seed, program, fault_seconds).Run();
      });
}
