/**
 * @file engine_standin_base.cc
 * Requests, faults and reports of the engine stand-in.
 */
#include "standins/engine_standin_base.h"

#include <algorithm>
#include <utility>

#include "base/digest_func.h"
#include "standins/token_func.h"

namespace boragewharf::standins {

namespace {

using nlohmann::json;

constexpr size_t kThreads = 320;
constexpr std::chrono::milliseconds kOpenCheckInterval{100};
constexpr size_t kBlockBytes = 256;
constexpr size_t kLoadSamples = 4096;
constexpr uint32_t kDefaultMaxTokens = 16;

std::chrono::microseconds Micros(const json& source,
                                 const char* name,
                                 std::chrono::microseconds current) {
  return std::chrono::microseconds(source.value(name, current.count()));
}

}  // namespace

void to_json(json& target, const EngineControl& control) {
  target = json{{"token_us", control.token_time.count()},
                {"first_token_us", control.first_token_time.count()},
                {"block_us", control.block_time.count()},
                {"load_lag_ms", control.load_lag.count()},
                {"batch_limit", control.batch_limit},
                {"cache_blocks", control.cache_blocks},
                {"refuse", control.refuse},
                {"freeze", control.freeze},
                {"check_fencing", control.check_fencing},
                {"crash_marker", control.crash_marker}};
}

void from_json(const json& source, EngineControl& control) {
  control.token_time = Micros(source, "token_us", control.token_time);
  control.first_token_time =
      Micros(source, "first_token_us", control.first_token_time);
  control.block_time = Micros(source, "block_us", control.block_time);
  control.load_lag = std::chrono::milliseconds(
      source.value("load_lag_ms", control.load_lag.count()));
  control.batch_limit = source.value("batch_limit", control.batch_limit);
  control.cache_blocks = source.value("cache_blocks", control.cache_blocks);
  control.refuse = source.value("refuse", control.refuse);
  control.freeze = source.value("freeze", control.freeze);
  control.check_fencing = source.value("check_fencing", control.check_fencing);
  control.crash_marker = source.value("crash_marker", control.crash_marker);
}

struct EngineStandin::Run {
  uint64_t number = 0;
  int port = 0;  ///< The caller's.
  std::function<bool()> is_open = [] { return true; };
  std::string id;
  std::string model;
  std::string text;  ///< Prompt and generated text.
  size_t prompt_size = 0;
  uint32_t max_tokens = kDefaultMaxTokens;
  uint32_t generated = 0;
  uint32_t cached_blocks = 0;
  bool is_chat = false;
  bool streamed = false;
  bool admitted = false;

  json Choice(const std::string& piece, const char* finish) const {
    json choice{{"index", 0}};
    choice["finish_reason"] = finish == nullptr ? json() : json(finish);
    if (!this->is_chat) {
      choice["text"] = piece;
    } else if (this->streamed) {
      choice["delta"] = json{{"content", piece}};
    } else {
      choice["message"] = json{{"role", "assistant"}, {"content", piece}};
    }
    return choice;
  }

  json Usage() const {
    const std::string prompt = this->text.substr(0, this->prompt_size);
    const size_t prompt_tokens = 1 + std::ranges::count(prompt, ' ');
    return {{"prompt_tokens", prompt_tokens},
            {"completion_tokens", this->generated},
            {"total_tokens", prompt_tokens + this->generated},
            {"cached_blocks", this->cached_blocks}};
  }

