/**
 * @file lab_platform.cc
 * Stand-ins for the platform's metadata store and cloud API.
 */
#include "lab_platform.h"

#include <boost/asio/ip/tcp.hpp>
#include <random>
#include <utility>

namespace boragewharf::review {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

/** @return A parameter of a target's query, or an empty string. */
std::string QueryParameter(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  size_t start = query == std::string::npos
                     ? std::string::npos
                     : target.find(name + "=", query + 1);
  if (start == std::string::npos) {
    return {};
  }
  start += name.size() + 1;
  return target.substr(start, target.find('&', start) - start);
}

}  // namespace

Record::Record(const std::string& path) : file(path) {}

void Record::Write(const std::string& line) {
  std::string text;
  for (const char c : line) {
    // Bytes outside of ASCII as a question mark, so that the record is text.
    text += static_cast<unsigned char>(c) < 0x80 ? c : '?';
  }
  const std::lock_guard lock(this->mutex);
  this->file << this->Now() << " ms  " << text << std::endl;
}

int64_t Record::Now() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - this->started)
      .count();
}

uint16_t FreeLabPort() {
  // Below the range from which the kernel takes the ports of clients, so that a
  // replica finds its port free when it starts again.
  constexpr int kFirst = 18000;
  constexpr int kLast = 30000;
  static std::mt19937 generator{std::random_device{}()};
  std::uniform_int_distribution<int> draw(kFirst, kLast);
  while (true) {
    const auto port = static_cast<uint16_t>(draw(generator));
    boost::asio::io_context loop;
    tcp::acceptor probe(loop);
    boost::system::error_code error;
    probe.open(tcp::v4(), error);
    probe.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error) {
      return port;
    }
  }
}

LabStore::LabStore(boost::asio::io_context& event_loop, Record& run_record)
    : loop(event_loop),
      record(run_record),
      address{"127.0.0.1", FreeLabPort()},
      listener(event_loop, address, *this) {}

void LabStore::Answer(const ConnectionPtr& connection,
                      uint32_t status,
                      const Json& body) {
  connection->Send(httpio::MakeResponse(
      status, {{"Content-Type", "application/json"}}, body.dump(), true));
  connection->EndResponse(true);
}

