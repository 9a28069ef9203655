/**
 * @file platform_server.cc
 * HTTP interface of the platform stand-in.
 */
#include "platform_server.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace boragewharf::standin {

namespace {

constexpr char kCollection[] =
    R"(/apis/boragewharf\.dev/v1/namespaces/default/([a-z0-9-]+))";
constexpr char kObject[] =
    R"(/apis/boragewharf\.dev/v1/namespaces/default/([a-z0-9-]+)/([a-z0-9.-]+))";
constexpr size_t kControlThreads = 4;
constexpr int kBacklog = 1024;
// Closing the API waits this long for idle connections.
constexpr time_t kKeepAliveSeconds = 2;
constexpr std::chrono::milliseconds kPoll{20};
constexpr std::chrono::seconds kLongestHang{60};
constexpr std::chrono::seconds kDefaultWatch{30};
constexpr size_t kWeightChunk = 65'536;
constexpr size_t kMaxWeightBytes = 64'000'000;

void SetAnswer(httplib::Response& response,
               const Answer& answer,
               bool malformed) {
  response.status = answer.status;
  std::string text = answer.body.dump();
  if (malformed) {
    text.resize(text.size() / 2);
  }
  if (!answer.cut) {
    response.set_content(text, "application/json");
    return;
  }
  // The headers are sent, then the connection is closed before the body.
  response.set_content_provider(
      text.size(), "application/json",
      [](size_t, size_t, httplib::DataSink&) { return false; });
}

void Prepare(httplib::Server& server, size_t threads) {
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server.set_keep_alive_max_count(1'000'000);
  server.set_keep_alive_timeout(kKeepAliveSeconds);
  server.set_tcp_nodelay(true);
}

int64_t NumberParam(const httplib::Request& request,
                    const char* name,
                    int64_t fallback) {
  const std::string text = request.get_param_value(name);
  return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
}

uint16_t BindOrExit(WideServer& server, uint16_t port) {
  const int bound = server.Bind(port);
  if (bound <= 0) {
    std::fprintf(stderr, "platform_standin: cannot bind to port %d\n", port);
    std::exit(1);
  }
  return static_cast<uint16_t>(bound);
}

}  // namespace

int WideServer::Bind(uint16_t port) {
  int bound = port;
  if (port == 0) {
    bound = this->bind_to_any_port("127.0.0.1");
  } else if (!this->bind_to_port("127.0.0.1", port)) {
    return -1;
  }
  return ::listen(this->svr_sock_, kBacklog) == 0 ? bound : -1;
}

PlatformServer::PlatformServer(uint16_t wanted_api,
                               uint16_t wanted_control,
                               size_t api_threads)
    : threads(api_threads), api_port(wanted_api), control_port(wanted_control) {
  Prepare(this->control, kControlThreads);
  this->RouteControl();
  this->control_port = BindOrExit(this->control, this->control_port);
  this->control_thread =
      std::thread([this] { this->control.listen_after_bind(); });
  // The library ignores stop() until its server runs.
  httplib::Client("127.0.0.1", this->control_port).Get("/ready");
  const std::lock_guard lock(this->api_mutex);
  this->OpenApi();
}

PlatformServer::~PlatformServer() {
  this->closing = true;
  this->control.stop();
  this->control_thread.join();
  const std::lock_guard lock(this->api_mutex);
  this->CloseApi();
}

void PlatformServer::OpenApi() {
  if (this->api) {
    return;
  }
  this->api = std::make_unique<WideServer>();
  Prepare(*this->api, this->threads);
  this->RouteObjects(*this->api);
  this->RouteCloud(*this->api);
  this->api_port = BindOrExit(*this->api, this->api_port);
  httplib::Server* server = this->api.get();
  this->api_thread = std::thread([server] { server->listen_after_bind(); });
  // The library accepts connections before its threads have started.
  httplib::Client("127.0.0.1", this->api_port).Get("/ready");
}

void PlatformServer::CloseApi() {
  if (!this->api) {
    return;
  }
  this->api->stop();
  this->api_thread.join();
  this->api.reset();
}

Answer PlatformServer::Control(const std::string& patch) {
  Answer answer = this->state.Control(patch);
  const bool refuse = this->state.GetFaults().outage == "refuse";
  const std::lock_guard lock(this->api_mutex);
  if (refuse) {
    this->CloseApi();
  } else {
    this->OpenApi();
  }
  return answer;
}

bool PlatformServer::WaitForOutage(Response& response) {
  const Clock::time_point longest = Clock::now() + kLongestHang;
  while (!this->closing && this->state.GetFaults().outage == "hang" &&
         Clock::now() < longest) {
    std::this_thread::sleep_for(kPoll);
  }
  const Faults faults = this->state.GetFaults();
  // A hanging call that an outage ended is not applied.
  if (faults.outage == "none" && Clock::now() < longest && !this->closing) {
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.slow_ms));
    return false;
  }
  SetAnswer(
      response,
      {503,
       {{"kind", "Status"}, {"reason", "ServiceUnavailable"}, {"code", 503}}},
      false);
  return true;
}

