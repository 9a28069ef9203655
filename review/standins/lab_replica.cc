/**
 * @file lab_replica.cc
 * A replica, as PROTOCOL.md describes it.
 */
#include "lab_replica.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace boragewharf::review {
namespace {

using httpio::FindField;
using std::chrono::milliseconds;

/** Tokens of an event on ascb-wharf. */
constexpr uint32_t kTokensPerEvent = 6;

/** "The replica is back after some seconds". */
constexpr milliseconds kDownTime(2000);

/** Three status report intervals of silence, after which an entry goes. */
constexpr milliseconds kEntryLapse(3600);

/** How long the replica serves on after it has reported that it leaves:
 * drain_ms and a little longer. */
constexpr milliseconds kLeaves(3000);

std::string EncodeChunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string EventText(uint32_t number) {
  return "id: " + std::to_string(number) + "\ndata: piece-" +
         std::to_string(number) + "\n\n";
}

int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

LabReplica::LabReplica(boost::asio::io_context& event_loop,
                       LabStore& metadata_store,
                       Record& run_record,
                       ReplicaPlan replica_plan)
    : loop(event_loop),
      store(metadata_store),
      record(run_record),
      plan(std::move(replica_plan)),
      address{"127.0.0.1", FreeLabPort()},
      born(UnixMs()) {
  this->listeners.push_back(
      std::make_unique<httpio::HttpListener>(event_loop, this->address, *this));
}

void LabReplica::Register(const std::string& new_state) {
  this->state = new_state;
  if (new_state == "draining") {
    this->draining_since = Clock::now();
  }
  this->store.Put("servers", this->plan.id,
                  {{"service", this->plan.service},
                   {"address", ToString(this->address)},
                   {"zone", this->plan.zone},
                   {"version", "v1"},
                   {"slots", this->plan.slots},
                   {"state", this->state},
                   {"cold_left_ms", 0},
                   {"seq_no", 1},
                   {"born", this->born}});
  this->record.Write("store: entry of " + this->plan.id + " is " + this->state);
}

void LabReplica::LeaveQuietly() {
  this->store.Erase("servers", this->plan.id);
  this->record.Write("store: entry of " + this->plan.id +
                     " is removed; it serves on");
}

void LabReplica::OnRequest(const ConnectionPtr& connection,
                           httpio::InboundRequest request) {
  if (this->is_down) {
    connection->Abort();
    return;
  }
  if (request.target == "/v1/report") {
    this->AnswerReport(connection);
    return;
  }
  if (request.target == "/v1/kv-move") {
    this->AnswerMove(connection, Json::parse(request.body, nullptr, false));
    return;
  }
  if (request.target.starts_with("/v1/kv-handle/")) {
    connection->Send(httpio::MakeResponse(200, {}, "{}", true));
    connection->EndResponse(true);
    return;
  }
  const std::string attempt(
      FindField(request.fields, "Boragewharf-Attempt-Id"));
  const auto expected =
      FindField(request.fields, "Boragewharf-Expect-Instance");
  const bool meant = expected.empty() || expected == this->plan.id;
  this->arrivals.push_back({this->record.Now(), attempt, this->plan.id, meant});
  if (!meant) {
    connection->Send(httpio::MakeResponse(
        421, {{"Boragewharf-Instance-Id", this->plan.id}}, {}, true));
    connection->EndResponse(true);
    return;
  }
  if (request.body.starts_with("deadly")) {
    this->record.Write("replica " + this->plan.id + " runs " + attempt +
                       " and crashes");
    connection->Abort();
    this->Crash();
    return;
  }
  if (this->plan.streams) {
    this->StartStream(connection, request, attempt);
    return;
  }
  this->AnswerPlain(connection, request, attempt);
}

void LabReplica::AnswerPlain(const ConnectionPtr& connection,
                             const httpio::InboundRequest& request,
                             const std::string& attempt_id) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop);
  timer->expires_after(this->plan.work);
  timer->async_wait([connection, attempt_id, timer,
                     to_head = request.method ==
                               "HEAD"](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    std::string answer = httpio::MakeResponse(
        200,
        {{"Boragewharf-Attempt-Id", attempt_id},
         {"Boragewharf-Server-Stamp", "stamp." + attempt_id}},
        "body of " + attempt_id, true);
    if (to_head) {
      answer.erase(answer.find("\r\n\r\n") + 4);
    }
    connection->Send(std::move(answer));
    connection->EndResponse(true);
  });
}

void LabReplica::AnswerReport(const ConnectionPtr& connection) {
  Json report = {
      {"phase", "both"}, {"models", {{{"name", "m"}, {"version", 1}}}},
      {"busy", false},   {"seq_no", 1},
      {"queued", 0},     {"active", this->streams.size()},
      {"kv_used", 0},    {"kv_total", 950105},
      {"handles", 0},    {"state", this->state}};
  if (this->state == "draining") {
    const auto left = std::chrono::duration_cast<milliseconds>(
        this->draining_since + kLeaves - Clock::now());
    report["leaves_ms"] = std::max<int64_t>(0, left.count());
  }
  connection->Send(httpio::MakeResponse(
      200, {{"Content-Type", "application/json"}}, report.dump(), true));
  connection->EndResponse(true);
}

