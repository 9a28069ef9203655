/**
 * @file node_settings.cc
 * Parsing and validation of node settings.
 */
#include "node/node_settings.h"

#include <fstream>
#include <sstream>

#include "base/result_func.h"

namespace boragewharf::node {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxNameBytes = 256;
constexpr size_t kMaxSeeds = 64;
constexpr size_t kMaxDuties = 16;
constexpr double kMillisPerSecond = 1000;

const TextRule kNameRule{"1 to 256 characters", [](const std::string& text) {
                           return !text.empty() && text.size() <= kMaxNameBytes;
                         }};
const TextRule kEndpointRule{"IP:PORT with an IPv4 number and port 1 to 65535",
                             [](const std::string& text) {
                               const auto endpoint = ParseEndpoint(text);
                               return endpoint && endpoint->port != 0;
                             }};

std::optional<Endpoint> ReadOptionalEndpoint(JsonReader& reader,
                                             std::string_view key) {
  const auto text = reader.OptionalText(key, kEndpointRule);
  return text ? ParseEndpoint(*text) : std::nullopt;
}

Endpoint ReadRequiredEndpoint(JsonReader& reader, std::string_view key) {
  return ParseEndpoint(reader.Text(key, kEndpointRule)).value_or(Endpoint{});
}

/** Reads a duration given in seconds, which may have a fraction. */
milliseconds ReadSeconds(JsonReader& reader,
                         std::string_view key,
                         const NumberRule<double>& rule) {
  return milliseconds(
      static_cast<int64_t>(kMillisPerSecond * reader.Real(key, rule)));
}

DeploymentBounds ReadBounds(JsonReader reader) {
  DeploymentBounds bounds;
  bounds.lease = milliseconds(
      static_cast<int64_t>(reader.Real("leaseMs", {3000, 100, 600000})));
  bounds.drain = milliseconds(
      static_cast<int64_t>(reader.Real("drainMs", {2500, 0, 600000})));
  bounds.grace = ReadSeconds(reader, "graceS", {8, 0.5, 3600});
  bounds.retry_ratio = reader.Real("retryRatio", {0.2, 0, 10});
  bounds.retry_extra = reader.Real("retryExtra", {50, 0, 1e9});
  bounds.retry_window = ReadSeconds(reader, "retryWindowS", {10, 0.1, 3600});
  bounds.quota_slack = reader.Real("quotaSlack", {0, 0, 1e15});
  bounds.usage_window = ReadSeconds(reader, "usageWindowS", {0, 0, 86400});
  bounds.usage_late = ReadSeconds(reader, "usageLateS", {10, 0, 86400});
  bounds.directory_ttl = reader.Real("directoryTtlS", {5, 0.1, 3600});
  // Absent keys are told from present ones by values that are out of range.
  const double share = reader.Real("exposeShare", {-1, -1, 1});
  const double slack = reader.Real("exposeSlack", {-1, -1, 1e9});
  const double rollback = reader.Real("rollbackMs", {-1, -1, 600000});
  if (share > 0 && slack >= 0 && rollback > 0) {
    bounds.rollout = rollout::RolloutBounds{
        share, slack, milliseconds(static_cast<int64_t>(rollback))};
  }
  return bounds;
}

}  // namespace

std::optional<NodeSettings> ParseNodeSettings(std::string_view text,
                                              std::vector<JsonFault>& faults) {
  const auto json = ParseJson(text, faults);
  if (!json) {
    return Fail(ResultCode::kSettingsInvalid, ToString(faults));
  }
  JsonReader reader(&*json, "$", faults);
  NodeSettings settings;
  settings.name = reader.Text("node", kNameRule);
  settings.ip = reader.Text("ip", kNameRule);
  settings.zone = reader.Text("zone", kNameRule);
  settings.region = reader.Text("region", kNameRule);
  const auto zones = json->find("zoneRegions");
  if (zones != json->end() && zones->is_object()) {
    for (const auto& [zone, region] : zones->items()) {
      if (region.is_string()) {
        settings.zone_regions[zone] = region.get<std::string>();
      }
    }
  }
  JsonReader listen = reader.OptionalObject("listen");
  settings.clients = ReadOptionalEndpoint(listen, "clients");
  settings.ready = ReadOptionalEndpoint(listen, "ready");
  settings.control = ReadOptionalEndpoint(listen, "control");
  settings.directory = ReadOptionalEndpoint(listen, "directory");
  settings.metrics = ReadRequiredEndpoint(reader, "metrics");
  settings.peer_port =
      static_cast<uint16_t>(reader.RequiredWhole("peerPort", {0, 1, 65535}));
  settings.stream_port =
      static_cast<uint16_t>(reader.Whole("streamPort", {0, 0, 65535}));
  for (const std::string& seed :
       reader.Texts("seeds", 0, kMaxSeeds, kEndpointRule)) {
    settings.seeds.push_back(*ParseEndpoint(seed));
  }
  settings.first_start = reader.Flag("firstStart", false);
  settings.store = ReadRequiredEndpoint(reader, "store");
  settings.cloud = ReadOptionalEndpoint(reader, "cloud");
  settings.duties = reader.Texts("duties", 0, kMaxDuties, kNameRule);
  settings.log_lines_per_second =
      static_cast<uint32_t>(reader.Whole("logLinesPerSecond", {40, 1, 100000}));
  settings.bounds = ReadBounds(reader.OptionalObject("bounds"));
  if (!faults.empty()) {
    return Fail(ResultCode::kSettingsInvalid, ToString(faults));
  }
  return settings;
}

std::optional<NodeSettings> LoadNodeSettings(const std::string& path,
                                             std::vector<JsonFault>& faults) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(ResultCode::kSettingsUnreadable, path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseNodeSettings(text.str(), faults);
}

}  // namespace boragewharf::node
