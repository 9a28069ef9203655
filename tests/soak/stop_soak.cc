/**
 * @file stop_soak.cc
 * Randomized soak of planned stops: runs node processes under load, stops them
 * with SIGTERM, and checks that no accepted request is lost. Nothing else fails
 * in such a run, so that no loss is excused.
 */
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>

#include "node_supervisor.h"
#include "platform_standin.h"
#include "run_checks.h"
#include "soak_client.h"
#include "soak_program.h"
#include "stop_plan.h"
#include "varied_load.h"

namespace {

namespace asio = boost::asio;
using boragewharf::Endpoint;
using boragewharf::soak::InterruptedRequest;
using boragewharf::soak::NodeProcess;
using boragewharf::soak::NodeSupervisor;
using boragewharf::soak::PlannedEvent;
using boragewharf::soak::PlannedEventKind;
using boragewharf::soak::RunAddresses;
using boragewharf::soak::RunRecord;
using boragewharf::soak::SoakClient;
using boragewharf::soak::StreamPace;
using boragewharf::soak::VariedLoad;
using boragewharf::standins::CloudStandin;
using boragewharf::standins::ServerStandin;
using boragewharf::standins::StoreStandin;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kNodeCount = 3;

/** Fewer than the slots of the servers, so that no stream waits for a slot
 * beyond the grace period. */
constexpr size_t kClientCount = 12;

constexpr uint32_t kFinalRequestsPerClient = 6;

/** Time for the nodes to find each other and the servers after their start. */
constexpr seconds kStartTime(3);

/** Limit of each phase after the planned events: the longest grace period and
 * request take less. */
constexpr seconds kPhaseLimit(10);

constexpr milliseconds kPollPeriod(10);

/**
 * @return Loopback address of a node. It depends on the process: runs side by
 * side may draw the same ports, which are only free on 127.0.0.1.
 */
std::string NodeIp(size_t node) {
  const auto process = static_cast<uint32_t>(getpid());
  return "127." + std::to_string(64 + process / 256 % 64) + "." +
         std::to_string(process % 256) + "." + std::to_string(node + 1);
}

/** A soak run whose stops and requests are chosen by a seed. */
class StopRun {
 public:
  StopRun(uint64_t run_seed,
          const std::string& node_program,
          seconds planned_event_length)
      : seed(run_seed),
        plan_length(planned_event_length),
        client_generator(run_seed),
        directory(std::filesystem::temp_directory_path() /
                  ("boragewharf-stop-soak-" + std::to_string(run_seed) + "-" +
                   std::to_string(getpid()))),
        store(loop),
        cloud(loop),
        load(run_seed),
        plan(boragewharf::soak::DrawStopPlan(run_seed,
                                             planned_event_length,
                                             kNodeCount)),
        poll_timer(loop),
        plan_timer(loop) {
    std::filesystem::create_directories(this->directory);
    for (const char* id : {"llm-1", "llm-2", "desk-1", "desk-2"}) {
      this->servers.push_back(std::make_unique<ServerStandin>(
          this->loop, id,
          std::string(id).substr(0, 3) == "llm" ? "llm" : "desk"));
      this->servers.back()->SetResponseShapes(
          [this](const std::string& attempt) {
            return this->load.ShapeOf(attempt);
          });
    }
    RunAddresses addresses;
    addresses.store = this->store.Address();
    addresses.cloud = this->cloud.Address();
    addresses.first_node_ip = NodeIp(0);
    for (uint16_t* port : {&addresses.client_port, &addresses.ready_port,
                           &addresses.control_port, &addresses.directory_port,
                           &addresses.metrics_port, &addresses.peer_port}) {
      *port = boragewharf::standins::FreePort();
    }
    std::vector<std::unique_ptr<NodeProcess>> processes;
    for (size_t i = 0; i < kNodeCount; ++i) {
      const std::string ip = NodeIp(i);
      processes.push_back(std::make_unique<NodeProcess>(
          node_program, this->directory.string(), ip, addresses));
      this->client_addresses.emplace_back(asio::ip::make_address(ip),
                                          addresses.client_port);
    }
    this->nodes =
        std::make_unique<NodeSupervisor>(std::move(processes), run_seed);
  }

