/**
 * @file object_json_func.cc
 * JSON form of the objects of a configuration.
 */
#include "config/object_json_func.h"

#include <algorithm>
#include <array>

#include "base/digest_func.h"
#include "config/ticket_func.h"

namespace boragewharf::config {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxTokens = 8;
constexpr size_t kMaxAdapters = 256;
constexpr size_t kMaxZones = 64;
constexpr size_t kMinSaltBytes = 16;
constexpr size_t kMaxSaltBytes = 64;
constexpr uint64_t kMaxReplicas = 100000;
constexpr double kMaxPrice = 1000000;

constexpr std::array<std::string_view, 4> kKindNames = {"customer", "service",
                                                        "model", "limits"};
constexpr std::array<std::string_view, 2> kServiceTypeNames = {"model",
                                                               "plain"};

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_';
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, IsNameCharacter);
}

bool IsDottedName(const std::string& text) {
  const auto allowed = [](char c) { return IsNameCharacter(c) || c == '.'; };
  return !text.empty() && text.size() <= kMaxNameBytes && text.front() != '.' &&
         std::ranges::all_of(text, allowed);
}

/** Customers have no dot, because it separates name and secret of a token. */
const TextRule kCustomerRule{"1 to 64 characters of A-Z, a-z, 0-9, '-' and '_'",
                             IsName};

std::optional<ServiceType> FindServiceType(std::string_view name) {
  const auto found = std::ranges::find(kServiceTypeNames, name);
  if (found == kServiceTypeNames.end()) {
    return std::nullopt;
  }
  return static_cast<ServiceType>(found - kServiceTypeNames.begin());
}

const TextRule kServiceTypeRule{"model or plain", [](const std::string& text) {
                                  return FindServiceType(text).has_value();
                                }};

TokenHash ReadTokenHash(JsonReader reader) {
  TokenHash token;
  token.salt = reader.Text(
      "salt", HexRule(kMinSaltBytes, kMaxSaltBytes, Disclosure::kSecret));
  token.hash = reader.Text(
      "hash", HexRule(kDigestBytes, kDigestBytes, Disclosure::kSecret));
  reader.RefuseUnknownKeys();
  return token;
}

uint32_t Whole32(JsonReader& reader,
                 std::string_view key,
                 const NumberRule<uint64_t>& rule) {
  return static_cast<uint32_t>(reader.Whole(key, rule));
}

}  // namespace

std::string_view KindName(ObjectKind kind) {
  return kKindNames.at(static_cast<size_t>(kind));
}

std::string ToString(const ObjectName& object) {
  return std::string(KindName(object.kind)) + "/" + object.name;
}

std::optional<ObjectKind> FindKind(std::string_view name) {
  const auto found = std::ranges::find(kKindNames, name);
  if (found == kKindNames.end()) {
    return std::nullopt;
  }
  return static_cast<ObjectKind>(found - kKindNames.begin());
}

const TextRule& ObjectNameRule() {
  static const TextRule kRule{
      "1 to 64 characters of A-Z, a-z, 0-9, '-', '_' and '.', not starting "
      "with '.'",
      IsDottedName};
  return kRule;
}

const TextRule& KindRule() {
  static const TextRule kRule{
      "customer, service, model or limits",
      [](const std::string& text) { return FindKind(text).has_value(); }};
  return kRule;
}

bool IsCustomerName(const std::string& name) {
  return kCustomerRule.holds(name);
}

Customer ReadCustomer(JsonReader& reader) {
  Customer customer;
  customer.name = reader.Text("name", kCustomerRule);
  for (const json* element : reader.Array("tokens", 1, kMaxTokens)) {
    customer.tokens.push_back(ReadTokenHash(
        reader.Element("tokens", customer.tokens.size(), element)));
  }
  customer.weight = Whole32(reader, "weight", {1, 1, 1000});
  customer.max_concurrent = Whole32(reader, "maxConcurrent", {64, 1, 100000});
  customer.requests_per_second =
      Whole32(reader, "requestsPerSecond", {100, 1, 1000000});
  return customer;
}

Service ReadService(JsonReader& reader) {
  Service service;
  service.name = reader.Text("name", ObjectNameRule());
  const std::string type = reader.Text("type", kServiceTypeRule);
  service.type = FindServiceType(type).value_or(ServiceType::kPlain);
  service.require_idempotency_key = reader.Flag("requireIdempotencyKey", false);
  service.max_retries = Whole32(reader, "maxRetries", {2, 0, 10});
  service.deadline =
      milliseconds(reader.Whole("deadlineMs", {30000, 100, 86400000}));
  return service;
}

Model ReadModel(JsonReader& reader) {
  Model model;
  model.name = reader.Text("name", ObjectNameRule());
  model.service = reader.Text("service", ObjectNameRule());
  model.version = reader.Text("version", ObjectNameRule());
  model.adapters = reader.Texts("adapters", 0, kMaxAdapters, ObjectNameRule());
  model.replicas = Whole32(reader, "replicas", {1, 0, kMaxReplicas});
  return model;
}

Limits ReadLimits(JsonReader& reader) {
  Limits limits;
  limits.name = reader.Text("name", ObjectNameRule());
  limits.min_replicas = Whole32(reader, "minReplicas", {0, 0, kMaxReplicas});
  limits.max_replicas = Whole32(reader, "maxReplicas", {100, 0, kMaxReplicas});
  if (limits.min_replicas > limits.max_replicas) {
    reader.Report(
        "minReplicas", std::to_string(limits.min_replicas),
        "at most maxReplicas, which is " + std::to_string(limits.max_replicas));
  }
  limits.zones = reader.Texts("zones", 0, kMaxZones, ObjectNameRule());
  limits.max_price_per_hour = reader.Real("maxPricePerHour", {0, 0, kMaxPrice});
  return limits;
}

json ToJson(const Customer& customer) {
  json tokens = json::array();
  for (const TokenHash& token : customer.tokens) {
    tokens.push_back({{"salt", token.salt}, {"hash", token.hash}});
  }
  return {{"name", customer.name},
          {"tokens", std::move(tokens)},
          {"weight", customer.weight},
          {"maxConcurrent", customer.max_concurrent},
          {"requestsPerSecond", customer.requests_per_second}};
}

json ToJson(const Service& service) {
  return {{"name", service.name},
          {"type", kServiceTypeNames.at(static_cast<size_t>(service.type))},
          {"requireIdempotencyKey", service.require_idempotency_key},
          {"maxRetries", service.max_retries},
          {"deadlineMs", service.deadline.count()}};
}

json ToJson(const Model& model) {
  return {{"name", model.name},
          {"service", model.service},
          {"version", model.version},
          {"adapters", model.adapters},
          {"replicas", model.replicas}};
}

json ToJson(const Limits& limits) {
  return {{"name", limits.name},
          {"minReplicas", limits.min_replicas},
          {"maxReplicas", limits.max_replicas},
          {"zones", limits.zones},
          {"maxPricePerHour", limits.max_price_per_hour}};
}

}  // namespace boragewharf::config
