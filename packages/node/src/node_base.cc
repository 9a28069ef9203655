/**
 * @file node_base.cc
 * Startup, signal handling and graceful shutdown of a node.
 */
#include "node/node_base.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include "base/result_func.h"
#include "base/scope_guard.h"
#include "serving/crash_evidence_func.h"

namespace boragewharf::node {
namespace {

namespace asio = boost::asio;

/** Period of reports from the traffic loop to the control loop. */
constexpr std::chrono::milliseconds kReportPeriod(200);

/** Time from the start of the shutdown until idle connections are closed. By
 * then, clients have learned that the node is no longer in the directory. */
constexpr std::chrono::milliseconds kCloseIdleAfter(1500);

/** Fraction of the grace period during which even an idle node keeps serving:
 * until clients have read the directory again. Its successor starts when it
 * ends, and while all nodes stop, none is ready before. */
constexpr double kMinServingShare = 0.3;

/** Maximum exit margin; applies to long grace periods. */
constexpr std::chrono::milliseconds kMaxExitMargin(300);

/** For a short grace period, the exit margin is the period divided by this. */
constexpr int kExitMarginDivisor = 12;

/** Requests still without a response are answered this long before the process
 * exits, and its connections are closed within this time; allows for delayed
 * ticks. */
constexpr std::chrono::milliseconds kFinalAnswerTime =
    2 * relay::TrafficCore::kTickPeriod;

/** Ticks between the start of the exit and its end. With one, a loop that was
 * blocked all the time would not have read the requests that wait for it. */
constexpr uint32_t kMinExitTicks = 2;

/** Time between the exit of the process and the end of the grace period. */
Duration ExitMargin(Duration grace) {
  return std::clamp<Duration>(grace / kExitMarginDivisor, kFinalAnswerTime,
                              kMaxExitMargin);
}

/** Limits of the time for which the exit waits for a reader of the log. The
 * lower one is a part of the exit margin; the upper one keeps a reader that has
 * stalled from delaying the start of the successor. */
constexpr std::chrono::milliseconds kMinLogFlush(50);
constexpr std::chrono::milliseconds kMaxLogFlush(500);

/** Period of checks of the settings file, which may change without a SIGHUP. */
constexpr std::chrono::seconds kSettingsCheckPeriod(2);

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
  bounds.rollout = settings.bounds.rollout;
  return bounds;
}

}  // namespace

Node::Node(NodeSettings node_settings,
           std::string path,
           const PlatformFactory& make_platform,
           const relay::RequestCodec& wire)
    : settings(std::move(node_settings)),
      settings_path(std::move(path)),
      log(MakeStdoutEventLog(settings.name,
                             settings.log_lines_per_second,
                             counters)),
      control_guard("control", *log, counters),
      traffic_guard("traffic", *log, counters),
      traffic_delay_monitor("traffic", *log, counters),
      platform(make_platform(control_loop, *log, counters)),
      settings_timer(control_loop) {
  const relay::NodeLocation place{this->settings.zone, this->settings.region,
                                  this->settings.zone_regions};
  this->traffic.emplace(this->traffic_loop, place,
                        MakeTrafficBounds(this->settings), wire, *this->log,
                        this->counters);
  ControlStateListener& listener = *this;
  this->control.emplace(this->control_loop, this->settings, *this->platform,
                        listener, *this->log, this->counters);
  this->stream_socket.emplace(
      this->traffic_loop, this->traffic_guard, this->counters,
      [this](uint32_t sender, const serving::StreamMessage& message) {
        this->traffic->OnStreamMessage(sender, message);
      });
  this->traffic->SetStreamLink(*this);
  this->traffic_timer.emplace(this->traffic_loop);
}

Node::~Node() = default;

