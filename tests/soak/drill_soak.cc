/**
 * @file drill_soak.cc
 * Randomized soak of drills: the store of a run comes back from earlier copies
 * while node processes are killed and restarted, and the operator and the
 * servers go on to write. Nothing that clients, servers and the cloud API
 * observe may tell, except that a new version takes its usual time.
 */
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <random>
#include <set>

#include "node_process.h"
#include "platform_standin.h"
#include "run_checks.h"
#include "soak_client.h"
#include "soak_program.h"
#include "store_drill.h"
#include "version_probe.h"

namespace {

namespace asio = boost::asio;
using boragewharf::Endpoint;
using boragewharf::soak::NewestVersion;
using boragewharf::soak::NodeProcess;
using boragewharf::soak::RunAddresses;
using boragewharf::soak::RunRecord;
using boragewharf::soak::SoakClient;
using boragewharf::soak::StoreDrill;
using boragewharf::soak::VersionProbe;
using boragewharf::standins::CloudStandin;
using boragewharf::standins::ServerStandin;
using boragewharf::standins::StoreStandin;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr size_t kNodeCount = 3;
constexpr size_t kClientCount = 8;

/** Number of requests of each client that must be served at the end. */
constexpr uint32_t kFinalRequestsPerClient = 8;

constexpr seconds kStartTime(3);

/** In each round, the length of the phase with drills. */
constexpr seconds kDrillPhase(4);

/** Time after a failure until a node must know what the store has
 * (contact_ms of the deployments). */
constexpr milliseconds kContactTime(4000);

/** Time within which a version is in force (config_apply_ms). */
constexpr milliseconds kConfigTime(2500);

/** Time within which a server that leaves gets no more requests (drain_ms). */
constexpr milliseconds kDrainTime(2500);

/** In each round, the length of the phase without failures, after
 * kContactTime. A node that takes the duties over reports no usage window up to
 * the one in progress then; with the lease and the windows of the nodes, its
 * first report comes less than 12 s after the last failure. */
constexpr seconds kCheckPhase(8);

constexpr milliseconds kTickPeriod(20);

/** Writes of objects that no node uses, in each tick: the revisions that a copy
 * lacks are then passed again sooner or later than those writes. */
constexpr uint32_t kOtherWrites = 2;

/** A server that registers in the store, leaves, and comes back. */
struct ListedServer {
  std::unique_ptr<ServerStandin>* server = nullptr;
  std::string state = "ready";  ///< "ready", "draining" or "removed".
  uint64_t starts = 0;
  size_t runs = 0;  ///< As of the last tick.
};

/** A soak run whose drills, kills and writes are chosen by a seed. */
class DrillRun {
 public:
  DrillRun(uint64_t run_seed,
           const std::string& node_program,
           seconds phase_length)
      : seed(run_seed),
        length(phase_length),
        generator(run_seed),
        directory(std::filesystem::temp_directory_path() /
                  ("boragewharf-drill-" + std::to_string(run_seed) + "-" +
                   std::to_string(getpid()))),
        store(loop),
        cloud(loop),
        drill(loop, store, run_seed + 1) {
    std::filesystem::create_directories(this->directory);
    for (const char* id : {"llm-1", "llm-2", "desk-1", "desk-2", "desk-3"}) {
      this->servers.push_back(std::make_unique<ServerStandin>(
          this->loop, id,
          std::string(id).substr(0, 3) == "llm" ? "llm" : "desk"));
      this->servers.back()->SetStream(boragewharf::soak::kStreamEvents,
                                      milliseconds(20));
    }
    this->addresses.first_node_ip = NodeIp(0);
    this->addresses.store = this->store.Address();
    this->addresses.cloud = this->cloud.Address();
    for (uint16_t* port :
         {&this->addresses.client_port, &this->addresses.ready_port,
          &this->addresses.control_port, &this->addresses.directory_port,
          &this->addresses.metrics_port, &this->addresses.peer_port}) {
      *port = boragewharf::standins::FreePort();
    }
    for (size_t i = 0; i < kNodeCount; ++i) {
      this->nodes.push_back(std::make_unique<NodeProcess>(
          node_program, this->directory.string(), NodeIp(i), this->addresses));
      this->probes.push_back(std::make_unique<VersionProbe>(
          this->loop, Endpoint{NodeIp(i), this->addresses.client_port},
          [this] { return this->Newest(); }, this->record));
    }
  }

