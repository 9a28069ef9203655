/**
 * @file daemon_base.cc
 * Construction order and shutdown of a daemon.
 */
#include "daemon/daemon_base.h"

#include <algorithm>

#include "base/digest_func.h"
#include "base/result_func.h"
#include "control/control_func.h"
#include "daemon/control_loop_base.h"
#include "daemon/effect_executor_base.h"
#include "daemon/ledger_client_base.h"
#include "daemon/log_func.h"
#include "daemon/operator_service_base.h"
#include "daemon/peer_service_base.h"
#include "daemon/poller_base.h"
#include "daemon/snapshot_publisher_base.h"
#include "daemon/traffic_provider_base.h"
#include "store/http_cloud_api_base.h"
#include "store/http_object_store_base.h"
#include "store/store_instance_list_base.h"
#include "traffic/basic_policy_base.h"
#include "traffic/front_end_base.h"

namespace boragewharf::daemon {

namespace {

constexpr size_t kStoreThreads = 8;
constexpr size_t kPeerThreads = 8;

/** Time between the last work and the end of the process, for late pings. */
constexpr auto kLeaveNoticeTime = std::chrono::seconds(1);

HttpChannelOptions ChannelOptions(const Endpoint& endpoint,
                                  std::chrono::milliseconds timeout) {
  HttpChannelOptions options;
  options.endpoint = endpoint;
  options.timeout = timeout;
  return options;
}

PeerKeys MakePeerKeys(const Settings& settings) {
  PeerKeys keys;
  for (const PeerKeySettings& key : settings.peer_keys) {
    keys.keys.push_back({key.id, key.secret});
  }
  return keys;
}

control::ControlIdentity MakeIdentity(const Settings& settings) {
  control::ControlIdentity identity;
  identity.self.id = MemberId{RandomU64()};
  identity.self.instance = settings.instance;
  identity.self.zone = settings.zone;
  identity.self.region = settings.region;
  identity.self.caller_address = settings.advertised_caller_address;
  identity.self.peer_address = settings.peer_address;
  identity.self.started_at = WallNow().time_since_epoch().count();
  identity.seed = RandomU64();
  identity.ledger.shard_count = settings.ledger.shards;
  identity.ledger.body_bytes = settings.ledger.max_answer_bytes;
  return identity;
}

traffic::FrontEndOptions MakeFrontEndOptions(const Settings& settings,
                                             MemberId self) {
  traffic::FrontEndOptions options;
  options.listen = settings.caller_address;
  options.instance = settings.instance;
  options.zone = settings.zone;
  options.region = settings.region;
  options.member = self;
  options.operator_key =
      config::TokenHash{settings.operator_key.salt, settings.operator_key.hash};
  options.max_connections = settings.traffic.max_connections;
  options.max_streams = settings.traffic.max_streams;
  options.max_body_bytes = settings.traffic.max_body_bytes;
  options.keep_alive = settings.traffic.keep_alive;
  options.silence_bound = settings.traffic.silence_timeout;
  options.stream_retention = settings.traffic.stream_retention;
  return options;
}

}  // namespace

/** Declared in order of construction; destroyed in reverse. */
struct Daemon::Parts {
  Parts(Daemon& owner, const control::ControlIdentity& identity)
      : self(identity.self.id),
        store(ChannelOptions(owner.settings.platform.object_api,
                             owner.settings.platform.timeout),
              owner.counters),
        instances(store),
        cloud(ChannelOptions(owner.settings.platform.cloud_api,
                             owner.settings.platform.timeout),
              owner.counters),
        peers(PeerClientOptions{MakePeerKeys(owner.settings), identity.self.id},
              owner.counters),
        publisher(directory),
        loop(control::MakeControlState(identity, BootClock::now())),
        peer_service(loop,
                     ledger_calls,
                     owner.counters,
                     [this](const traffic::StreamTransfer& transfer) {
                       return this->front_end &&
                              this->front_end->Adopt(transfer);
                     }),
        operators(loop, tickets, [&owner] { owner.RequestDrain(); }),
        observations(loop),
        handovers(identity.self.id, directory, peers),
        store_tasks(kStoreThreads),
        peer_tasks(kPeerThreads),
        ledger(identity.self.id,
               owner.settings.ledger.shards,
               loop,
               ledger_calls,
               directory,
               peers,
               owner.counters),
        admission(owner.settings.traffic.max_streams) {}

