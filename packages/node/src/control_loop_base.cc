/**
 * @file control_loop_base.cc
 * Effects, datagrams and the small endpoints of a node.
 */
#include "node/control_loop_base.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>

#include "base/time_type.h"
#include "node/peer_codec.h"

namespace boragewharf::node {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

/** Life of a directory answer; short, so that clients soon leave nodes that
 * stop. */
constexpr double kDirectoryTtl = 2.0;

/** Life of an answer that names leaving nodes: clients are to hear soon of the
 * first one that has started again. */
constexpr double kLeaversTtl = 0.5;

/** Time for fetching another node's state. */
constexpr std::chrono::milliseconds kFetchTimeout(1200);

/** Path of the state that nodes fetch from each other. */
constexpr char kStatePath[] = "/v1/node-state";

/** Calls of the platform and the clients. */
constexpr char kReadyPath[] = "/v1/ready";
constexpr char kResolvePath[] = "/v1/resolve";

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

fleet::FleetSettings MakeFleetSettings(const NodeSettings& settings) {
  fleet::FleetSettings fixed;
  fixed.node_name = settings.name;
  fixed.ip = settings.ip;
  fixed.zone = settings.zone;
  fixed.region = settings.region;
  fixed.incarnation = fleet::MakeIncarnation(
      WallNow().time_since_epoch().count(), std::random_device{}());
  for (const Endpoint& seed : settings.seeds) {
    fixed.seed_ips.push_back(seed.host);
  }
  const auto has = [&](const char* duty) {
    return std::find(settings.duties.begin(), settings.duties.end(), duty) !=
           settings.duties.end();
  };
  if (has("usage")) {
    fixed.usage_window = settings.bounds.usage_window;
    fixed.usage_late = settings.bounds.usage_late;
  }
  fixed.orders_servers = has("scale");
  // A lease outlasts the bound on alternating holders; renewals and reads
  // follow from it.
  const Duration lease = settings.bounds.lease;
  fixed.lease_timing.lease_time = lease + lease / 5;
  fixed.lease_timing.holder_margin = lease / 10;
  fixed.lease_timing.renew_period = lease / 3;
  fixed.lease_timing.watch_period = lease / 2;
  fixed.lease_timing.order_bound = std::chrono::seconds(1);
  return fixed;
}

std::string_view QueryValue(std::string_view target, std::string_view name) {
  size_t start = target.find('?');
  while (start != std::string_view::npos) {
    start += 1;
    const size_t end = std::min(target.find('&', start), target.size());
    const std::string_view pair = target.substr(start, end - start);
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
    start = end < target.size() ? end : std::string_view::npos;
  }
  return {};
}

/** Whole number in a query, 0 if absent or unreadable. */
uint64_t QueryNumber(std::string_view target, std::string_view name) {
  const std::string_view text = QueryValue(target, name);
  uint64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() ? number : 0;
}

std::string_view PathOf(const httpio::InboundRequest& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

}  // namespace

void SimpleHandler::OnRequest(
    const std::shared_ptr<httpio::ServerConnection>& connection,
    httpio::InboundRequest request) {
  const SimpleAnswer answered = this->answer(request);
  httpio::Fields fields;
  if (!answered.content_type.empty()) {
    fields.emplace_back("Content-Type", answered.content_type);
  }
  connection->Send(httpio::MakeResponse(answered.status, fields, answered.body,
                                        request.keep_alive));
  connection->EndResponse(request.keep_alive);
}

ControlLoop::ControlLoop(asio::io_context& event_loop,
                         const NodeSettings& node_settings,
                         fleet::Platform& node_platform,
                         ControlStateListener& traffic_side,
                         EventLog& event_log,
                         CounterRegistry& registry)
    : loop(event_loop),
      settings(node_settings),
      platform(node_platform),
      traffic(traffic_side),
      log(event_log),
      counters(registry),
      delay("control", event_log, registry),
      state(MakeFleetSettings(node_settings)),
      socket(event_loop),
      timer(event_loop) {}

ControlLoop::~ControlLoop() = default;

void ControlLoop::Listen(
    const std::optional<Endpoint>& address,
    SimpleAnswer (ControlLoop::*answer)(const httpio::InboundRequest&)) {
  if (!address) {
    return;
  }
  this->servers.push_back(std::make_unique<Server>(
      this->loop, *address,
      [this, answer](const httpio::InboundRequest& request) {
        return (this->*answer)(request);
      }));
}

void ControlLoop::Start() {
  this->Listen(this->settings.ready, &ControlLoop::AnswerReady);
  this->Listen(this->settings.directory, &ControlLoop::AnswerDirectory);
  this->Listen(this->settings.control, &ControlLoop::AnswerControl);
  this->Listen(this->settings.metrics, &ControlLoop::AnswerMetrics);
  const udp::endpoint address(asio::ip::make_address(this->settings.ip),
                              this->settings.peer_port);
  this->socket.open(udp::v4());
  this->socket.bind(address);
  this->socket.non_blocking(true);
  this->ReceiveDatagram();
  this->platform.Follow(
      [this](const fleet::Event& event) { this->Handle(event); });
  if (!this->settings.first_start) {
    this->platform.ReadSaved(
        [this](const fleet::Event& event) { this->Handle(event); });
  }
  this->Tick();
}

void ControlLoop::Handle(const fleet::Event& event) {
  std::vector<fleet::Effect> effects;
  fleet::Reduce(this->state, event, BootClock::now(), effects);
  for (const fleet::Effect& effect : effects) {
    this->Execute(effect);
  }
}

void ControlLoop::Execute(const fleet::Effect& effect) {
  const auto sink = [this](const fleet::Event& event) { this->Handle(event); };
  std::visit(
      Overloaded{
          [&](const fleet::PublishConfig& publish) {
            this->traffic.OnConfigPublished(publish.config);
          },
          [&](const fleet::PublishServers& publish) {
            this->traffic.OnServersPublished(publish.servers);
          },
          [&](const fleet::PublishPeers& publish) {
            this->traffic.OnPeersPublished(publish.summary);
          },
          [&](const fleet::SendToPeers& send) { this->Send(send); },
          [&](const fleet::FetchState& fetch) { this->Fetch(fetch); },
          [&](const fleet::FollowStore& follow) {
            this->platform.SetFollowing(follow);
          },
          [&](const fleet::LeaseCall& call) {
            this->platform.CallLease(call.call, sink);
          },
          [&](const fleet::FixUsage& usage) {
            this->platform.Fix(usage, sink);
          },
          [&](const fleet::SendUsage& usage) {
            this->platform.Send(usage, sink);
          },
          [&](const fleet::OrderServers& order) {
            this->platform.Order(order, sink);
          },
          [&](const fleet::EndDutyCalls&) { this->platform.EndDutyCalls(); },
          [&](const fleet::SaveProgress& progress) {
            this->platform.Save(progress);
          },
          [&](const fleet::ReadProgress&) { this->platform.ReadSaved(sink); },
          [&](const fleet::RestoreQuotas& quotas) {
            this->traffic.OnQuotasRestored(quotas.levels, quotas.age);
          },
          [&](const fleet::LogChange& change) {
            this->log.Write(
                EventLevel::kInfo, change.event,
                {{"detail", change.detail}, {"revision", change.revision}});
          },
      },
      effect);
}

void ControlLoop::Send(const fleet::SendToPeers& send) {
  const std::string bytes = EncodePeerMessage(send.message);
  for (const std::string& ip : send.ips) {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(ip, error);
    if (error) {
      this->counters.Get("peer_addresses_unreadable_total").Add();
      continue;
    }
    this->socket.send_to(asio::buffer(bytes),
                         udp::endpoint(address, this->settings.peer_port), 0,
                         error);
    this->counters
        .Get("peer_datagrams_sent_total",
             error ? "result=\"failed\"" : "result=\"sent\"")
        .Add();
  }
}

void ControlLoop::ReceiveDatagram() {
  this->socket.async_receive_from(
      asio::buffer(this->datagram), this->sender,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          auto message = DecodePeerMessage({this->datagram.data(), size});
          if (message) {
            this->Handle(fleet::PeerHeard{std::move(*message)});
          } else {
            this->counters.Get("peer_datagrams_unreadable_total").Add();
          }
        }
        this->ReceiveDatagram();
      });
}

