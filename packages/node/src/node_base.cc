/**
 * @file node_base.cc
 * Start, signals and graceful shutdown of a node.
 */
#include "node/node_base.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include "base/result_func.h"

namespace boragewharf::node {
namespace {

namespace asio = boost::asio;

/** Time between reports of the traffic side to the control side. */
constexpr std::chrono::milliseconds kReportPeriod(200);

/** A leaving node closes idle connections after this: clients have learned
 * by then that it is not among the addresses any more. */
constexpr std::chrono::milliseconds kCloseIdleAfter(1500);

/** Part of the grace time for which a node stays though it is idle: clients
 * keep its address for a while. */
constexpr double kServeShare = 0.6;

/** Most that is left of the grace time when the process ends. */
constexpr std::chrono::milliseconds kExitMargin(300);

/** In a short grace time, this part of it is left. */
constexpr int kExitMarginPart = 12;

/** Requests without an answer are answered this long before the process ends;
 * covers the lateness of ticks. */
constexpr std::chrono::milliseconds kAnswerTime =
    2 * relay::TrafficCore::kTickPeriod;

Duration ExitMargin(Duration grace) {
  return std::clamp<Duration>(grace / kExitMarginPart, kAnswerTime,
                              kExitMargin);
}

/** Time between looks at the settings file, which may change unannounced. */
constexpr std::chrono::seconds kSettingsPeriod(2);

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

relay::TrafficBounds MakeTrafficBounds(const NodeSettings& settings) {
  relay::TrafficBounds bounds;
  bounds.retry_ratio = settings.bounds.retry_ratio;
  bounds.retry_extra = settings.bounds.retry_extra;
  bounds.retry_window = settings.bounds.retry_window;
  bounds.quota_slack = settings.bounds.quota_slack;
  bounds.usage_window = settings.bounds.usage_window;
  bounds.drain = settings.bounds.drain;
  bounds.grace = settings.bounds.grace;
  bounds.first_start = settings.first_start;
  return bounds;
}

}  // namespace

Node::Node(NodeSettings node_settings,
           std::string path,
           const PlatformFactory& make_platform,
           const relay::RequestWire& wire)
    : settings(std::move(node_settings)),
      settings_path(std::move(path)),
      log(MakeStdoutEventLog(settings.name,
                             settings.log_lines_per_second,
                             counters)),
      traffic_delay("traffic", *log, counters),
      platform(make_platform(control_loop, *log, counters)),
      signals(control_loop, SIGTERM, SIGINT, SIGHUP),
      settings_timer(control_loop) {
  const relay::NodePlace place{this->settings.zone, this->settings.region,
                               this->settings.zone_regions};
  this->traffic.emplace(this->traffic_loop, place,
                        MakeTrafficBounds(this->settings), wire, *this->log,
                        this->counters);
  ControlStateListener& traffic_side = *this;
  this->control.emplace(this->control_loop, this->settings, *this->platform,
                        traffic_side, *this->log, this->counters);
  this->traffic_timer.emplace(this->traffic_loop);
}

Node::~Node() = default;

bool Node::Run() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    this->control->Start();
    if (this->settings.clients) {
      this->clients.emplace(this->traffic_loop, *this->settings.clients,
                            *this->traffic);
    }
  } catch (const boost::system::system_error& error) {
    this->log->Write(EventLevel::kError, "start_failed",
                     {{"reason", error.what()}});
    return false;
  }
  this->log->Write(EventLevel::kInfo, "start",
                   {{"zone", this->settings.zone},
                    {"first_start", this->settings.first_start}});
  this->settings_text = ReadFile(this->settings_path);
  this->WaitForSignal();
  this->CheckSettingsFile();
  this->TickTraffic();
  std::thread traffic_thread([this] { this->traffic_loop.run(); });
  this->control_loop.run();
  this->traffic_loop.stop();
  traffic_thread.join();
  this->log->Write(EventLevel::kInfo, "stop",
                   {{"in_progress", this->traffic->InProgress()}});
  return true;
}