bool Node::Run() {
  const ScopeGuard flush([this] { this->FlushLog(); });
  std::signal(SIGPIPE, SIG_IGN);
  // First, so that the time of a signal during the start is known.
  this->signals.Start([this](int number, TimePoint received) {
    this->control_guard.Call("signal",
                             [&] { this->OnSignal(number, received); });
  });
  try {
    this->control->Start();
    this->stream_socket->Start(this->settings.ip, this->settings.StreamPort());
    if (this->settings.clients) {
      this->client_listener.emplace(this->traffic_loop, *this->settings.clients,
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
  this->last_settings_text = ReadFile(this->settings_path);
  this->CheckSettingsFile();
  this->TickTraffic();
  std::thread traffic_thread(
      [this] { RunGuarded(this->traffic_loop, this->traffic_guard); });
  RunGuarded(this->control_loop, this->control_guard);
  this->traffic_loop.stop();
  traffic_thread.join();
  this->log->Write(EventLevel::kInfo, "stop",
                   {{"in_progress", this->in_progress_at_end}});
  return true;
}

void Node::FlushLog() {
  Duration limit = kMaxLogFlush;
  if (this->shutdown_started) {
    const Duration left = *this->shutdown_started +
                          this->settings.bounds.grace - BootClock::now();
    limit =
        std::clamp<Duration>(left - kMinLogFlush, kMinLogFlush, kMaxLogFlush);
  }
  this->log->Flush(limit);
}

template <class Handler>
void Node::PostToTraffic(const char* source, Handler handler) {
  asio::post(this->traffic_loop,
             [this, source, handler = std::move(handler)]() mutable {
               this->traffic_guard.Call(source, handler);
             });
}

void Node::OnConfigPublished(
    std::shared_ptr<const serving::ServingConfig> config) {
  this->PostToTraffic("config", [this, config = std::move(config)]() mutable {
    httpio::ConnectionLimits limits;
    limits.max_header_bytes = config->limits.max_header_bytes;
    limits.max_body_bytes = config->limits.max_body_bytes;
    limits.header_timeout = config->limits.header_timeout;
    limits.idle_timeout = config->limits.idle_timeout;
    if (this->client_listener) {
      this->client_listener->SetLimits(limits);
    }
    this->traffic->SetConfig(std::move(config));
  });
}

void Node::OnServersPublished(
    std::shared_ptr<const serving::ServerSet> servers) {
  if (!this->pending_servers.Put(std::move(servers))) {
    return;
  }
  this->PostToTraffic("servers", [this] {
    if (const auto newest = this->pending_servers.Take()) {
      this->traffic->SetServers(*newest);
    }
  });
}

void Node::OnPeersPublished(serving::PeerSummary summary) {
  if (!this->pending_peers.Put(std::move(summary), serving::MergeSummary)) {
    return;
  }
  this->PostToTraffic("peers", [this] {
    if (const auto merged = this->pending_peers.Take()) {
      this->traffic->SetPeers(*merged);
    }
  });
}

void Node::OnQuotasRestored(const std::map<std::string, double>& levels,
                            Duration age) {
  this->PostToTraffic("quotas", [this, levels, age] {
    this->traffic->RestoreQuotas(levels, age);
  });
}

void Node::OnBlockedPartsRestored(
    const std::vector<serving::BlockedPart>& blocked) {
  serving::CrashEvidence saved;
  saved.blocked = blocked;
  this->PostToTraffic("blocked_parts",
                      [this, evidence = std::move(saved)]() mutable {
                        serving::SetTimes(evidence, BootClock::now());
                        this->traffic->MergeCrashEvidence(evidence);
                      });
}

void Node::OnSuspectsRestored(const serving::SuspectReport& suspects) {
  this->PostToTraffic("suspects", [this, saved = suspects]() mutable {
    const TimePoint now = BootClock::now();
    serving::SetTimes(saved, now);
    this->traffic->MergeSuspects(saved, now);
  });
}

void Node::OnStreamsRestored(const fleet::RestoreStreams& restored) {
  this->PostToTraffic("streams", [this, restored] {
    this->traffic->RestoreStreams(restored.saved, restored.asked);
  });
}

void Node::OnStreamSaveEnded(const fleet::EndStreamSave& ended) {
  this->PostToTraffic("stream_save", [this, ended] {
    this->traffic->EndStreamSave(ended.number, ended.saved);
  });
}

void Node::OnListConfirmed(const fleet::ReportListConfirmed& confirmed) {
  // After the list, which was posted before.
  this->PostToTraffic("list_confirmed", [this, asked = confirmed.asked] {
    this->traffic->OnListConfirmed(asked);
  });
}

void Node::Send(uint32_t ip, const serving::StreamMessage& message) {
  this->stream_socket->Send(ip, message);
}

void Node::ConfirmServerList(bool begin_to_watch) {
  asio::post(this->control_loop, [this, begin_to_watch] {
    this->control->Handle(
        fleet::StreamEvent{fleet::ListConfirmationWanted{begin_to_watch}});
  });
}

void Node::SaveStreams(TimePoint now) {
  if (this->traffic->TakeStreamRestoreWanted()) {
    asio::post(this->control_loop, [this] {
      this->control->Handle(fleet::StreamEvent{fleet::StreamRestoreWanted{}});
    });
  }
  auto save = this->traffic->TakeStreamSave(now);
  if (!save) {
    return;
  }
  asio::post(this->control_loop, [this, wanted = std::move(*save)]() mutable {
    this->control->Handle(
        fleet::StreamEvent{fleet::StreamSaveWanted{std::move(wanted)}});
  });
}

void Node::OnSignal(int number, TimePoint received) {
  if (number == SIGHUP) {
    asio::post(this->control_loop, [this] {
      this->control_guard.Call("reload", [&] { this->ReloadSettings(); });
    });
    return;
  }
  this->BeginShutdown(received);
}

void Node::ReloadSettings() {
  std::vector<JsonFault> faults;
  const std::string text = ReadFile(this->settings_path);
  this->last_settings_text = text;
  const auto new_settings = ParseNodeSettings(text, faults);
  if (!new_settings) {
    this->log->Write(EventLevel::kError, "reload_refused",
                     {{"faults", ToString(faults)}});
    return;
  }
  // Addresses and bounds cannot change while the process runs.
  this->log->Write(
      EventLevel::kInfo, "reload",
      {{"needs_restart", new_settings->ip != this->settings.ip ||
                             new_settings->store != this->settings.store}});
}

void Node::CheckSettingsFile() {
  this->settings_timer.expires_after(kSettingsCheckPeriod);
  this->settings_timer.async_wait(
      [this](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        this->control_guard.Call("settings", [&] {
          if (ReadFile(this->settings_path) != this->last_settings_text) {
            this->ReloadSettings();
          }
        });
        this->CheckSettingsFile();
      });
}

void Node::BeginShutdown(TimePoint received) {
  this->log->Write(EventLevel::kInfo, "leaving",
                   {{"grace_ms", this->settings.bounds.grace.count()}});
  // Neither loop waits for the other, which may be late.
  asio::post(this->control_loop, [this, received] {
    this->control_guard.Call(
        "stop", [&] { this->control->Handle(fleet::StopRequested{received}); });
  });
  this->PostToTraffic("stop", [this, received] {
    if (!this->shutdown_started) {
      this->shutdown_started = received;
      const Duration grace = this->settings.bounds.grace;
      this->traffic->SetShutdownTime(received + grace - ExitMargin(grace) -
                                     kFinalAnswerTime);
    }
  });
}

void Node::BeginExit(TimePoint now) {
  this->exit_started = now;
  // Requests that were read but not handled yet are rejected.
  this->traffic->SetShutdownTime(now);
  if (this->client_listener) {
    this->client_listener->StopAccepting();
    this->client_listener->CloseIdle();
  }
}

void Node::TickTraffic() {
  const TimePoint now = BootClock::now();
  this->traffic_delay_monitor.Observe(now);
  this->traffic_guard.Call("traffic_time",
                           [&] { this->traffic->CheckTime(now); });
  this->traffic_guard.Call("client_time", [&] {
    if (this->client_listener) {
      this->client_listener->CheckTime(now);
    }
  });
  this->traffic_guard.Call("stream_save", [&] { this->SaveStreams(now); });
  if (now >= this->next_report_time) {
    this->next_report_time = now + kReportPeriod;
    this->traffic_guard.Call("traffic_report", [&] {
      if (this->pending_report.Put(this->traffic->Report(now))) {
        asio::post(this->control_loop, [this] {
          if (auto report = this->pending_report.Take()) {
            this->control->Handle(fleet::TrafficReported{std::move(*report)});
          }
        });
      }
    });
  }
  if (this->shutdown_started) {
    const Duration elapsed = now - *this->shutdown_started;
    const Duration grace = this->settings.bounds.grace;
    if (this->client_listener && elapsed > kCloseIdleAfter) {
      this->client_listener->CloseIdle();
    }
    const bool idle = this->traffic->InProgress() == 0 &&
                      (!this->client_listener ||
                       this->client_listener->BusyConnections() == 0) &&
                      elapsed > std::chrono::duration_cast<Duration>(
                                    grace * kMinServingShare);
    if (this->exit_started) {
      this->exit_ticks += 1;
    } else if (idle || elapsed > grace - ExitMargin(grace)) {
      this->BeginExit(now);
    }
    const bool closed =
        !this->client_listener || this->client_listener->Connections() == 0;
    if (this->exit_started &&
        (closed || (this->exit_ticks >= kMinExitTicks &&
                    now - *this->exit_started >= kFinalAnswerTime))) {
      this->in_progress_at_end = this->traffic->InProgress();
      this->traffic_guard.Call("traffic_end",
                               [&] { this->traffic->EndRequests(); });
      this->control_loop.stop();
      return;
    }
  }
  this->traffic_delay_monitor.SetDue(BootClock::now() +
                                     relay::TrafficCore::kTickPeriod);
  this->traffic_timer->expires_after(relay::TrafficCore::kTickPeriod);
  this->traffic_timer->async_wait(
      [this](const boost::system::error_code& error) {
        if (!error) {
          this->TickTraffic();
        }
      });
}

}  // namespace boragewharf::node