  /** @return Descriptions of violated guarantees, empty if there were none. */
  std::vector<std::string> Run() {
    for (const auto& server : this->servers) {
      this->store.Put("servers", server->Id(), server->StoreSpec("a", "ready"));
    }
    this->PublishNextConfig();
    this->nodes->Start();
    this->PollNodes();
    this->loop.run_for(kStartTime);

    const auto clients = this->MakeClients("load", 0);
    this->plan_start = std::chrono::steady_clock::now();
    this->ScheduleNextPlannedEvent();
    this->RunUntil([this] { return this->next_planned_event == plan.size(); },
                   this->plan_length + kPhaseLimit);
    this->nodes->EndPlannedEvents();
    this->RunUntil([this] { return this->nodes->AllServe(); }, kPhaseLimit);
    for (const auto& client : clients) {
      client->Stop();
    }
    this->RunUntilDone(clients);
    // The start of the last node, as before the planned events.
    this->loop.run_for(kStartTime);
    this->load.SetPace({});
    const auto final_clients =
        this->MakeClients("final", kFinalRequestsPerClient);
    this->RunUntilDone(final_clients);

    boragewharf::soak::CheckServed(
        final_clients, kClientCount * kFinalRequestsPerClient, this->record);
    boragewharf::soak::CheckRunCounts(this->servers, this->cloud, this->record);
    this->CheckInterrupted();
    for (std::string& violation : this->nodes->Violations()) {
      this->record.violations.push_back(std::move(violation));
    }
    this->Report();
    return this->record.violations;
  }

 private:
  template <class Condition>
  void RunUntil(Condition condition, milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      this->loop.run_for(kPollPeriod);
    }
  }

  void RunUntilDone(const std::vector<std::unique_ptr<SoakClient>>& clients) {
    this->RunUntil(
        [&] {
          return std::all_of(clients.begin(), clients.end(),
                             [](const auto& client) { return client->Done(); });
        },
        kPhaseLimit);
  }

  std::vector<std::unique_ptr<SoakClient>> MakeClients(const std::string& kind,
                                                       uint32_t count) {
    std::vector<std::unique_ptr<SoakClient>> clients;
    for (size_t i = 0; i < kClientCount; ++i) {
      clients.push_back(std::make_unique<SoakClient>(
          this->loop, kind + "-" + std::to_string(i), this->seed * 100 + i,
          [this] {
            return this->client_addresses[this->client_generator() %
                                          this->client_addresses.size()];
          },
          this->record));
      clients.back()->SetTraits(
          [this](const std::string& id) { return this->load.Draw(id); });
      clients.back()->Start(count);
    }
    return clients;
  }

  void PublishNextConfig() {
    this->store.Put("config", "main",
                    boragewharf::standins::ExampleConfig(++this->version));
  }