void ControlLoop::Fetch(const fleet::FetchState& fetch) {
  if (!this->settings.control) {
    this->Handle(fleet::FetchEnded{fetch.ip, false});
    return;
  }
  auto& channel = this->fetchers[fetch.ip];
  if (!channel) {
    channel = std::make_unique<httpio::HttpChannel>(
        this->loop, Endpoint{fetch.ip, this->settings.control->port});
  }
  httpio::HttpCall call;
  call.method = "GET";
  call.target = std::string(kStatePath) +
                "?config=" + std::to_string(fetch.config_revision) +
                "&servers=" + std::to_string(fetch.servers_revision);
  call.timeout = kFetchTimeout;
  channel->Call(
      std::move(call), [this, ip = fetch.ip](const httpio::HttpResult& result) {
        const auto fetched = result.head && result.head->status == 200
                                 ? DecodePeerState(result.body)
                                 : std::nullopt;
        if (fetched) {
          const auto text = Decompress(fetched->config_text);
          auto config = text ? this->platform.DecodeConfig(*text) : nullptr;
          if (config) {
            this->Handle(fleet::ConfigRead{fetched->config_revision,
                                           std::move(config), *text});
          }
          if (fetched->servers_known && !fetched->complete) {
            this->Handle(fleet::ServersPatched{
                fetched->base, fetched->servers_revision, fetched->changes});
          } else if (fetched->servers_known) {
            this->Handle(fleet::ServersRead{fetched->servers_revision,
                                            fetched->servers, true});
          }
        }
        this->counters
            .Get("peer_state_fetches_total",
                 fetched ? "result=\"ok\"" : "result=\"failed\"")
            .Add();
        this->Handle(fleet::FetchEnded{ip, fetched.has_value()});
      });
}

