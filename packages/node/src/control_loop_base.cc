/**
 * @file control_loop_base.cc
 * Effects, peer datagrams and HTTP endpoints of the control loop.
 */
#include "node/control_loop_base.h"

#include <algorithm>
#include <boost/core/demangle.hpp>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <typeinfo>

#include "base/time_type.h"
#include "fleet/state_order_func.h"
#include "node/peer_codec.h"
#include "rollout/rollout_func.h"

namespace boragewharf::node {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

/** TTL of a directory response in seconds; short, so that clients soon stop
 * using nodes that shut down. */
constexpr double kDirectoryTtl = 2.0;

/** TTL in seconds of a response that lists only nodes that are shutting down;
 * shorter, so that clients soon learn of the first restarted node. */
constexpr double kLeavingNodesTtl = 0.5;

/** Timeout for fetching the state of another node. */
constexpr std::chrono::milliseconds kFetchTimeout(1200);

/** Unsent responses to fetches above which further ones are refused. The other
 * nodes would wait for longer than it takes to ask another source. */
constexpr size_t kMaxUnsentFetchBytes = size_t{512} * 1024;

/** Unsent bytes of the control endpoint above which connections are ended. */
constexpr size_t kMaxControlBufferBytes = size_t{4} * 1024 * 1024;

/** Value of Content-Encoding of compressed states. */
constexpr char kCompressedEncoding[] = "deflate";

/** Path at which nodes fetch the state of each other. */
constexpr char kStatePath[] = "/v1/node-state";

/** Paths called by the platform (ready) and by clients (resolve). */
constexpr char kReadyPath[] = "/v1/ready";
constexpr char kResolvePath[] = "/v1/resolve";

/** Combines several lambdas into one visitor. */
template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

fleet::FleetSettings MakeFleetSettings(const NodeSettings& settings) {
  fleet::FleetSettings fleet_settings;
  fleet_settings.node_name = settings.name;
  fleet_settings.ip = settings.ip;
  fleet_settings.zone = settings.zone;
  fleet_settings.region = settings.region;
  fleet_settings.incarnation = fleet::MakeIncarnation(
      WallNow().time_since_epoch().count(), std::random_device{}());
  for (const Endpoint& seed : settings.seeds) {
    fleet_settings.seed_ips.push_back(seed.host);
  }
  const auto has_duty = [&](const char* duty) {
    return std::find(settings.duties.begin(), settings.duties.end(), duty) !=
           settings.duties.end();
  };
  if (has_duty("usage")) {
    fleet_settings.usage_window = settings.bounds.usage_window;
    fleet_settings.usage_late = settings.bounds.usage_late;
  }
  fleet_settings.first_start = settings.first_start;
  fleet_settings.rollout_bounds = settings.bounds.rollout;
  fleet_settings.orders_servers = has_duty("scale");
  // Leases last longer than the configured minimum, which limits how often the
  // holder may change. The other periods are derived from it.
  const Duration lease = settings.bounds.lease;
  fleet_settings.lease_timing.lease_time = lease + lease / 5;
  fleet_settings.lease_timing.expiry_margin = lease / 10;
  fleet_settings.lease_timing.renew_period = lease / 3;
  fleet_settings.lease_timing.watch_period = lease / 2;
  fleet_settings.lease_timing.order_lifetime = std::chrono::seconds(1);
  return fleet_settings;
}

/** Returns the value of a query parameter, or an empty string. */
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

/** Returns an unsigned integer query parameter, or 0 if missing or invalid. */
uint64_t QueryNumber(std::string_view target, std::string_view name) {
  const std::string_view text = QueryValue(target, name);
  uint64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() ? number : 0;
}

/** State that a node has, as it states in a fetch. Earlier versions state no
 * eras. */
KnownState KnownStateOf(std::string_view target) {
  KnownState known;
  known.config_revision = QueryNumber(target, "config");
  known.servers_revision = QueryNumber(target, "servers");
  known.has_eras = !QueryValue(target, "era").empty();
  known.config_version = QueryNumber(target, "version");
  known.config_era = QueryNumber(target, "config_era");
  known.servers_era = QueryNumber(target, "era");
  return known;
}

/** Text of a JSON value. Names that other nodes have told may have any bytes;
 * those that are not UTF-8 are replaced. */
template <class Json>
std::string DumpReplacing(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Name of the type of an event or effect. */
template <class Variant>
const std::string& TypeName(const Variant& value) {
  return std::visit(
      [](const auto& held) -> const std::string& {
        static const std::string kName =
            boost::core::demangle(typeid(held).name());
        return kName;
      },
      value);
}

/** The state in the response to a fetch; empty if there is none. */
std::optional<PeerState> DecodeFetched(const httpio::HttpResult& result) {
  if (!result.head || result.head->status != 200) {
    return std::nullopt;
  }
  if (httpio::FindField(result.head->fields, "Content-Encoding") !=
      kCompressedEncoding) {
    return DecodePeerState(result.body);
  }
  const auto body = Decompress(result.body);
  return body ? DecodePeerState(*body) : std::nullopt;
}

std::string_view PathOf(const httpio::InboundRequest& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

}  // namespace

void EndpointHandler::OnRequest(
    const std::shared_ptr<httpio::ServerConnection>& connection,
    httpio::InboundRequest request) {
  const EndpointResponse response = this->respond(request);
  httpio::Fields fields;
  if (!response.content_encoding.empty()) {
    fields.emplace_back("Content-Encoding", response.content_encoding);
  }
  if (!response.content_type.empty()) {
    fields.emplace_back("Content-Type", response.content_type);
  }
  connection->Send(httpio::MakeResponse(response.status, fields, response.body,
                                        request.keep_alive));
  connection->EndResponse(request.keep_alive);
}

ControlLoop::ControlLoop(asio::io_context& event_loop,
                         const NodeSettings& node_settings,
                         fleet::Platform& node_platform,
                         ControlStateListener& control_state_listener,
                         EventLog& event_log,
                         CounterRegistry& registry)
    : loop(event_loop),
      settings(node_settings),
      platform(node_platform),
      state_listener(control_state_listener),
      log(event_log),
      counters(registry),
      guard("control", event_log, registry),
      delay_monitor("control", event_log, registry),
      state(MakeFleetSettings(node_settings)),
      socket(event_loop),
      tick_timer(event_loop) {}

ControlLoop::~ControlLoop() = default;

void ControlLoop::Listen(
    const std::optional<Endpoint>& address,
    EndpointResponse (ControlLoop::*respond)(const httpio::InboundRequest&)) {
  if (!address) {
    return;
  }
  this->http_endpoints.push_back(std::make_unique<HttpEndpoint>(
      this->loop, *address,
      [this, respond](const httpio::InboundRequest& request) {
        EndpointResponse response{500, "", ""};
        this->guard.Call("endpoint",
                         [&] { response = (this->*respond)(request); });
        return response;
      }));
}

void ControlLoop::Start() {
  this->Listen(this->settings.ready, &ControlLoop::HandleReady);
  this->Listen(this->settings.directory, &ControlLoop::HandleDirectory);
  this->Listen(this->settings.control, &ControlLoop::HandleControl);
  if (this->settings.control) {
    this->control_listener = &this->http_endpoints.back()->listener;
    httpio::ConnectionLimits limits;
    limits.max_buffered_bytes = kMaxControlBufferBytes;
    this->control_listener->SetLimits(limits);
  }
  this->Listen(this->settings.metrics, &ControlLoop::HandleMetrics);
  const udp::endpoint address(asio::ip::make_address(this->settings.ip),
                              this->settings.peer_port);
  this->socket.open(udp::v4());
  this->socket.bind(address);
  this->socket.non_blocking(true);
  this->ReceiveDatagram();
  this->platform.Follow(
      [this](const fleet::Event& event) { this->Handle(event); });
  if (!this->settings.first_start) {
    this->Handle(fleet::StreamEvent{fleet::StreamRestoreWanted{}});
  }
  this->Tick();
}

void ControlLoop::Handle(const fleet::Event& event) {
  std::vector<fleet::Effect> effects;
  this->guard.Call(TypeName(event), [&] {
    fleet::Reduce(this->state, event, BootClock::now(), effects);
  });
  for (const fleet::Effect& effect : effects) {
    this->guard.Call(TypeName(effect), [&] { this->Execute(effect); });
  }
}

void ControlLoop::Execute(const fleet::Effect& effect) {
  const auto handle_event = [this](const fleet::Event& event) {
    this->Handle(event);
  };
  std::visit(
      Overloaded{
          [&](const fleet::PublishConfig& publish) {
            this->state_listener.OnConfigPublished(publish.config);
          },
          [&](const fleet::PublishServers& publish) {
            this->state_listener.OnServersPublished(publish.servers);
          },
          [&](const fleet::PublishPeers& publish) {
            this->state_listener.OnPeersPublished(publish.summary);
          },
          [&](const fleet::SendToPeers& send) { this->Send(send); },
          [&](const fleet::FetchState& fetch) { this->Fetch(fetch); },
          [&](const fleet::FollowStore& follow) {
            this->platform.SetFollowing(follow);
          },
          [&](const fleet::LeaseCall& call) {
            this->platform.CallLease(call.call, handle_event);
          },
          [&](const fleet::FixUsage& usage) {
            this->platform.Fix(usage, handle_event);
          },
          [&](const fleet::SendUsage& usage) {
            this->platform.Send(usage, handle_event);
          },
          [&](const fleet::OrderServers& order) {
            this->platform.Order(order, handle_event);
          },
          [&](const fleet::WriteRolloutStatus& status) {
            this->platform.WriteRollout(status, handle_event);
          },
          [&](const fleet::EndDutyCalls&) { this->platform.EndDutyCalls(); },
          [&](const fleet::SaveProgress& progress) {
            this->platform.Save(progress);
          },
          [&](const fleet::ReadProgress&) {
            this->platform.ReadSaved(handle_event);
          },
          [&](const fleet::RestoreQuotas& quotas) {
            this->state_listener.OnQuotasRestored(quotas.levels, quotas.age);
          },
          [&](const fleet::RestoreBlockedParts& restore) {
            this->state_listener.OnBlockedPartsRestored(restore.blocked);
          },
          [&](const fleet::RestoreSuspects& restore) {
            this->state_listener.OnSuspectsRestored(restore.suspects);
          },
          [&](const fleet::StreamEffect& streams) { this->Execute(streams); },
          [&](const fleet::LogChange& change) {
            if (change.era) {
              this->log.Write(EventLevel::kInfo, change.event,
                              {{"detail", change.detail},
                               {"revision", change.revision},
                               {"era", *change.era}});
              return;
            }
            this->log.Write(
                EventLevel::kInfo, change.event,
                {{"detail", change.detail}, {"revision", change.revision}});
          },
      },
      effect);
}

void ControlLoop::Execute(const fleet::StreamEffect& effect) {
  const auto handle_event = [this](const fleet::Event& event) {
    this->Handle(event);
  };
  std::visit(Overloaded{
                 [&](const fleet::ReadStreams& wanted) {
                   this->platform.Read(wanted, handle_event);
                 },
                 [&](const fleet::SaveStreams& save) {
                   this->platform.Save(save, handle_event);
                 },
                 [&](const fleet::RestoreStreams& restore) {
                   this->state_listener.OnStreamsRestored(restore);
                 },
                 [&](const fleet::EndStreamSave& ended) {
                   this->state_listener.OnStreamSaveEnded(ended);
                 },
                 [&](const fleet::ConfirmList& wanted) {
                   this->platform.Confirm(wanted, handle_event);
                 },
                 [&](const fleet::ReportListConfirmed& confirmed) {
                   this->state_listener.OnListConfirmed(confirmed);
                 },
             },
             effect.effect);
}

void ControlLoop::Send(const fleet::SendToPeers& send) {
  const std::string bytes = EncodePeerMessage(send.message, send.compressed);
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
    this->counters.Get("peer_datagram_bytes_sent_total")
        .Add(static_cast<int64_t>(bytes.size()));
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
          this->guard.Call("datagram", [&] {
            this->OnDatagram({this->datagram.data(), size});
          });
        }
        this->ReceiveDatagram();
      });
}

