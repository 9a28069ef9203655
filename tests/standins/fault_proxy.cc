/**
 * @file fault_proxy.cc
 * Control of the fault proxy.
 */
#include "fault_proxy.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "tcp_proxy.h"
#include "udp_proxy.h"

namespace boragewharf::standin {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProxyFaults,
                                   delay_ms,
                                   drop,
                                   freeze,
                                   swallow_answers,
                                   bytes_per_second)

namespace {

using Json = nlohmann::json;

/** Removes and returns a boolean field; empty if it has another type. */
std::optional<bool> TakeFlag(Json& json, const char* name) {
  const Json field = json.value(name, Json(false));
  json.erase(name);
  return field.is_boolean() ? std::optional(field.get<bool>()) : std::nullopt;
}

std::optional<ProxyFaults> Merge(const ProxyFaults& current,
                                 const Json& patch) {
  Json merged = current;
  for (const auto& [name, field] : patch.items()) {
    if (!merged.contains(name) ||
        field.is_number() != merged[name].is_number() ||
        field.is_boolean() != merged[name].is_boolean()) {
      return std::nullopt;
    }
    merged[name] = field;
  }
  return merged.get<ProxyFaults>();
}

}  // namespace

bool FaultProxy::Add(std::string_view text, uint64_t seed) {
  const size_t equals = text.find('=');
  const size_t first = text.find(':');
  const size_t second = text.find(':', first + 1);
  if (equals == std::string_view::npos || second == std::string_view::npos ||
      equals > first) {
    return false;
  }
  const std::string name(text.substr(0, equals));
  const std::string_view type = text.substr(equals + 1, first - equals - 1);
  const std::string_view port = text.substr(first + 1, second - first - 1);
  const auto own = ParseEndpoint("127.0.0.1:" + std::string(port));
  const auto target = ParseEndpoint(text.substr(second + 1));
  if (!own || !target || !target->host.starts_with("127.")) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  if (type == "tcp") {
    this->listeners[name] =
        std::make_unique<TcpProxy>(own->port, *target, seed);
    return true;
  }
  if (type == "udp") {
    this->listeners[name] =
        std::make_unique<UdpProxy>(own->port, *target, seed);
    return true;
  }
  return false;
}

bool FaultProxy::Control(std::string_view text) {
  Json patch = Json::parse(text, nullptr, false);
  if (!patch.is_object() || !patch.contains("listener") ||
      !patch["listener"].is_string()) {
    return false;
  }
  const std::string wanted = patch["listener"];
  patch.erase("listener");
  const std::optional<bool> cut = TakeFlag(patch, "cut");
  const std::optional<bool> silence = TakeFlag(patch, "silence");
  if (!cut || !silence) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  std::vector<std::pair<ProxyListener*, ProxyFaults>> changes;
  for (const auto& [name, listener] : this->listeners) {
    if (wanted != "*" && wanted != name) {
      continue;
    }
    const auto merged = Merge(listener->GetFaults(), patch);
    if (!merged) {
      return false;
    }
    changes.emplace_back(listener.get(), *merged);
  }
  for (const auto& [listener, faults] : changes) {
    listener->SetFaults(faults);
    if (*cut) {
      listener->Cut();
    }
    if (*silence) {
      listener->Silence();
    }
  }
  return !changes.empty();
}

std::string FaultProxy::Describe() const {
  const std::lock_guard lock(this->mutex);
  Json json = Json::object();
  for (const auto& [name, listener] : this->listeners) {
    json[name] = {{"port", listener->Port()},
                  {"open", listener->OpenCount()},
                  {"faults", listener->GetFaults()}};
  }
  return json.dump();
}

}  // namespace boragewharf::standin