  const MemberId self;
  HttpObjectStore store;
  StoreInstanceList instances;
  HttpCloudApi cloud;
  PeerClient peers;
  DirectoryHolder directory;
  SnapshotPublisher publisher;
  LedgerCalls ledger_calls;
  CallTable<config::AnswerTicket> tickets;
  ControlLoop loop;
  PeerService peer_service;
  OperatorService operators;
  ObservationPoster observations;
  PeerHandover handovers;
  TaskPool store_tasks;
  TaskPool peer_tasks;
  LedgerClient ledger;
  traffic::ConcurrencyAdmission admission;
  traffic::LeastLoadedRouting routing;
  traffic::RetryBudget retries;
  std::unique_ptr<UdpSocket> udp;
  std::unique_ptr<EffectExecutor> executor;
  std::unique_ptr<traffic::FrontEnd> front_end;
  std::unique_ptr<PeerServer> peer_server;
  std::unique_ptr<Poller> poller;
};

Daemon::Daemon(Settings daemon_settings)
    : settings(std::move(daemon_settings)) {}

Daemon::~Daemon() = default;

bool Daemon::Start() {
  const control::ControlIdentity identity = MakeIdentity(this->settings);
  this->parts = std::make_unique<Parts>(*this, identity);
  Parts& all = *this->parts;
  all.udp =
      UdpSocket::Open(UdpOptions{this->settings.peer_address,
                                 MakePeerKeys(this->settings), all.self},
                      this->counters, [&all](const PeerDatagram& datagram) {
                        all.peer_service.HandleDatagram(datagram);
                      });
  if (!all.udp) {
    return false;
  }
  PeerServerOptions server_options;
  server_options.listen = this->settings.peer_address;
  server_options.keys = MakePeerKeys(this->settings);
  server_options.self = all.self;
  all.front_end = std::make_unique<traffic::FrontEnd>(
      MakeFrontEndOptions(this->settings, all.self),
      traffic::FrontEndProviders{all.publisher, all.ledger, all.observations,
                                 all.handovers, all.operators, all.admission,
                                 all.routing, all.retries, this->counters});
  all.publisher.SetListener([&all] { all.front_end->OnSnapshotChanged(); });
  all.executor = std::make_unique<EffectExecutor>(ExecutorParts{
      all.loop, all.store, *all.udp, all.peers, all.store_tasks, all.peer_tasks,
      all.ledger_calls, all.tickets, all.publisher, this->counters,
      [this](TimePoint deadline) { this->RequestDrain(deadline); }});
  all.loop.Start(*all.executor);
  all.loop.Post(membership::MembershipEvent(
      membership::SeedsListed{this->settings.peers}));
  all.peer_server = PeerServer::Open(
      server_options, all.peer_service.Handlers(), this->counters);
  if (!all.peer_server) {
    return false;
  }
  all.poller =
      std::make_unique<Poller>(all.loop, all.instances, all.cloud, RandomU64());
  if (all.front_end->Start() == 0) {
    Fail(ResultCode::kSystemError, "cannot listen on the caller address");
    return false;
  }
  LogStateChange("serving as " + this->settings.instance + " on " +
                 ToString(this->settings.caller_address));
  return true;
}

void Daemon::RequestDrain(std::optional<TimePoint> reclaim_at) {
  {
    const std::lock_guard lock(this->mutex);
    if (reclaim_at) {
      this->drain_deadline =
          std::min(this->drain_deadline.value_or(*reclaim_at), *reclaim_at);
    }
    this->drain_requested = true;
  }
  this->drain_changed.notify_all();
}

void Daemon::WaitForDrainRequest() {
  std::unique_lock lock(this->mutex);
  this->drain_changed.wait(lock, [this] { return this->drain_requested; });
}

bool Daemon::DrainAndStop() {
  LogStateChange("draining");
  Parts& all = *this->parts;
  all.loop.Post(control::DrainStarted{});
  TimePoint deadline = BootClock::now() + this->settings.drain.timeout;
  {
    const std::lock_guard lock(this->mutex);
    deadline = std::min(deadline, this->drain_deadline.value_or(deadline));
  }
  const bool finished = all.front_end->Drain(deadline);
  std::this_thread::sleep_for(kLeaveNoticeTime);
  all.poller.reset();
  all.peer_server.reset();
  all.front_end->Stop();
  all.udp.reset();
  all.store_tasks.Stop();
  all.peer_tasks.Stop();
  all.loop.Stop();
  LogStateChange(finished ? "stopped" : "stopped with work left");
  return finished;
}

}  // namespace boragewharf::daemon
