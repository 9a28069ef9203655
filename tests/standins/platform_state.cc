/**
 * @file platform_state.cc
 * State of the platform stand-in.
 */
#include "platform_state.h"

#include <algorithm>
#include <utility>

namespace boragewharf::standin {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Faults,
                                   outage,
                                   slow_ms,
                                   drop_write_answers,
                                   drop_pages,
                                   answers,
                                   stale_ms,
                                   instance_lag_ms,
                                   writes_per_second,
                                   reads_per_second,
                                   refuse_starts,
                                   weight_bytes_per_second,
                                   notices)

namespace {

constexpr size_t kMaxEvents = 10'000;
constexpr size_t kMaxObjectBytes = 1'000'000;

Answer Failure(int status, const char* reason) {
  return {status,
          {{"kind", "Status"},
           {"apiVersion", "v1"},
           {"status", "Failure"},
           {"reason", reason},
           {"code", status}}};
}

std::string TextAt(const Json& json, const char* pointer) {
  const Json::json_pointer path(pointer);
  return json.is_object() && json.contains(path) && json[path].is_string()
             ? json[path].get<std::string>()
             : std::string();
}

}  // namespace

bool PlatformState::TakeOne(int64_t& count) {
  if (count > 0) {
    --count;
    return true;
  }
  return count < 0;
}

std::optional<Answer> PlatformState::Admit(const std::string& label,
                                           bool is_write) {
  const std::lock_guard lock(this->mutex);
  ++this->calls[label];
  CallClass& group = is_write ? this->writes : this->reads;
  const int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                             Clock::now().time_since_epoch())
                             .count();
  if (group.second != second) {
    group.second = second;
    group.in_second = 0;
  }
  ++group.in_second;
  group.highest_per_second =
      std::max(group.highest_per_second, group.in_second);
  const int64_t limit =
      is_write ? this->faults.writes_per_second : this->faults.reads_per_second;
  if (group.in_second <= limit) {
    return std::nullopt;
  }
  ++group.limited;
  return Failure(429, "TooManyRequests");
}

Clock::duration PlatformState::AgeOf(const std::string& kind) const {
  return std::chrono::milliseconds(kind == "instances"
                                       ? this->faults.instance_lag_ms
                                       : this->faults.stale_ms);
}

const Json* PlatformState::Find(const std::string& kind,
                                const std::string& name,
                                Clock::duration age) const {
  const auto objects = this->kinds.find(kind);
  if (objects == this->kinds.end()) {
    return nullptr;
  }
  const auto history = objects->second.find(name);
  if (history == objects->second.end()) {
    return nullptr;
  }
  const Clock::time_point as_of = Clock::now() - age;
  const Json* found = nullptr;
  for (const Revision& entry : history->second) {
    if (entry.time <= as_of) {
      found = entry.object.is_null() ? nullptr : &entry.object;
    }
  }
  return found;
}

Answer PlatformState::AnswerRead(Json body) const {
  if (this->faults.answers == "newer") {
    body["apiVersion"] = "boragewharf.dev/v2";
  }
  return {200, std::move(body)};
}

Answer PlatformState::AnswerWrite(int status, Json body) {
  return {status, std::move(body), TakeOne(this->faults.drop_write_answers)};
}

Answer PlatformState::Read(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(this->mutex);
  const Json* object = this->Find(kind, name, this->AgeOf(kind));
  return object == nullptr ? Failure(404, "NotFound")
                           : this->AnswerRead(*object);
}

Answer PlatformState::List(const std::string& kind,
                           size_t limit,
                           const std::string& from) {
  const std::lock_guard lock(this->mutex);
  if (!from.empty() && TakeOne(this->faults.drop_pages)) {
    return {200, Json::object(), true};
  }
  Json items = Json::array();
  std::string next;
  const Objects& objects = this->kinds[kind];
  for (auto entry = objects.upper_bound(from); entry != objects.end();
       ++entry) {
    const Json* object = this->Find(kind, entry->first, this->AgeOf(kind));
    if (object == nullptr) {
      continue;
    }
    if (limit != 0 && items.size() == limit) {
      next = items.back()["metadata"]["name"];
      break;
    }
    items.push_back(this->AnswerRead(*object).body);
  }
  return {200,
          {{"apiVersion", "boragewharf.dev/v1"},
           {"kind", kind + "List"},
           {"metadata",
            {{"resourceVersion", std::to_string(this->revision)},
             {"continue", next}}},
           {"items", std::move(items)}}};
}

Answer PlatformState::Store(const std::string& kind,
                            const std::string& name,
                            Json object,
                            const char* event,
                            int status) {
  const Clock::time_point now = Clock::now();
  ++this->revision;
  Json sent = std::move(object);
  sent["metadata"]["resourceVersion"] = std::to_string(this->revision);
  const Json line = {{"type", event}, {"object", sent}};
  this->events.push_back({this->revision, kind, now, line.dump() + "\n"});
  if (this->events.size() > kMaxEvents) {
    this->events.pop_front();
  }
  std::deque<Revision>& history = this->kinds[kind][name];
  const bool removed = std::string_view(event) == "DELETED";
  history.push_back({now, this->revision, removed ? Json() : sent});
  while (history.size() > 1 && history[1].time <= now - this->AgeOf(kind)) {
    history.pop_front();
  }
  if (removed && history.size() == 1) {
    this->kinds[kind].erase(name);
  }
  this->changed.notify_all();
  return this->AnswerWrite(status, std::move(sent));
}

