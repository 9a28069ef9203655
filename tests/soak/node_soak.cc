/**
 * @file node_soak.cc
 * Runs real nodes before stand-ins, injects faults from outside, and checks
 * what clients and servers see.
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

constexpr size_t kNodes = 3;
constexpr size_t kClients = 8;

/** Requests of each client that have to be served at the end. */
constexpr uint32_t kFinalRequests = 8;

/** Time for the nodes to find a healed system. */
constexpr seconds kHealTime(6);

/** One seeded run. */
class SoakRun {
 public:
  SoakRun(uint64_t run_seed,
          const std::string& node_program,
          seconds run_length)
      : seed(run_seed),
        length(run_length),
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
      this->server_links[id] =
          ToString(this->links.Add(id, this->servers.back()->Address()));
    }
    this->addresses.cloud = this->links.Add("cloud", this->cloud.Address());
    for (uint16_t* port :
         {&this->addresses.client_port, &this->addresses.ready_port,
          &this->addresses.control_port, &this->addresses.directory_port,
          &this->addresses.metrics_port, &this->addresses.peer_port}) {
      *port = boragewharf::standins::FreePort();
    }
    for (size_t i = 0; i < kNodes; ++i) {
      const std::string ip = "127.0.10." + std::to_string(i + 1);
      this->addresses.store =
          this->links.Add(ip + " to store", this->store.Address());
      this->nodes.push_back(std::make_unique<NodeProcess>(
          node_program, this->directory.string(), ip, this->addresses));
      this->entries.push_back(this->links.Add(
          "clients to " + ip, Endpoint{ip, this->addresses.client_port}));
    }
  }

  /** @return Broken promises; empty if all were kept. */
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
    this->loop.run_for(this->length);
    this->healing = true;
    this->timer.cancel();
    this->Heal();
    for (const auto& client : clients) {
      client->Stop();
    }
    this->loop.run_for(kHealTime);
    auto final_clients = this->MakeClients("final", kFinalRequests);
    this->loop.run_for(seconds(8));
    this->CheckFinal(final_clients);
    this->CheckRuns();
    for (const auto& node : this->nodes) {
      if (node->Failed()) {
        this->record.faults.push_back(node->Ip() + " ended by itself");
      }
    }
    std::ostringstream counts;
    for (const auto& [status, count] : this->record.statuses) {
      counts << " " << status << ":" << count;
    }
    std::printf("seed %lu: %zu fault(s) injected, answers%s, logs in %s\n",
                this->seed, this->injected, counts.str().c_str(),
                this->directory.c_str());
    if (this->record.faults.empty()) {
      std::filesystem::remove_all(this->directory);
    } else {
      for (const std::string& link : this->injected_links) {
        std::printf("  link: %s\n", link.c_str());
      }
    }
    return this->record.faults;
  }

 private:
  std::vector<std::unique_ptr<SoakClient>> MakeClients(const std::string& kind,
                                                       uint32_t count) {
    std::vector<std::unique_ptr<SoakClient>> made;
    for (size_t i = 0; i < kClients; ++i) {
      made.push_back(std::make_unique<SoakClient>(
          this->loop, kind + "-" + std::to_string(i), this->generator(),
          [this] {
            const Endpoint& entry =
                this->entries[this->generator() % this->entries.size()];
            return asio::ip::tcp::endpoint(asio::ip::make_address(entry.host),
                                           entry.port);
          },
          this->record));
      made.back()->Start(count);
    }
    return made;
  }

  void PublishServer(const ServerStandin& server, const char* state) {
    auto entry = server.Entry("a", state);
    entry["address"] = this->server_links.at(server.Id());
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
      // A completion that is queued is not cancelled any more.
      if (!error && !this->healing) {
        this->Inject();
        this->ScheduleFault();
      }
    });
  }

  void Inject() {
    ++this->injected;
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
        this->store.Compact();
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
        this->injected_links.push_back(this->links.Inject(this->generator));
        break;
      default:
        this->links.Heal();
        this->PublishServers();
        server.SetFault(ServerFault::kNone);
        for (const auto& stopped : this->nodes) {
          stopped->Signal(SIGCONT);
          stopped->Start(false);
        }
        break;
    }
  }

  void Heal() {
    this->store.SetMode(StoreMode::kServe);
    this->links.Heal();
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

  void CheckFinal(const std::vector<std::unique_ptr<SoakClient>>& clients) {
    uint32_t served = 0;
    for (const auto& client : clients) {
      served += client->Served();
    }
    if (served < kClients * kFinalRequests) {
      this->record.faults.push_back(
          "after healing " + std::to_string(served) + " of " +
          std::to_string(kClients * kFinalRequests) + " requests were served");
    }
  }

  uint32_t RunsOf(const std::string& id) const {
    uint32_t runs = 0;
    for (const auto& server : this->servers) {
      const auto found = server->Runs().find(id);
      runs += found == server->Runs().end() ? 0 : found->second;
    }
    return runs;
  }

  void CheckRuns() {
    for (const auto& [id, path] : this->record.unsafe) {
      if (this->RunsOf(id) > 1) {
        this->record.faults.push_back(id + ": an order ran twice");
      }
    }
    for (const auto& [id, status] : this->record.not_run) {
      if (this->RunsOf(id) > 0) {
        std::string fault = id;
        fault.append(": answered ").append(status).append(", but it has run");
        this->record.faults.push_back(std::move(fault));
      }
    }
    if (this->cloud.Conflicts() > 0 || this->cloud.FencingFaults() > 0) {
      this->record.faults.push_back(
          "usage reports: " + std::to_string(this->cloud.Conflicts()) +
          " conflict(s), " + std::to_string(this->cloud.FencingFaults()) +
          " fencing fault(s)");
    }
  }

  uint64_t seed;
  seconds length;
  std::mt19937_64 generator;
  std::filesystem::path directory;
  asio::io_context loop;
  StoreStandin store;
  CloudStandin cloud;
  LinkFaults links;
  std::map<std::string, std::string> server_links;  ///< Addresses by id.
  std::vector<Endpoint> entries;                    ///< For clients, by node.
  std::vector<std::string> injected_links;
  std::vector<std::unique_ptr<ServerStandin>> servers;
  RunAddresses addresses;
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  asio::steady_timer timer;
  RunRecord record;
  uint64_t version = 0;
  size_t injected = 0;
  bool healing = false;
};

}  // namespace

int main(int argc, const char** argv) {
  char* program = nullptr;
  char* seeds = nullptr;
  int length = 10;
  const poptOption table[] = {
      {"node", 0, POPT_ARG_STRING, &program, 0, "boragewharf-node", "FILE"},
      {"seeds", 0, POPT_ARG_STRING, &seeds, 0, "seeds of the runs", "N,..."},
      {"seconds", 0, POPT_ARG_INT, &length, 0, "time with faults", "N"},
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
  std::istringstream list(seeds);
  for (std::string seed; std::getline(list, seed, ',');) {
    SoakRun run(std::stoull(seed), program, seconds(length));
    const auto faults = run.Run();
    const size_t shown = std::min<size_t>(faults.size(), 5);
    for (size_t i = 0; i < shown; ++i) {
      std::printf("  BROKEN: %s\n", faults[i].c_str());
    }
    (faults.empty() ? passed : failed) += 1;
  }
  std::printf("%zu passed, %zu failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