  json Body(const std::string& piece, const char* finish) const {
    return {{"id", "standin-" + std::to_string(this->number)},
            {"object", this->is_chat ? "chat.completion" : "text_completion"},
            {"created", 0},
            {"model", this->model},
            {"choices", json::array({this->Choice(piece, finish)})}};
  }
};

EngineStandin::EngineStandin(const EngineControl& initial)
    : control(initial), server(kThreads) {
  this->AddRoutes();
}

EngineStandin::~EngineStandin() {
  this->Kill();
}

uint16_t EngineStandin::Start(uint16_t wanted_port) {
  return this->server.Start(wanted_port);
}

void EngineStandin::Change(const std::function<void(EngineControl&)>& change) {
  const std::lock_guard lock(this->mutex);
  change(this->control);
  this->changed.notify_all();
}

void EngineStandin::SilenceOpenConnections() {
  const std::lock_guard lock(this->mutex);
  this->silent_ports.swap(this->ports);
  this->ports.clear();
  this->changed.notify_all();
}

void EngineStandin::Kill() {
  {
    const std::lock_guard lock(this->mutex);
    this->killed = true;
    this->changed.notify_all();
  }
  this->server.StopAndJoin();
}

std::map<std::string, uint32_t> EngineStandin::Runs() const {
  const std::lock_guard lock(this->mutex);
  return this->runs;
}

uint64_t EngineStandin::TokensGenerated() const {
  const std::lock_guard lock(this->mutex);
  return this->tokens;
}

uint32_t EngineStandin::Running() const {
  const std::lock_guard lock(this->mutex);
  return this->running;
}

void EngineStandin::AddRoutes() {
  using httplib::Request;
  using httplib::Response;
  this->server.Post("/v1/completions",
                    [this](const Request& request, Response& response) {
                      this->Complete(request, response, false);
                    });
  this->server.Post("/v1/chat/completions",
                    [this](const Request& request, Response& response) {
                      this->Complete(request, response, true);
                    });
  this->server.Post("/v1/orders",
                    [this](const Request& request, Response& response) {
                      this->Order(request, response);
                    });
  this->server.Get("/v1/orders", [this](const Request&, Response& response) {
    const std::lock_guard lock(this->mutex);
    AnswerJson(response, 200, this->orders);
  });
  this->server.Post(
      "/control", [this](const Request& request, Response& response) {
        const json body = json::parse(request.body);
        if (body.value("silence_open", false)) {
          this->SilenceOpenConnections();
        }
        this->Change([&](EngineControl& current) { from_json(body, current); });
        const std::lock_guard lock(this->mutex);
        AnswerJson(response, 200, this->control);
      });
  this->server.Get("/health", [this](const Request&, Response& response) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(
        lock, [this] { return !this->control.freeze || this->killed; });
    AnswerJson(response, 200, {{"status", "ok"}});
  });
  this->server.Get("/load", [this](const Request&, Response& response) {
    AnswerJson(response, 200, this->LaggedLoad());
  });
  this->server.Get("/runs", [this](const Request&, Response& response) {
    const std::lock_guard lock(this->mutex);
    AnswerJson(response, 200, {{"runs", this->runs}, {"tokens", this->tokens}});
  });
}

void EngineStandin::Complete(const httplib::Request& request,
                             httplib::Response& response,
                             bool is_chat) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    AnswerJson(response, 400, {{"error", "malformed body"}});
    return;
  }
  auto run = std::make_shared<Run>();
  run->port = request.remote_port;
  run->id = request.get_header_value("X-Request-Id");
  run->model = body.value("model", "");
  run->text = is_chat ? ChatPrompt(body) : body.value("prompt", "");
  run->prompt_size = run->text.size();
  run->max_tokens = body.value("max_tokens", kDefaultMaxTokens);
  run->is_chat = is_chat;
  run->streamed = body.value("stream", false);
  if (!this->Begin(*run)) {
    response.set_header("Retry-After", "1");
    AnswerJson(response, 503, {{"error", "refused"}});
    return;
  }
  if (run->streamed) {
    this->AnswerStreamed(run, response);
  } else {
    this->AnswerPlain(*run, response);
  }
}

bool EngineStandin::Begin(Run& run) {
  bool crash = false;
  {
    const std::lock_guard lock(this->mutex);
    if (this->control.refuse || this->killed) {
      return false;
    }
    run.number = this->next_run++;
    if (!this->silent_ports.contains(run.port)) {
      this->ports.insert(run.port);
    }
    ++this->runs[run.id];
    const std::string& marker = this->control.crash_marker;
    crash = !marker.empty() && run.text.find(marker) != std::string::npos;
  }
  if (crash && this->on_crash) {
    this->on_crash();
  } else if (crash) {
    const std::lock_guard lock(this->mutex);
    this->killed = true;
    this->changed.notify_all();
  }
  return true;
}

bool EngineStandin::Sleep(const Run& run, std::chrono::microseconds time) {
  std::unique_lock lock(this->mutex);
  const auto end = std::chrono::steady_clock::now() + time;
  this->changed.wait_until(lock, end, [this] { return this->killed; });
  const auto may_proceed = [&] {
    const bool silent = this->silent_ports.contains(run.port);
    return this->killed || (!silent && !this->control.freeze);
  };
  while (!this->changed.wait_for(lock, kOpenCheckInterval, may_proceed)) {
    if (!run.is_open()) {
      return false;
    }
  }
  return !this->killed;
}