Answer PlatformState::Create(const std::string& kind, const std::string& text) {
  Json object = Json::parse(text, nullptr, false);
  const std::string name = TextAt(object, "/metadata/name");
  if (name.empty() || !object.contains("spec")) {
    return Failure(400, "BadRequest");
  }
  if (text.size() > kMaxObjectBytes) {
    return Failure(413, "RequestEntityTooLarge");
  }
  const std::lock_guard lock(this->mutex);
  if (this->Find(kind, name, {}) != nullptr) {
    return Failure(409, "AlreadyExists");
  }
  return this->Store(kind, name, std::move(object), "ADDED", 201);
}

Answer PlatformState::Update(const std::string& kind,
                             const std::string& name,
                             const std::string& text) {
  Json object = Json::parse(text, nullptr, false);
  if (TextAt(object, "/metadata/name") != name || !object.contains("spec")) {
    return Failure(400, "BadRequest");
  }
  if (text.size() > kMaxObjectBytes) {
    return Failure(413, "RequestEntityTooLarge");
  }
  const std::lock_guard lock(this->mutex);
  const Json* current = this->Find(kind, name, {});
  if (current == nullptr) {
    return Failure(404, "NotFound");
  }
  if (TextAt(*current, "/metadata/resourceVersion") !=
      TextAt(object, "/metadata/resourceVersion")) {
    return Failure(409, "Conflict");
  }
  return this->Store(kind, name, std::move(object), "MODIFIED", 200);
}

Answer PlatformState::Remove(const std::string& kind,
                             const std::string& name,
                             const std::string& text) {
  const std::string expected = TextAt(Json::parse(text, nullptr, false),
                                      "/preconditions/resourceVersion");
  const std::lock_guard lock(this->mutex);
  const Json* current = this->Find(kind, name, {});
  if (current == nullptr) {
    return Failure(404, "NotFound");
  }
  if (!expected.empty() &&
      TextAt(*current, "/metadata/resourceVersion") != expected) {
    return Failure(409, "Conflict");
  }
  return this->Store(kind, name, *current, "DELETED", 200);
}

std::vector<WatchEvent> PlatformState::WaitEvents(
    const std::string& kind,
    uint64_t after,
    std::chrono::milliseconds wait) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, wait,
                         [this, after] { return this->revision > after; });
  const Clock::time_point as_of = Clock::now() - this->AgeOf(kind);
  std::vector<WatchEvent> found;
  for (const WatchEvent& event : this->events) {
    if (event.revision > after && event.kind == kind && event.time <= as_of) {
      found.push_back(event);
    }
  }
  return found;
}

uint64_t PlatformState::LatestRevision() {
  const std::lock_guard lock(this->mutex);
  return this->revision;
}

Answer PlatformState::Start(const std::string& text) {
  const Json order = Json::parse(text, nullptr, false);
  const std::string name = TextAt(order, "/name");
  if (name.empty()) {
    return Failure(400, "BadRequest");
  }
  const std::lock_guard lock(this->mutex);
  if (TakeOne(this->faults.refuse_starts)) {
    return Failure(503, "InsufficientCapacity");
  }
  const bool exists = std::ranges::any_of(
      this->orders, [&name](const Json& past) { return past["name"] == name; });
  if (exists || this->Find("instances", name, {}) != nullptr) {
    return Failure(409, "AlreadyExists");
  }
  this->orders.push_back(order);
  this->orders.back()["order"] = "start";
  return this->AnswerWrite(201, {{"name", name}});
}

Answer PlatformState::Delete(const std::string& instance) {
  const std::lock_guard lock(this->mutex);
  this->orders.push_back({{"order", "delete"}, {"name", instance}});
  const Json* current = this->Find("instances", instance, {});
  if (current == nullptr) {
    return Failure(404, "NotFound");
  }
  return this->Store("instances", instance, *current, "DELETED", 200);
}

Clock::duration PlatformState::TakeWeightBytes(size_t bytes) {
  const std::lock_guard lock(this->mutex);
  const Clock::time_point now = Clock::now();
  const auto cost =
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
          static_cast<double>(bytes) /
          static_cast<double>(this->faults.weight_bytes_per_second)));
  this->weights_free_at = std::max(this->weights_free_at, now) + cost;
  return this->weights_free_at - now;
}

Answer PlatformState::Control(const std::string& text) {
  const nlohmann::json patch = nlohmann::json::parse(text, nullptr, false);
  if (!patch.is_object()) {
    return Failure(400, "BadRequest");
  }
  const std::lock_guard lock(this->mutex);
  nlohmann::json merged = this->faults;
  for (const auto& [name, field] : patch.items()) {
    if (!merged.contains(name) ||
        std::string_view(merged[name].type_name()) != field.type_name()) {
      return Failure(400, "BadRequest");
    }
    merged[name] = field;
  }
  this->faults = merged.get<Faults>();
  this->changed.notify_all();
  return {200, merged};
}

Faults PlatformState::GetFaults() {
  const std::lock_guard lock(this->mutex);
  return this->faults;
}

Json PlatformState::CallCounts() {
  const std::lock_guard lock(this->mutex);
  const auto summary = [](const CallClass& group) {
    return Json{{"highest_per_second", group.highest_per_second},
                {"limited", group.limited}};
  };
  return {{"calls", this->calls},
          {"reads", summary(this->reads)},
          {"writes", summary(this->writes)}};
}

Json PlatformState::Orders() {
  const std::lock_guard lock(this->mutex);
  return this->orders;
}

}  // namespace boragewharf::standin