void ControlLoop::OnDatagram(std::string_view bytes) {
  auto message = DecodePeerMessage(bytes);
  if (!message) {
    this->counters.Get("peer_datagrams_unreadable_total").Add();
    return;
  }
  this->Handle(fleet::PeerMessageReceived{std::move(*message)});
}

void ControlLoop::Fetch(const fleet::FetchState& fetch) {
  if (!this->settings.control) {
    this->Handle(fleet::FetchEnded{fetch.ip, false});
    return;
  }
  auto& channel = this->fetch_channels[fetch.ip];
  if (!channel) {
    channel = std::make_unique<httpio::HttpChannel>(
        this->loop, Endpoint{fetch.ip, this->settings.control->port});
  }
  httpio::HttpCall call;
  call.method = "GET";
  call.target = std::string(kStatePath) +
                "?config=" + std::to_string(fetch.config_revision) +
                "&servers=" + std::to_string(fetch.servers_revision) +
                "&version=" + std::to_string(fetch.config_version) +
                "&config_era=" + std::to_string(fetch.config_era) +
                "&era=" + std::to_string(fetch.servers_era) + "&compressed=1";
  call.timeout = kFetchTimeout;
  channel->Call(
      std::move(call), [this, ip = fetch.ip](const httpio::HttpResult& result) {
        bool fetched = false;
        this->guard.Call("peer_state",
                         [&] { fetched = this->ApplyFetched(result); });
        const bool refused = result.head && result.head->status == 503;
        this->counters
            .Get("peer_state_fetches_total", fetched   ? "result=\"ok\""
                                             : refused ? "result=\"refused\""
                                                       : "result=\"failed\"")
            .Add();
        this->Handle(fleet::FetchEnded{ip, fetched, refused});
      });
}