bool EngineStandin::EmitNext(Run& run, std::string& token) {
  std::chrono::microseconds time{};
  {
    std::unique_lock lock(this->mutex);
    if (!run.admitted) {
      ++this->waiting;
      this->RecordLoad();
      this->changed.wait(lock, [this] {
        return this->killed || this->running < this->control.batch_limit;
      });
      --this->waiting;
      ++this->running;
      run.admitted = true;
      this->RecordLoad();
      const uint32_t uncached = this->LoadPromptBlocks(run.text);
      run.cached_blocks =
          static_cast<uint32_t>(run.text.size() / kBlockBytes) - uncached;
      time =
          this->control.first_token_time + uncached * this->control.block_time;
    } else {
      time = this->control.token_time;
    }
  }
  if (!this->Sleep(run, time)) {
    return false;
  }
  token = NextToken(run.text);
  run.text += token;
  ++run.generated;
  const std::lock_guard lock(this->mutex);
  ++this->tokens;
  return true;
}

void EngineStandin::End(Run& run) {
  const std::lock_guard lock(this->mutex);
  if (!std::exchange(run.admitted, false)) {
    return;
  }
  --this->running;
  this->RecordLoad();
  this->changed.notify_all();
}

uint32_t EngineStandin::LoadPromptBlocks(std::string_view prompt) {
  uint32_t uncached = 0;
  uint64_t hash = 0;
  for (size_t at = 0; at + kBlockBytes <= prompt.size(); at += kBlockBytes) {
    hash = Hash64(prompt.substr(at, kBlockBytes), hash);
    const auto found = this->cache_index.find(hash);
    if (found != this->cache_index.end()) {
      this->cache.splice(this->cache.begin(), this->cache, found->second);
      continue;
    }
    ++uncached;
    this->cache.push_front(hash);
    this->cache_index[hash] = this->cache.begin();
  }
  while (this->cache.size() > this->control.cache_blocks) {
    this->cache_index.erase(this->cache.back());
    this->cache.pop_back();
  }
  return uncached;
}

void EngineStandin::RecordLoad() {
  this->load.push_back(
      {std::chrono::steady_clock::now(), this->running, this->waiting});
  if (this->load.size() > kLoadSamples) {
    this->load.pop_front();
  }
}

json EngineStandin::LaggedLoad() const {
  const std::lock_guard lock(this->mutex);
  const auto until = std::chrono::steady_clock::now() - this->control.load_lag;
  LoadSample sample{until, 0, 0};
  for (const LoadSample& candidate : this->load) {
    if (candidate.time > until) {
      break;
    }
    sample = candidate;
  }
  return {{"running", sample.running},
          {"waiting", sample.waiting},
          {"batch_limit", this->control.batch_limit}};
}

void EngineStandin::Order(const httplib::Request& request,
                          httplib::Response& response) {
  const json body = json::parse(request.body);
  const uint64_t fencing = body.value("fencing", uint64_t{0});
  const std::lock_guard lock(this->mutex);
  if (this->control.check_fencing && fencing < this->highest_fencing) {
    AnswerJson(response, 409, {{"highest_fencing", this->highest_fencing}});
    return;
  }
  this->highest_fencing = std::max(this->highest_fencing, fencing);
  this->orders.push_back(body);
  AnswerJson(response, 200, body);
}

void EngineStandin::AnswerStreamed(const std::shared_ptr<Run>& run,
                                   httplib::Response& response) {
  const auto provide = [this, run](size_t, httplib::DataSink& sink) {
    std::string token;
    run->is_open = [&sink] { return sink.is_writable(); };
    if (!this->EmitNext(*run, token)) {
      return false;
    }
    const bool last = run->generated >= run->max_tokens;
    std::string event =
        "data: " + run->Body(token, last ? "length" : nullptr).dump() + "\n\n";
    if (last) {
      json usage = run->Body("", nullptr);
      usage["choices"] = json::array();
      usage["usage"] = run->Usage();
      event += "data: " + usage.dump() + "\n\ndata: [DONE]\n\n";
    }
    if (!sink.write(event.data(), event.size())) {
      return false;
    }
    if (last) {
      sink.done();
    }
    return true;
  };
  response.set_chunked_content_provider("text/event-stream", provide,
                                        [this, run](bool) { this->End(*run); });
}

void EngineStandin::AnswerPlain(Run& run, httplib::Response& response) {
  std::string token;
  bool alive = true;
  while (alive && run.generated < run.max_tokens) {
    alive = this->EmitNext(run, token);
  }
  this->End(run);
  if (!alive) {
    // A content provider that fails ends the connection without an answer.
    response.set_content_provider(
        1, "application/json",
        [](size_t, size_t, httplib::DataSink&) { return false; });
    return;
  }
  json body = run.Body(run.text.substr(run.prompt_size), "length");
  body["usage"] = run.Usage();
  AnswerJson(response, 200, body);
}

}  // namespace boragewharf::standins