void Node::OnConfigPublished(
    std::shared_ptr<const serving::ServingConfig> config) {
  asio::post(this->traffic_loop, [this, config = std::move(config)]() mutable {
    httpio::ConnectionLimits limits;
    limits.max_header_bytes = config->limits.max_header_bytes;
    limits.max_body_bytes = config->limits.max_body_bytes;
    limits.header_timeout = config->limits.header_timeout;
    limits.idle_timeout = config->limits.idle_timeout;
    if (this->clients) {
      this->clients->SetLimits(limits);
    }
    this->traffic->SetConfig(std::move(config));
  });
}

void Node::OnServersPublished(
    std::shared_ptr<const serving::ServerSet> servers) {
  asio::post(this->traffic_loop, [this, servers = std::move(servers)] {
    this->traffic->SetServers(servers);
  });
}

void Node::OnPeersPublished(serving::PeerSummary summary) {
  asio::post(this->traffic_loop, [this, summary = std::move(summary)] {
    this->traffic->SetPeers(summary);
  });
}

void Node::OnQuotasRestored(const std::map<std::string, double>& levels,
                            Duration age) {
  asio::post(this->traffic_loop, [this, levels, age] {
    this->traffic->RestoreQuotas(levels, age);
  });
}

void Node::WaitForSignal() {
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int number) {
        if (error) {
          return;
        }
        if (number == SIGHUP) {
          this->Reload();
        } else {
          this->Leave();
        }
        this->WaitForSignal();
      });
}

void Node::Reload() {
  std::vector<JsonFault> faults;
  const std::string text = ReadFile(this->settings_path);
  this->settings_text = text;
  const auto next = ParseNodeSettings(text, faults);
  if (!next) {
    this->log->Write(EventLevel::kError, "reload_refused",
                     {{"faults", ToString(faults)}});
    return;
  }
  // Addresses and bounds are fixed for the life of a process.
  this->log->Write(
      EventLevel::kInfo, "reload",
      {{"needs_restart",
        next->ip != this->settings.ip || next->store != this->settings.store}});
}

void Node::CheckSettingsFile() {
  this->settings_timer.expires_after(kSettingsPeriod);
  this->settings_timer.async_wait([this](const boost::system::error_code& e) {
    if (e) {
      return;
    }
    if (ReadFile(this->settings_path) != this->settings_text) {
      this->Reload();
    }
    this->CheckSettingsFile();
  });
}

void Node::Leave() {
  this->log->Write(EventLevel::kInfo, "leaving",
                   {{"grace_ms", this->settings.bounds.grace.count()}});
  this->control->Handle(fleet::StopRequested{});
  asio::post(this->traffic_loop, [this] {
    if (!this->leaving_since) {
      this->leaving_since = BootClock::now();
      const Duration grace = this->settings.bounds.grace;
      this->traffic->SetLeaving(*this->leaving_since + grace -
                                ExitMargin(grace) - kAnswerTime);
    }
  });
}

void Node::TickTraffic() {
  const TimePoint now = BootClock::now();
  this->traffic_delay.Observe(now);
  this->traffic->CheckTime(now);
  if (this->clients) {
    this->clients->CheckTime(now);
  }
  if (now >= this->next_report) {
    this->next_report = now + kReportPeriod;
    asio::post(this->control_loop, [this, report = this->traffic->Report(now)] {
      this->control->Handle(fleet::TrafficReported{report});
    });
  }
  if (this->leaving_since) {
    const Duration passed = now - *this->leaving_since;
    const Duration grace = this->settings.bounds.grace;
    if (this->clients && passed > kCloseIdleAfter) {
      this->clients->CloseIdle();
    }
    const bool idle =
        this->traffic->InProgress() == 0 &&
        (!this->clients || this->clients->BusyConnections() == 0) &&
        passed > std::chrono::duration_cast<Duration>(grace * kServeShare);
    if (idle || passed > grace - ExitMargin(grace)) {
      // Refuses what arrives until the loops have stopped.
      this->traffic->SetLeaving(now);
      asio::post(this->control_loop, [this] { this->control_loop.stop(); });
      return;
    }
  }
  this->traffic_delay.Expect(BootClock::now() +
                             relay::TrafficCore::kTickPeriod);
  this->traffic_timer->expires_after(relay::TrafficCore::kTickPeriod);
  this->traffic_timer->async_wait([this](const boost::system::error_code& e) {
    if (!e) {
      this->TickTraffic();
    }
  });
}

}  // namespace boragewharf::node