bool ControlLoop::ApplyFetched(const httpio::HttpResult& result) {
  const auto fetched = DecodeFetched(result);
  if (!fetched) {
    return false;
  }
  const auto text = Decompress(fetched->config_text);
  auto config = text ? this->platform.DecodeConfig(*text) : nullptr;
  if (config) {
    this->Handle(fleet::ConfigRead{fetched->config_revision, std::move(config),
                                   *text, fetched->config_era});
  }
  if (fetched->servers_known && !fetched->full_list) {
    this->Handle(fleet::ServersPatched{fetched->base_revision,
                                       fetched->servers_revision,
                                       fetched->changes, fetched->servers_era});
  } else if (fetched->servers_known) {
    this->Handle(fleet::ServersRead{fetched->servers_revision, fetched->servers,
                                    true, fetched->servers_era,
                                    fetched->lapsed});
  }
  return true;
}

void ControlLoop::Tick() {
  this->delay_monitor.Observe(BootClock::now());
  this->Handle(fleet::Tick{WallNow().time_since_epoch().count()});
  const TimePoint now = BootClock::now();
  for (const auto& endpoint : this->http_endpoints) {
    this->guard.Call("endpoint_time",
                     [&] { endpoint->listener.CheckTime(now); });
  }
  this->delay_monitor.SetDue(BootClock::now() + fleet::kTickPeriod);
  this->tick_timer.expires_after(fleet::kTickPeriod);
  this->tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

EndpointResponse ControlLoop::HandleReady(
    const httpio::InboundRequest& request) {
  if (PathOf(request) != kReadyPath) {
    return {404, "", ""};
  }
  return {fleet::IsReady(this->state) ? 200U : 503U, "", ""};
}

EndpointResponse ControlLoop::HandleDirectory(
    const httpio::InboundRequest& request) {
  if (PathOf(request) != kResolvePath) {
    return {404, "", ""};
  }
  const std::string_view region = QueryValue(request.target, "region");
  const TimePoint now = BootClock::now();
  double ttl = std::min(kDirectoryTtl, this->settings.bounds.directory_ttl);
  std::vector<std::string> ips =
      fleet::NodesForClient(this->state, region, now);
  if (ips.empty()) {
    ips = fleet::LastNodesToStop(this->state, now);
    ttl = std::min(kLeavingNodesTtl, ttl);
  }
  if (ips.empty() || !this->settings.clients) {
    return {503, "", ""};
  }
  nlohmann::json addresses = nlohmann::json::array();
  for (const std::string& ip : ips) {
    addresses.push_back(ToString(Endpoint{ip, this->settings.clients->port}));
  }
  const nlohmann::json body = {{"addresses", addresses}, {"ttl_s", ttl}};
  return {200, "application/json", DumpReplacing(body)};
}

EndpointResponse ControlLoop::HandleControl(
    const httpio::InboundRequest& request) {
  if (PathOf(request) == kStatePath) {
    return this->AnswerFetch(request);
  }
  return {404, "", ""};
}

EndpointResponse ControlLoop::AnswerFetch(
    const httpio::InboundRequest& request) {
  const bool has_unsent =
      this->control_listener != nullptr &&
      this->control_listener->BufferedBytes() > kMaxUnsentFetchBytes;
  if (has_unsent || !this->fetch_budget.MayAnswer(BootClock::now())) {
    this->counters.Get("peer_state_answers_total", "result=\"refused\"").Add();
    return {503, "", ""};
  }
  const KnownState known = KnownStateOf(request.target);
  const auto encode = [&] {
    return EncodePeerState(MakePeerState(this->state, known));
  };
  EndpointResponse response{200, "application/octet-stream", ""};
  if (QueryNumber(request.target, "compressed") == 0) {
    response.body = encode();
  } else {
    response.content_encoding = kCompressedEncoding;
    const bool with_config = NeedsConfig(this->state, known);
    const auto config = fleet::OrderOfConfig(this->state);
    const auto servers = fleet::ServersOrder(this->state);
    auto& cached = this->cached_list;
    if (!NeedsFullList(this->state, known)) {
      response.body = Compress(encode());
    } else if (!cached.body.empty() && cached.with_config == with_config &&
               cached.config == config && cached.servers == servers) {
      response.body = cached.body;
    } else {
      response.body = Compress(encode());
      cached = {config, servers, with_config, response.body};
    }
  }
  this->fetch_budget.Record(response.body.size());
  this->counters.Get("peer_state_answers_total", "result=\"ok\"").Add();
  this->counters.Get("peer_state_bytes_sent_total")
      .Add(static_cast<int64_t>(response.body.size()));
  return response;
}

EndpointResponse ControlLoop::HandleMetrics(
    const httpio::InboundRequest& request) {
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
  dump["configEra"] = this->state.config_era;
  dump["serversRevision"] = this->state.servers_revision;
  dump["serversEra"] = this->state.servers_era;
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
                         now - entry.last_message_at)
                         .count()}};
  }
  for (const auto& decision : this->state.rollouts.Decisions()) {
    dump["rollouts"][decision.service] = {
        {"target", decision.target},
        {"phase", rollout::NameOf(decision.phase)},
        {"lease", decision.fencing},
        {"requestedMsAgo",
         std::chrono::duration_cast<std::chrono::milliseconds>(
             now - decision.requested)
             .count()},
        {"confirmedMsAgo",
         std::chrono::duration_cast<std::chrono::milliseconds>(
             now - decision.confirmed)
             .count()},
        {"banned", decision.banned}};
  }
  return DumpReplacing(dump);
}

}  // namespace boragewharf::node