  /** @return Descriptions of violated guarantees, empty if there were none. */
  std::vector<std::string> Run() {
    this->begun = Clock::now();
    for (auto& server : this->servers) {
      this->listed.push_back({&server});
      this->List(this->listed.back(), "ready");
    }
    this->WriteVersion();
    for (size_t i = 0; i < kNodeCount; ++i) {
      this->StartNode(i, true);
    }
    this->drill.Start();
    this->RunFor(kStartTime);
    auto clients = this->MakeClients("load", 0);
    for (const auto& probe : this->probes) {
      probe->Start();
    }
    const auto end = Clock::now() + this->length;
    while (Clock::now() < end) {
      this->RunRound();
    }
    for (const auto& client : clients) {
      client->Stop();
    }
    auto final_clients = this->MakeClients("final", kFinalRequestsPerClient);
    this->RunFor(seconds(6));
    for (const auto& probe : this->probes) {
      probe->Stop();
    }
    this->drill.Stop();
    boragewharf::soak::CheckServed(
        final_clients, kClientCount * kFinalRequestsPerClient, this->record);
    boragewharf::soak::CheckRunCounts(this->servers, this->cloud, this->record);
    this->CheckNodes();
    this->Print();
    return this->record.violations;
  }

 private:
  static std::string NodeIp(size_t index) {
    return "127.0.11." + std::to_string(index + 1);
  }

  /** Has drills, kills and writes happen, then none, so that what the nodes
   * know must be what the store has. */
  void RunRound() {
    const auto drills_end = Clock::now() + kDrillPhase;
    this->Note(this->drill.Begin());
    while (Clock::now() < drills_end) {
      this->RunFor(milliseconds(200 + this->generator() % 700));
      this->Disturb();
    }
    while (!this->drill.IsSettled() || !this->restarts.empty()) {
      this->RunFor(kTickPeriod);
    }
    this->RunFor(kContactTime);
    this->WriteVersion();
    this->ChangeServer();
    this->RunFor(kCheckPhase);
    this->CheckHolder();
  }

  void Disturb() {
    this->other_writes = this->generator() % 2 == 0 ? 0 : kOtherWrites;
    switch (this->generator() % 10) {
      case 0:
      case 1:
      case 2:
        this->Note(this->drill.Begin());
        break;
      case 3:
        this->KillNode(this->generator() % kNodeCount,
                       milliseconds(200 + this->generator() % 1000));
        break;
      case 4:
        for (size_t i = 0; i < kNodeCount; ++i) {
          this->KillNode(i, milliseconds(200 + this->generator() % 1000));
        }
        break;
      case 5:
      case 6:
      case 7:
        this->WriteVersion();
        break;
      default:
        this->ChangeServer();
        break;
    }
  }

  void KillNode(size_t index, milliseconds down_time) {
    if (this->restarts.contains(index)) {
      return;
    }
    this->Note("kill " + this->nodes[index]->Ip());
    this->nodes[index]->Signal(SIGKILL);
    this->probes[index]->BeginLifetime();
    this->restarts[index] = Clock::now() + down_time;
  }

  void StartNode(size_t index, bool first_start) {
    this->nodes[index]->Start(first_start);
    this->probes[index]->BeginLifetime();
    this->last_start = Clock::now();
  }

  void WriteVersion() {
    ++this->version;
    this->Note("version " + std::to_string(this->version));
    this->drill.Put("config", "main",
                    boragewharf::soak::VersionedConfig(this->version));
  }

  /** @return The newest version, which nodes in touch have in force in time
   * after its acknowledgement, or after the store's return. */
  NewestVersion Newest() const {
    const auto accepted = this->drill.AcceptedAt("config", "main");
    if (accepted == Clock::time_point::max()) {
      return {this->version, accepted};
    }
    return {this->version,
            std::max(accepted + kConfigTime,
                     this->drill.LastDisturbance() + kContactTime)};
  }

  void List(ListedServer& entry, const std::string& state) {
    const ServerStandin& server = **entry.server;
    this->Note(server.Id() + " " + state);
    entry.state = state;
    if (state == "removed") {
      this->drill.Erase("servers", server.Id());
      return;
    }
    // A server that has left comes back as a new start of it.
    entry.starts += state == "ready" ? 1 : 0;
    auto spec = server.StoreSpec("a", state);
    spec["born"] = boragewharf::standins::kServerStarted + entry.starts;
    this->drill.Put("servers", server.Id(), spec);
  }

  /** Has a server of the plain service leave or come back; one always stays. */
  void ChangeServer() {
    ListedServer& entry =
        this->listed[this->listed.size() - 1 - this->generator() % 2];
    const bool removed = this->generator() % 2 == 0;
    if (entry.state != "ready") {
      this->List(entry, "ready");
      return;
    }
    this->List(entry, removed ? "removed" : "draining");
  }