Json LabStore::ObjectJson(const std::string& name, const Object& object) {
  return {{"metadata",
           {{"name", name},
            {"revision", object.revision},
            {"created", object.created},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", nullptr}};
}

void LabStore::AddChange(const std::string& kind,
                         const std::string& name,
                         const Object& object,
                         bool removed) {
  this->history.push_back(
      {object.revision, kind,
       Json{{"tombstone", removed}, {"object", ObjectJson(name, object)}}});
  for (auto watch = this->watches.begin(); watch != this->watches.end();) {
    watch = this->TryAnswerWatch(*watch, false) ? this->watches.erase(watch)
                                                : std::next(watch);
  }
}

void LabStore::Put(const std::string& kind,
                   const std::string& name,
                   const Json& spec) {
  Object& object = this->objects[kind][name];
  if (object.revision > 0 && object.spec == spec) {
    return;
  }
  object.revision = ++this->revision;
  object.created = object.created == 0 ? object.revision : object.created;
  object.spec = spec;
  this->AddChange(kind, name, object, false);
}

void LabStore::Erase(const std::string& kind, const std::string& name) {
  const auto found = this->objects[kind].find(name);
  if (found == this->objects[kind].end()) {
    return;
  }
  Object object = found->second;
  object.revision = ++this->revision;
  this->objects[kind].erase(found);
  this->AddChange(kind, name, object, true);
}

bool LabStore::TryAnswerWatch(const Watch& watch, bool ended) {
  Json events = Json::array();
  for (const Change& change : this->history) {
    if (change.kind == watch.kind && change.revision > watch.revision) {
      events.push_back(change.event);
    }
  }
  if (events.empty() && !ended) {
    return false;
  }
  Answer(watch.connection, 200,
         {{"events", events}, {"current_rev", this->revision}});
  return true;
}

void LabStore::StartWatch(const ConnectionPtr& connection,
                          const std::string& kind,
                          uint64_t from,
                          int64_t wait_ms) {
  Watch watch{connection, kind, from,
              std::make_shared<boost::asio::steady_timer>(this->loop)};
  if (this->TryAnswerWatch(watch, false)) {
    return;
  }
  watch.timer->expires_after(milliseconds(wait_ms));
  watch.timer->async_wait([this, raw = connection.get(), timer = watch.timer](
                              const boost::system::error_code& error) {
    for (auto at = this->watches.begin(); !error && at != this->watches.end();
         ++at) {
      if (at->connection.get() == raw && at->timer == timer) {
        const Watch ended = *at;
        this->watches.erase(at);
        this->TryAnswerWatch(ended, true);
        return;
      }
    }
  });
  this->watches.push_back(std::move(watch));
}

void LabStore::OnClientDisconnected(httpio::ServerConnection& connection) {
  this->watches.remove_if([&](const Watch& watch) {
    return watch.connection.get() == &connection;
  });
}

void LabStore::List(const ConnectionPtr& connection,
                    const std::string& kind,
                    const std::string& after) {
  Json items = Json::array();
  bool has_more = false;
  const auto& all = this->objects[kind];
  for (auto at = after.empty() ? all.begin() : all.upper_bound(after);
       at != all.end(); ++at) {
    if (items.size() >= this->page_size) {
      has_more = true;
      break;
    }
    items.push_back(ObjectJson(at->first, at->second));
  }
  if (has_more || !after.empty()) {
    this->record.Write("store: list of " + kind +
                       (after.empty() ? "" : " after " + after) + ", " +
                       std::to_string(items.size()) + " objects, current_rev " +
                       std::to_string(this->revision));
  }
  Answer(connection, 200,
         {{"items", items},
          {"has_more", has_more},
          {"current_rev", this->revision}});
  if (has_more && after.empty() && kind == this->paged_kind) {
    this->paged_kind.clear();
    std::exchange(this->after_first_page, nullptr)();
  }
}

void LabStore::OnRequest(const ConnectionPtr& connection,
                         httpio::InboundRequest request) {
  constexpr std::string_view kPrefix = "/v1/objects/";
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (!path.starts_with(kPrefix)) {
    Answer(connection, 404, Json::object());
    return;
  }
  const std::string rest = path.substr(kPrefix.size());
  const std::string kind = rest.substr(0, rest.find('/'));
  const std::string name =
      kind.size() < rest.size() ? rest.substr(kind.size() + 1) : "";
  if (request.method != "GET") {
    this->Write(connection, request, kind, name);
    return;
  }
  const std::string from = QueryParameter(request.target, "watch");
  if (!from.empty()) {
    this->StartWatch(connection, kind, std::stoull(from),
                     std::stoll(QueryParameter(request.target, "wait_ms")));
    return;
  }
  if (name.empty()) {
    this->List(connection, kind, QueryParameter(request.target, "after"));
    return;
  }
  const auto found = this->objects[kind].find(name);
  if (found == this->objects[kind].end()) {
    Answer(connection, 404, Json::object());
    return;
  }
  Answer(connection, 200, ObjectJson(name, found->second));
}

void LabStore::Write(const ConnectionPtr& connection,
                     const httpio::InboundRequest& request,
                     const std::string& kind,
                     const std::string& name) {
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string target = request.method == "POST"
                                 ? body["metadata"]["name"].get<std::string>()
                                 : name;
  auto& of_kind = this->objects[kind];
  const auto found = of_kind.find(target);
  const bool exists = found != of_kind.end();
  if (request.method == "DELETE") {
    this->Erase(kind, target);
    Answer(connection, exists ? 200 : 404, Json::object());
    return;
  }
  if (request.method == "PUT" && !exists) {
    Answer(connection, 404, Json::object());
    return;
  }
  const bool stale = exists && body["metadata"].contains("revision") &&
                     body["metadata"]["revision"] != found->second.revision;
  if (stale || (request.method == "POST" && exists)) {
    Answer(connection, 409, ObjectJson(target, found->second));
    return;
  }
  this->Put(kind, target, body["spec"]);
  Answer(connection, 200, ObjectJson(target, of_kind[target]));
}

LabCloud::LabCloud(boost::asio::io_context& event_loop)
    : address{"127.0.0.1", FreeLabPort()},
      listener(event_loop, address, *this) {}

void LabCloud::OnRequest(const ConnectionPtr& connection,
                         httpio::InboundRequest) {
  connection->Send(httpio::MakeResponse(200, {}, {}, true));
  connection->EndResponse(true);
}

}  // namespace boragewharf::review