void ControlLoop::Tick() {
  this->delay.Observe(BootClock::now());
  this->Handle(fleet::Tick{WallNow().time_since_epoch().count()});
  const TimePoint now = BootClock::now();
  for (const auto& server : this->servers) {
    server->listener.CheckTime(now);
  }
  this->delay.Expect(BootClock::now() + fleet::kTickPeriod);
  this->timer.expires_after(fleet::kTickPeriod);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

SimpleAnswer ControlLoop::AnswerReady(const httpio::InboundRequest& request) {
  if (PathOf(request) != kReadyPath) {
    return {404, "", ""};
  }
  return {fleet::IsReady(this->state) ? 200U : 503U, "", ""};
}

SimpleAnswer ControlLoop::AnswerDirectory(
    const httpio::InboundRequest& request) {
  if (PathOf(request) != kResolvePath) {
    return {404, "", ""};
  }
  const std::string_view region = QueryValue(request.target, "region");
  const TimePoint now = BootClock::now();
  double ttl = std::min(kDirectoryTtl, this->settings.bounds.directory_ttl);
  std::vector<std::string> ips =
      fleet::EntryAddresses(this->state, region, now);
  if (ips.empty()) {
    ips = fleet::LastLeavers(this->state, now);
    ttl = std::min(kLeaversTtl, ttl);
  }
  if (ips.empty() || !this->settings.clients) {
    return {503, "", ""};
  }
  nlohmann::json addresses = nlohmann::json::array();
  for (const std::string& ip : ips) {
    addresses.push_back(ToString(Endpoint{ip, this->settings.clients->port}));
  }
  const nlohmann::json body = {{"addresses", addresses}, {"ttl_s", ttl}};
  return {200, "application/json", body.dump()};
}

SimpleAnswer ControlLoop::AnswerControl(const httpio::InboundRequest& request) {
  if (PathOf(request) == kStatePath) {
    const PeerState told =
        MakePeerState(this->state, QueryNumber(request.target, "config"),
                      QueryNumber(request.target, "servers"));
    return {200, "application/octet-stream", EncodePeerState(told)};
  }
  return {404, "", ""};
}

SimpleAnswer ControlLoop::AnswerMetrics(const httpio::InboundRequest& request) {
  if (PathOf(request) == "/metrics") {
    return {200, "text/plain; version=0.0.4", this->counters.RenderText()};
  }
  if (PathOf(request) == "/state") {
    return {200, "application/json", this->DumpState()};
  }
  return {404, "", ""};
}

std::string ControlLoop::DumpState() const {
  const TimePoint now = BootClock::now();
  nlohmann::ordered_json dump;
  dump["node"] = this->settings.name;
  dump["ready"] = fleet::IsReady(this->state);
  dump["leaving"] = this->state.leaving;
  dump["configVersion"] = this->state.config ? this->state.config->version : 0;
  dump["configRevision"] = this->state.config_revision;
  dump["serversRevision"] = this->state.servers_revision;
  dump["storeReachable"] = this->state.store_reachable;
  for (const auto& [id, server] : this->state.servers) {
    dump["servers"][id] = {{"service", server.service},
                           {"zone", server.zone},
                           {"draining", server.draining},
                           {"reclaimable", server.reclaimable}};
  }
  for (const auto& [ip, entry] : this->state.peers.All()) {
    dump["nodes"][ip] = {
        {"name", entry.status.name},
        {"ready", entry.status.ready},
        {"silentMs", std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - entry.heard)
                         .count()}};
  }
  return dump.dump();
}

}  // namespace boragewharf::node