  /** Runs the stand-ins, restarts nodes and checks servers that have left. */
  void RunFor(milliseconds time) {
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
      this->loop.restart();
      this->loop.run_for(kTickPeriod);
      for (uint32_t i = 0; i < this->other_writes; ++i) {
        this->store.Put("notes", "other", {{"write", ++this->notes}});
      }
      for (auto at = this->restarts.begin(); at != this->restarts.end();) {
        if (Clock::now() < at->second || this->nodes[at->first]->IsRunning()) {
          ++at;
          continue;
        }
        this->StartNode(at->first, false);
        at = this->restarts.erase(at);
      }
      this->CheckServers();
    }
  }

  /** A server gets no requests once it has left for long enough. What the store
   * says of it while it has lost the owner's write does not count. */
  void CheckServers() {
    const auto now = Clock::now();
    for (ListedServer& entry : this->listed) {
      const ServerStandin& server = **entry.server;
      const size_t before =
          std::exchange(entry.runs, server.RunsByAttempt().size());
      const auto accepted = this->drill.AcceptedAt("servers", server.Id());
      if (entry.state == "ready" || entry.runs == before ||
          accepted == Clock::time_point::max()) {
        continue;
      }
      const auto calm_since =
          std::max(this->drill.LastDisturbance(), this->last_start);
      if (this->restarts.empty() && now > accepted + kDrainTime + kTickPeriod &&
          now > calm_since + kContactTime + kTickPeriod) {
        this->record.violations.push_back(
            server.Id() + " is " + entry.state + " and ran " +
            std::to_string(entry.runs - before) + " request(s)");
      }
    }
  }

  /** One node acts as the holder of the duties after each round. */
  void CheckHolder() {
    std::set<std::string> holders;
    for (const auto& call : this->cloud.Calls()) {
      if (call.arrived > Clock::now() - kCheckPhase) {
        holders.insert(call.holder);
      }
    }
    if (holders.size() != 1) {
      this->record.violations.push_back(
          std::to_string(holders.size()) +
          " nodes acted as the holder of the duties in the end of a round");
    }
  }

  void CheckNodes() {
    for (const auto& node : this->nodes) {
      if (node->ExitedAbnormally()) {
        this->record.violations.push_back(node->Ip() + " exited abnormally");
      }
    }
    for (const auto& probe : this->probes) {
      if (probe->ChecksOfNewest() == 0) {
        this->record.violations.push_back("a node was never checked");
      }
    }
  }

  std::vector<std::unique_ptr<SoakClient>> MakeClients(const std::string& kind,
                                                       uint32_t count) {
    std::vector<std::unique_ptr<SoakClient>> clients;
    for (size_t i = 0; i < kClientCount; ++i) {
      clients.push_back(std::make_unique<SoakClient>(
          this->loop, kind + "-" + std::to_string(i), this->generator(),
          [this] {
            return asio::ip::tcp::endpoint(
                asio::ip::make_address(NodeIp(this->generator() % kNodeCount)),
                this->addresses.client_port);
          },
          this->record));
      clients.back()->Start(count);
    }
    return clients;
  }

  /** Adds a line to the events of the run. */
  void Note(const std::string& text) {
    if (!text.empty()) {
      const auto at =
          std::chrono::duration_cast<milliseconds>(Clock::now() - this->begun);
      this->events.push_back(std::to_string(at.count()) + " ms: " + text);
    }
  }

  void Print() {
    std::printf("seed %lu: store returned %lu time(s), answers%s, logs in %s\n",
                this->seed, this->store.Era() - 1,
                StatusSummary(this->record).c_str(), this->directory.c_str());
    if (this->record.violations.empty()) {
      std::filesystem::remove_all(this->directory);
      return;
    }
    for (const std::string& event : this->events) {
      std::printf("  %s\n", event.c_str());
    }
  }

  uint64_t seed;
  seconds length;
  std::mt19937_64 generator;
  std::filesystem::path directory;
  asio::io_context loop;
  StoreStandin store;
  CloudStandin cloud;
  StoreDrill drill;
  std::vector<std::unique_ptr<ServerStandin>> servers;
  std::vector<ListedServer> listed;
  RunAddresses addresses;
  RunRecord record;
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  std::vector<std::unique_ptr<VersionProbe>> probes;  ///< By node.
  std::map<size_t, Clock::time_point> restarts;       ///< Due, by node.
  Clock::time_point last_start;
  Clock::time_point begun;
  uint64_t version = 0;
  uint32_t other_writes = 0;  ///< In each tick.
  uint64_t notes = 0;
  std::vector<std::string> events;
};

}  // namespace

int main(int argc, const char** argv) {
  return boragewharf::soak::RunSoakProgram(
      argc, argv, "drill_soak",
      [](uint64_t seed, const std::string& program, seconds length) {
        return DrillRun(seed, program, length).Run();
      });
}