void PlatformServer::Serve(Response& response,
                           const std::string& label,
                           bool is_write,
                           const std::function<Answer()>& call) {
  const std::optional<Answer> limited = this->state.Admit(label, is_write);
  if (this->WaitForOutage(response)) {
    return;
  }
  const bool malformed = this->state.GetFaults().answers == "malformed";
  SetAnswer(response, limited ? *limited : call(), !limited && malformed);
}

void PlatformServer::RouteObjects(httplib::Server& server) {
  server.Get(kCollection, [this](const Request& request, Response& response) {
    if (request.get_param_value("watch") == "true") {
      this->ServeWatch(request, response);
      return;
    }
    const std::string kind = request.matches[1];
    this->Serve(response, "list " + kind, false, [&] {
      return this->state.List(
          kind, static_cast<size_t>(NumberParam(request, "limit", 0)),
          request.get_param_value("continue"));
    });
  });
  server.Get(kObject, [this](const Request& request, Response& response) {
    const std::string kind = request.matches[1];
    this->Serve(response, "read " + kind, false,
                [&] { return this->state.Read(kind, request.matches[2]); });
  });
  server.Post(kCollection, [this](const Request& request, Response& response) {
    const std::string kind = request.matches[1];
    this->Serve(response, "create " + kind, true,
                [&] { return this->state.Create(kind, request.body); });
  });
  server.Put(kObject, [this](const Request& request, Response& response) {
    const std::string kind = request.matches[1];
    this->Serve(response, "update " + kind, true, [&] {
      return this->state.Update(kind, request.matches[2], request.body);
    });
  });
  server.Delete(kObject, [this](const Request& request, Response& response) {
    const std::string kind = request.matches[1];
    this->Serve(response, "remove " + kind, true, [&] {
      return this->state.Remove(kind, request.matches[2], request.body);
    });
  });
}

void PlatformServer::ServeWatch(const Request& request, Response& response) {
  const std::string kind = request.matches[1];
  const std::optional<Answer> limited =
      this->state.Admit("watch " + kind, false);
  if (this->WaitForOutage(response)) {
    return;
  }
  if (limited) {
    SetAnswer(response, *limited, false);
    return;
  }
  const int64_t seconds =
      NumberParam(request, "timeoutSeconds", kDefaultWatch.count());
  const Clock::time_point end = Clock::now() + std::chrono::seconds(seconds);
  const auto latest = static_cast<int64_t>(this->state.LatestRevision());
  auto after =
      static_cast<uint64_t>(NumberParam(request, "resourceVersion", latest));
  response.set_chunked_content_provider(
      "application/json",
      [this, kind, end, after](size_t, httplib::DataSink& sink) mutable {
        for (const WatchEvent& event :
             this->state.WaitEvents(kind, after, kPoll)) {
          sink.write(event.line.data(), event.line.size());
          after = event.revision;
        }
        const bool refused = this->state.GetFaults().outage != "none";
        if (this->closing || refused || Clock::now() >= end) {
          sink.done();
        }
        return true;
      });
}

void PlatformServer::ServeWeights(const Request& request, Response& response) {
  this->state.Admit("weights", false);
  if (this->WaitForOutage(response)) {
    return;
  }
  const auto size =
      std::min(static_cast<size_t>(NumberParam(request, "bytes", kWeightChunk)),
               kMaxWeightBytes);
  response.set_content_provider(
      size, "application/octet-stream",
      [this](size_t, size_t length, httplib::DataSink& sink) {
        const std::string chunk(std::min(length, kWeightChunk), 'w');
        std::this_thread::sleep_for(this->state.TakeWeightBytes(chunk.size()));
        return !this->closing && sink.write(chunk.data(), chunk.size());
      });
}

void PlatformServer::RouteCloud(httplib::Server& server) {
  server.Get("/v1/notices", [this](const Request&, Response& response) {
    this->Serve(response, "notices", false, [this] {
      return Answer{200, {{"notices", this->state.GetFaults().notices}}};
    });
  });
  server.Post("/v1/instances",
              [this](const Request& request, Response& response) {
                this->Serve(response, "start", true,
                            [&] { return this->state.Start(request.body); });
              });
  server.Delete("/v1/instances/([A-Za-z0-9.-]+)",
                [this](const Request& request, Response& response) {
                  this->Serve(response, "delete", true, [&] {
                    return this->state.Delete(request.matches[1]);
                  });
                });
  server.Get("/weights/([A-Za-z0-9.-]+)",
             [this](const Request& request, Response& response) {
               this->ServeWeights(request, response);
             });
}

void PlatformServer::RouteControl() {
  this->control.Post("/control",
                     [this](const Request& request, Response& response) {
                       SetAnswer(response, this->Control(request.body), false);
                     });
  this->control.Get("/calls", [this](const Request&, Response& response) {
    SetAnswer(response, {200, this->state.CallCounts()}, false);
  });
  this->control.Get("/orders", [this](const Request&, Response& response) {
    SetAnswer(response, {200, this->state.Orders()}, false);
  });
}

}  // namespace boragewharf::standin
