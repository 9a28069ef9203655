/**
 * @file front_end_base.cc
 * Start, drain and stop of the front end.
 */
#include "traffic/front_end_base.h"

#include <algorithm>
#include <string>

#include "base/result_func.h"

namespace boragewharf::traffic {

namespace {

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(100);

std::string ConnectionRefusal() {
  const std::string body =
      RefusalBody({ResultCode::kTooManyConnections, {}, std::nullopt});
  return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json"
         "\r\nConnection: close\r\nRetry-After: 1\r\nX-Request-Id: " +
         ToString(NewRequestId()) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

ConnectionBounds BoundsOf(const FrontEndOptions& options) {
  return {options.connect_timeout, options.silence_bound,
          options.max_idle_per_server};
}

}  // namespace

FrontEnd::FrontEnd(const FrontEndOptions& settings,
                   const FrontEndProviders& providers)
    : options(settings),
      counters(providers.registry),
      connections(BoundsOf(this->options)),
      context{this->options,     providers,       this->counters,
              this->connections, this->in_flight, this->snapshot_changed},
      streams([this](uint32_t count) {
        this->counters.open_streams.Set(count);
        this->context.providers.observations.SetOpenStreams(count);
      }),
      upstream(this->options.max_streams),
      completions(this->context, this->streams, this->upstream, this->active),
      keeper(this->context, this->streams),
      api(this->context, this->completions, this->active, this->draining),
      server(this->options, ConnectionRefusal(), [this] {
        this->counters.connections_refused.Add();
      }) {
  this->api.AddRoutes(this->server);
}

FrontEnd::~FrontEnd() {
  this->Stop();
}

uint16_t FrontEnd::Start() {
  const uint16_t port = this->server.Start();
  if (port != 0) {
    this->keeper.Start();
  }
  return port;
}

bool FrontEnd::Adopt(const StreamTransfer& transfer) {
  if (this->draining) {
    Fail(ResultCode::kPeerRefused, "draining");
    return false;
  }
  return this->completions.Adopt(transfer);
}

bool FrontEnd::Drain(std::optional<TimePoint> deadline) {
  this->draining = true;
  this->server.CloseAfterAnswers();
  if (!deadline) {
    return this->WaitIdle(TimePoint::max());
  }
  if (this->WaitIdle(*deadline - this->options.handover_margin)) {
    return true;
  }
  while (BootClock::now() < *deadline) {
    this->keeper.HandOverAll();
    // Callers are told in their streams; what no peer adopted is offered again.
    const TimePoint next = BootClock::now() + kDrainCheckInterval;
    if (this->WaitIdle(std::min(next, *deadline))) {
      return true;
    }
  }
  return false;
}

bool FrontEnd::WaitIdle(TimePoint until) {
  while (this->active.Get() > 0 || this->streams.Size() > 0) {
    const TimePoint now = BootClock::now();
    if (now >= until) {
      return false;
    }
    const Duration wait = std::min<Duration>(until - now, kDrainCheckInterval);
    this->active.WaitNone(wait);
    this->streams.WaitEmpty(wait);
  }
  return true;
}

void FrontEnd::Stop() {
  this->draining = true;
  for (const std::shared_ptr<Stream>& stream : this->streams.All()) {
    stream->Cancel();
  }
  this->server.StopAndJoin();
  this->keeper.Stop();
  this->upstream.Stop();
}

}  // namespace boragewharf::traffic
