/**
 * @file trial_replica.cc
 * Stand-in for a model replica.
 */
#include "trial_replica.h"

#include <charconv>
#include <utility>

namespace boragewharf::review {
namespace {

/** heartbeat_ms of the deployments. */
constexpr milliseconds kHeartbeat(1200);

/** Heartbeats after which the store removes the entry of a silent replica. */
constexpr int kSilentBeats = 3;

uint64_t UnixMilliseconds() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

Replica::Replica(boost::asio::io_context& event_loop,
                 standins::StoreStandin& platform_store,
                 ReplicaEntry replica_entry,
                 Endpoint own_address)
    : loop(event_loop),
      store(platform_store),
      entry(std::move(replica_entry)),
      address(std::move(own_address)),
      born(UnixMilliseconds()),
      beat_timer(event_loop),
      restart_timer(event_loop) {
  this->listeners.push_back(
      std::make_unique<httpio::HttpListener>(event_loop, this->address, *this));
}

void Replica::Register() {
  this->born = UnixMilliseconds();
  this->Beat();
}

void Replica::Beat() {
  this->WriteEntry();
  this->beat_timer.expires_after(kHeartbeat);
  this->beat_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Beat();
    }
  });
}

void Replica::WriteEntry() {
  this->sequence += 1;
  this->store.Put("servers", this->entry.id,
                  {{"service", this->entry.service},
                   {"address", ToString(this->address)},
                   {"zone", this->entry.zone},
                   {"version", this->entry.version},
                   {"slots", 48},
                   {"state", "ready"},
                   {"cold_left_ms", 0},
                   {"seq_no", this->sequence},
                   {"born", this->born}});
}

void Replica::SetStream(uint32_t event_count,
                        milliseconds first,
                        milliseconds gap) {
  this->events = event_count;
  this->first_delay = first;
  this->event_gap = gap;
}

void Replica::Crash(milliseconds down_time) {
  this->down = true;
  this->beat_timer.cancel();
  this->listeners.back()->StopAccepting();
  this->streams.clear();
  for (const auto& [raw, weak] : std::exchange(this->channels, {})) {
    if (const auto channel = weak.lock()) {
      channel->Abort();
    }
  }
  // The store removes the entry after three heartbeats of silence.
  const auto removal = std::make_shared<boost::asio::steady_timer>(
      this->loop, kSilentBeats * kHeartbeat);
  removal->async_wait([this, removal](const boost::system::error_code&) {
    if (this->down) {
      this->store.Erase("servers", this->entry.id);
    }
  });
  this->restart_timer.expires_after(down_time);
  this->restart_timer.async_wait(
      [this](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        this->down = false;
        this->sequence = 0;
        this->listeners.push_back(std::make_unique<httpio::HttpListener>(
            this->loop, this->address, *this));
        this->Register();
      });
}

void Replica::OnRequest(const standins::ConnectionPtr& connection,
                        httpio::InboundRequest request) {
  if (this->down) {
    connection->Abort();
    return;
  }
  this->channels[connection.get()] = connection;
  const std::string attempt(
      httpio::FindField(request.fields, "Boragewharf-Attempt-Id"));
  if (request.target == "/v1/report") {
    const standins::Json report = {{"phase", "both"},
                                   {"state", "ready"},
                                   {"born", this->born},
                                   {"busy", false},
                                   {"seq_no", this->sequence},
                                   {"queued", 0},
                                   {"active", this->streams.size()},
                                   {"kv_used", 0},
                                   {"kv_total", 900000},
                                   {"handles", 0},
                                   {"models",
                                    {{{"name", "m"},
                                      {"version", 1},
                                      {"adapters", standins::Json::array()}}}}};
    connection->Send(httpio::MakeResponse(200, {}, report.dump(), true));
    connection->EndResponse(true);
    return;
  }
  const std::string_view expected =
      httpio::FindField(request.fields, "Boragewharf-Expect-Instance");
  if (!expected.empty() && expected != this->entry.id) {
    connection->Send(httpio::MakeResponse(
        421, {{"Boragewharf-Instance-Id", this->entry.id}}, {}, true));
    connection->EndResponse(true);
    return;
  }
  const bool first = this->runs.empty();
  this->runs.push_back(attempt);
  if (first && this->first_run) {
    this->first_run();
  }
  if (request.target.find("/stream") != std::string::npos) {
    this->StartStream(connection, request, attempt);
    return;
  }
  connection->Send(httpio::MakeResponse(
      200,
      {{"Boragewharf-Attempt-Id", attempt},
       {"Boragewharf-Server-Stamp", "stamp." + this->entry.id}},
      "done by " + this->entry.id, true));
  connection->EndResponse(true);
}

void Replica::StartStream(const standins::ConnectionPtr& connection,
                          const httpio::InboundRequest& request,
                          const std::string& attempt_id) {
  const auto stream = std::make_shared<Stream>();
  stream->connection = connection;
  stream->attempt_id = attempt_id;
  const std::string_view last =
      httpio::FindField(request.fields, "Last-Event-Id");
  uint32_t last_event = 0;
  std::from_chars(last.data(), last.data() + last.size(), last_event);
  stream->next_event = last_event + 1;
  stream->timer = std::make_unique<boost::asio::steady_timer>(
      this->loop, this->first_delay);
  this->streams[connection.get()] = stream;
  stream->timer->async_wait(
      [this, stream](const boost::system::error_code& error) {
        if (!error) {
          this->SendNextEvent(stream);
        }
      });
}

void Replica::SendNextEvent(const std::shared_ptr<Stream>& stream) {
  const auto running = this->streams.find(stream->connection.get());
  if (running == this->streams.end() || running->second != stream) {
    return;
  }
  std::string bytes;
  if (!std::exchange(stream->begun, true)) {
    bytes =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Boragewharf-Attempt-Id: " +
        stream->attempt_id + "\r\nBoragewharf-Server-Stamp: stamp." +
        this->entry.id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  if (stream->next_event > this->events) {
    this->streams.erase(running);
    stream->connection->Send(bytes + "0\r\n\r\n");
    stream->connection->EndResponse(true);
    return;
  }
  bytes += Chunk("id: " + std::to_string(stream->next_event) + "\ndata: " +
                 this->entry.id + " " + this->entry.version + "\n\n");
  stream->connection->Send(std::move(bytes));
  stream->next_event += 1;
  stream->timer->expires_after(this->event_gap);
  stream->timer->async_wait(
      [this, stream](const boost::system::error_code& error) {
        if (!error) {
          this->SendNextEvent(stream);
        }
      });
}

void Replica::OnClientDisconnected(httpio::ServerConnection& connection) {
  this->streams.erase(&connection);
  this->channels.erase(&connection);
}

}  // namespace boragewharf::review