  void PollNodes() {
    this->nodes->Poll();
    this->poll_timer.expires_after(kPollPeriod);
    this->poll_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        this->PollNodes();
      }
    });
  }

  void ScheduleNextPlannedEvent() {
    if (this->next_planned_event == this->plan.size()) {
      return;
    }
    this->plan_timer.expires_at(this->plan_start +
                                this->plan[this->next_planned_event].at);
    this->plan_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        this->Apply(this->plan[this->next_planned_event++]);
        this->ScheduleNextPlannedEvent();
      }
    });
  }

  void Apply(const PlannedEvent& planned_event) {
    switch (planned_event.kind) {
      case PlannedEventKind::kTerminate:
        this->nodes->Terminate(planned_event.node);
        break;
      case PlannedEventKind::kReload:
        this->nodes->Reload(planned_event.node);
        break;
      case PlannedEventKind::kConfig:
        this->PublishNextConfig();
        break;
      case PlannedEventKind::kPace:
        this->load.SetPace(planned_event.pace);
        break;
    }
  }

  void CheckInterrupted() {
    for (const InterruptedRequest& request : this->record.interrupted) {
      const bool ran =
          boragewharf::soak::RunCount(this->servers, request.id) > 0;
      if (request.elapsed >= request.deadline ||
          !(request.answer_begun || ran)) {
        continue;
      }
      (request.answer_begun ? this->cut_count : this->unanswered_count) += 1;
      this->record.violations.push_back(this->Describe(request));
    }
  }

  /** @return Description of a lost request, with the nodes' log lines. */
  std::string Describe(const InterruptedRequest& request) {
    std::string text = request.id;
    text.append(" ")
        .append(request.path)
        .append(" to ")
        .append(request.node_ip)
        .append(request.answer_begun ? ": cut off after "
                                     : ": ran, closed without an answer after ")
        .append(std::to_string(request.elapsed.count()))
        .append(" ms at ")
        .append(std::to_string(request.ended_wall_ms))
        .append(", deadline ")
        .append(std::to_string(request.deadline.count()))
        .append(" ms");
    const auto lines =
        this->nodes->LogLinesWith("\"id\":\"" + request.id + "\"");
    const bool taken =
        std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
          return line.find("\"taken_in_stop\"") != std::string::npos;
        });
    if (!taken) {
      this->not_taken_in_stop_count += 1;
      text.append(", NOT TAKEN IN A STOP");
    }
    for (const std::string& line : lines) {
      text.append("\n    ").append(line);
    }
    return text;
  }

  void Report() const {
    const auto& counts = this->nodes->Counts();
    const auto refused = this->record.statuses.find("503");
    std::printf(
        "seed %lu: %u SIGTERM(s), %u restart(s), %zu event(s); answers%s;"
        " %u refused with 503, %u answered 504 before their deadline; without "
        "a complete answer: %u connection(s)"
        " failed, %u timeout(s), %zu closed (%u cut off, %u ran without an"
        " answer, %u of both not taken in a stop); %u overdue node(s) killed,"
        " %u of them while the machine stalled; logs in %s\n",
        this->seed, counts.sigterms, counts.restarts, this->plan.size(),
        StatusSummary(this->record).c_str(),
        refused == this->record.statuses.end() ? 0 : refused->second,
        this->record.early_timeouts, this->record.connect_failures,
        this->record.timeouts, this->record.interrupted.size(), this->cut_count,
        this->unanswered_count, this->not_taken_in_stop_count, counts.kills,
        counts.kills_in_stalls, this->directory.c_str());
    if (this->record.violations.empty()) {
      std::filesystem::remove_all(this->directory);
      return;
    }
    std::ofstream all(this->directory / "violations.txt");
    for (const std::string& violation : this->record.violations) {
      all << violation << "\n";
    }
  }

  uint64_t seed;
  seconds plan_length;
  std::mt19937_64 client_generator;
  std::filesystem::path directory;
  asio::io_context loop;
  StoreStandin store;
  CloudStandin cloud;
  VariedLoad load;
  std::vector<std::unique_ptr<ServerStandin>> servers;
  std::vector<asio::ip::tcp::endpoint> client_addresses;
  std::unique_ptr<NodeSupervisor> nodes;
  std::vector<PlannedEvent> plan;
  size_t next_planned_event = 0;
  std::chrono::steady_clock::time_point plan_start;
  asio::steady_timer poll_timer;
  asio::steady_timer plan_timer;
  RunRecord record;
  uint64_t version = 0;
  uint32_t cut_count = 0;
  uint32_t unanswered_count = 0;
  uint32_t not_taken_in_stop_count = 0;
};

}  // namespace

int main(int argc, const char** argv) {
  return boragewharf::soak::RunSoakProgram(
      argc, argv, "stop_soak",
      [](uint64_t seed, const std::string& program, seconds length) {
        return StopRun(seed, program, length).Run();
      });
}