void LabReplica::AnswerMove(const ConnectionPtr& connection, const Json& call) {
  const std::string attempt = call.value("id", "");
  const bool last = call.value("last", false);
  for (const auto& [key, stream] : this->streams) {
    if (stream->attempt_id != attempt) {
      continue;
    }
    const uint32_t created = stream->next_event - 1;
    this->record.Write("replica " + this->plan.id + " gets kv-move for " +
                       attempt + (last ? " with last" : "") + " after event " +
                       std::to_string(created));
    if (last) {
      // The run stops first, and its stream is closed without its end.
      this->moves += 1;
      const ConnectionPtr source = stream->connection;
      this->streams.erase(key);
      source->Abort();
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop);
    timer->expires_after(milliseconds(20));  // The copy.
    timer->async_wait([connection, attempt, created,
                       timer](const boost::system::error_code&) {
      connection->Send(httpio::MakeResponse(
          200, {{"Content-Type", "application/json"}},
          Json{{"handle", "h-" + attempt}, {"created", created}}.dump(), true));
      connection->EndResponse(true);
    });
    return;
  }
  connection->Send(httpio::MakeResponse(404, {}, "{}", true));
  connection->EndResponse(true);
}

void LabReplica::StartStream(const ConnectionPtr& connection,
                             const httpio::InboundRequest& request,
                             const std::string& attempt_id) {
  const auto stream = std::make_shared<Stream>();
  stream->connection = connection;
  stream->attempt_id = attempt_id;
  const std::string_view last = FindField(request.fields, "Last-Event-Id");
  uint32_t last_event = 0;
  std::from_chars(last.data(), last.data() + last.size(), last_event);
  stream->next_event = last_event + 1;
  const std::string_view counts =
      FindField(request.fields, "Boragewharf-Token-Counts");
  const std::string_view output =
      counts.substr(std::min(counts.size(), counts.find(',') + 1));
  uint32_t tokens = 0;
  std::from_chars(output.data(), output.data() + output.size(), tokens);
  stream->events = tokens / kTokensPerEvent;
  stream->timer = std::make_shared<boost::asio::steady_timer>(this->loop);
  this->streams[connection.get()] = stream;
  this->record.Write("replica " + this->plan.id + " runs " + attempt_id +
                     " from event " + std::to_string(stream->next_event));
  connection->Send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Boragewharf-Attempt-Id: " +
      attempt_id + "\r\nBoragewharf-Server-Stamp: stamp." + this->plan.id +
      (this->plan.unframed ? "\r\nConnection: close\r\n\r\n"
                           : "\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n"));
  this->SendNextEvent(stream);
}

void LabReplica::SendNextEvent(const std::shared_ptr<Stream>& stream) {
  if (!this->streams.contains(stream->connection.get())) {
    return;
  }
  if (stream->next_event > stream->events) {
    this->streams.erase(stream->connection.get());
    if (!this->plan.unframed) {
      stream->connection->Send("0\r\n\r\n");
    }
    stream->connection->EndResponse(!this->plan.unframed);
    return;
  }
  const std::string event = EventText(stream->next_event);
  stream->connection->Send(this->plan.unframed ? event : EncodeChunk(event));
  stream->next_event += 1;
  stream->timer->expires_after(this->plan.gap);
  stream->timer->async_wait(
      [this, stream](const boost::system::error_code& error) {
        if (!error) {
          this->SendNextEvent(stream);
        }
      });
}

void LabReplica::Crash() {
  this->crashes += 1;
  this->is_down = true;
  this->listeners.back()->StopAccepting();
  this->listeners.back()->CloseIdle();
  const auto after = [this](milliseconds time, std::function<void()> action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop);
    timer->expires_after(time);
    timer->async_wait([timer, action = std::move(action)](
                          const boost::system::error_code& error) {
      if (!error) {
        action();
      }
    });
  };
  after(kEntryLapse,
        [this, old = this->plan.id] { this->store.Erase("servers", old); });
  after(kDownTime, [this] {
    // A new lifetime at the same address, with a new id.
    this->is_down = false;
    this->lifetimes += 1;
    this->plan.id = this->plan.id.substr(0, this->plan.id.find('.')) + "." +
                    std::to_string(this->lifetimes);
    this->born = UnixMs();
    this->listeners.push_back(std::make_unique<httpio::HttpListener>(
        this->loop, this->address, *this));
    this->Register("ready");
  });
}

void LabReplica::OnClientDisconnected(httpio::ServerConnection& connection) {
  this->streams.erase(&connection);
}

}  // namespace boragewharf::review
