/**
 * @file settings_func.cc
 * Reading and validation of the settings file.
 */
#include "settings/settings_func.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <limits>

#include "base/digest_func.h"
#include "base/result_func.h"

namespace boragewharf {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxPathBytes = 4096;
constexpr size_t kMaxPeers = 64;
constexpr size_t kMaxPeerKeys = 2;
constexpr size_t kMinSecretBytes = 16;
constexpr size_t kMaxSecretBytes = 64;
/** Settings are some kilobytes; more is a wrong file. */
constexpr size_t kMaxFileBytes = 1048576;
constexpr std::string_view kAnyHost = "0.0.0.0";

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, IsNameCharacter);
}

bool IsEndpoint(const std::string& text) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  return endpoint && endpoint->port != 0;
}

bool IsReachableEndpoint(const std::string& text) {
  return IsEndpoint(text) && ParseEndpoint(text)->host != kAnyHost;
}

bool IsPath(const std::string& text) {
  return !text.empty() && text.size() <= kMaxPathBytes &&
         text.find('\0') == std::string::npos;
}

const TextRule kNameRule{"1 to 64 characters of a-z, 0-9, '-', '_' and '.'",
                         IsName};
const TextRule kEndpointRule{"IP:PORT with an IPv4 number and port 1 to 65535",
                             IsEndpoint};
const TextRule kReachableRule{
    "IP:PORT with an IPv4 number other than 0.0.0.0 and port 1 to 65535",
    IsReachableEndpoint};
const TextRule kPathRule{"a file name of 1 to 4096 bytes", IsPath};

std::optional<LogLevel> FindLogLevel(const std::string& name) {
  constexpr std::array kNames = {"debug", "info", "warn", "error"};
  const auto found = std::ranges::find(kNames, name);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return static_cast<LogLevel>(found - kNames.begin());
}

const TextRule kLogLevelRule{
    "debug, info, warn or error",
    [](const std::string& text) { return FindLogLevel(text).has_value(); }};

Endpoint ReadEndpoint(JsonReader& reader,
                      std::string_view key,
                      const TextRule& rule) {
  return ParseEndpoint(reader.Text(key, rule)).value_or(Endpoint{});
}

uint32_t Whole32(JsonReader& reader,
                 std::string_view key,
                 const NumberRule<uint64_t>& rule) {
  return static_cast<uint32_t>(reader.Whole(key, rule));
}

void ReadAddresses(JsonReader& reader, Settings& settings) {
  settings.caller_address =
      ReadEndpoint(reader, "callerAddress", kEndpointRule);
  settings.peer_address = ReadEndpoint(reader, "peerAddress", kReachableRule);
  const bool advertised = reader.Has("advertisedCallerAddress");
  settings.advertised_caller_address =
      advertised
          ? ReadEndpoint(reader, "advertisedCallerAddress", kReachableRule)
          : settings.caller_address;
  if (!advertised && settings.caller_address.host == kAnyHost) {
    reader.Report("advertisedCallerAddress", "nothing",
                  "IP:PORT, because callerAddress is 0.0.0.0");
  }
  const Endpoint& caller = settings.caller_address;
  const Endpoint& peer = settings.peer_address;
  if (caller.port != 0 && caller.port == peer.port &&
      (caller.host == peer.host || caller.host == kAnyHost)) {
    reader.Report("peerAddress", '"' + ToString(peer) + '"',
                  "an address other than callerAddress");
  }
}

PlatformSettings ReadPlatform(JsonReader reader) {
  PlatformSettings platform;
  platform.object_api = ReadEndpoint(reader, "objectApi", kReachableRule);
  platform.cloud_api = ReadEndpoint(reader, "cloudApi", kReachableRule);
  platform.timeout =
      milliseconds(reader.Whole("timeoutMs", {2000, 100, 60000}));
  reader.RefuseUnknownKeys();
  return platform;
}

std::vector<Endpoint> ReadPeers(JsonReader& reader) {
  std::vector<Endpoint> peers;
  for (const std::string& text :
       reader.Texts("peers", 0, kMaxPeers, kReachableRule)) {
    peers.push_back(*ParseEndpoint(text));
  }
  return peers;
}

PeerKeySettings ReadPeerKey(JsonReader reader) {
  PeerKeySettings key;
  key.id = static_cast<uint32_t>(
      reader.RequiredWhole("id", {0, 1, std::numeric_limits<uint32_t>::max()}));
  const std::string hex = reader.Text(
      "secret", HexRule(kMinSecretBytes, kMaxSecretBytes, Disclosure::kSecret));
  key.secret = HexDecode(hex).value_or("");
  reader.RefuseUnknownKeys();
  return key;
}

std::vector<PeerKeySettings> ReadPeerKeys(JsonReader& reader) {
  std::vector<PeerKeySettings> keys;
  for (const nlohmann::json* element :
       reader.Array("peerKeys", 1, kMaxPeerKeys)) {
    keys.push_back(
        ReadPeerKey(reader.Element("peerKeys", keys.size(), element)));
  }
  if (keys.size() < kMaxPeerKeys) {
    return keys;
  }
  if (keys[0].id != 0 && keys[0].id == keys[1].id) {
    reader.Report("peerKeys[1].id", std::to_string(keys[1].id),
                  "an id other than that of the first key");
  }
  if (!keys[0].secret.empty() && keys[0].secret == keys[1].secret) {
    reader.Report("peerKeys[1].secret", "the secret of the first key",
                  "another secret");
  }
  return keys;
}

OperatorKeyHash ReadOperatorKey(JsonReader reader) {
  OperatorKeyHash key;
  key.salt = reader.Text(
      "salt", HexRule(kMinSecretBytes, kMaxSecretBytes, Disclosure::kSecret));
  key.hash = reader.Text(
      "hash", HexRule(kDigestBytes, kDigestBytes, Disclosure::kSecret));
  reader.RefuseUnknownKeys();
  return key;
}

TrafficSettings ReadTraffic(JsonReader reader) {
  TrafficSettings traffic;
  traffic.threads = Whole32(reader, "threads", {64, 1, 1024});
  traffic.max_connections = Whole32(reader, "maxConnections", {1024, 1, 65536});
  traffic.max_body_bytes =
      reader.Whole("maxBodyBytes", {1048576, 1024, 67108864});
  traffic.max_streams = Whole32(reader, "maxStreams", {1024, 1, 65536});
  traffic.silence_timeout =
      milliseconds(reader.Whole("silenceTimeoutMs", {10000, 100, 600000}));
  traffic.keep_alive = seconds(reader.Whole("keepAliveSeconds", {30, 1, 3600}));
  traffic.stream_retention =
      seconds(reader.Whole("streamRetentionSeconds", {300, 1, 86400}));
  reader.RefuseUnknownKeys();
  return traffic;
}

std::optional<TlsSettings> ReadTls(JsonReader& parent) {
  if (!parent.Has("tls")) {
    return std::nullopt;
  }
  JsonReader reader = parent.OptionalObject("tls");
  TlsSettings tls;
  const bool serves = reader.Has("certificateFile") || reader.Has("keyFile");
  if (serves) {
    tls.certificate_file = reader.Text("certificateFile", kPathRule);
    tls.key_file = reader.Text("keyFile", kPathRule);
  }
  tls.backend_ca_file =
      reader.OptionalText("backendCaFile", kPathRule).value_or("");
  reader.RefuseUnknownKeys();
  return tls;
}

LedgerSettings ReadLedger(JsonReader reader) {
  LedgerSettings ledger;
  ledger.shards = Whole32(reader, "shards", {16, 1, 1024});
  ledger.max_answer_bytes =
      Whole32(reader, "maxAnswerBytes", {16384, 0, 65536});
  reader.RefuseUnknownKeys();
  return ledger;
}

LogSettings ReadLog(JsonReader reader) {
  LogSettings log;
  const std::string level =
      reader.OptionalText("level", kLogLevelRule).value_or("info");
  log.level = *FindLogLevel(level);
  log.file = reader.OptionalText("file", kPathRule).value_or("");
  reader.RefuseUnknownKeys();
  return log;
}

DrainSettings ReadDrain(JsonReader reader) {
  DrainSettings drain;
  drain.timeout =
      milliseconds(reader.Whole("timeoutMs", {60000, 1000, 3600000}));
  reader.RefuseUnknownKeys();
  return drain;
}

Settings ReadSettings(JsonReader reader) {
  Settings settings;
  settings.instance = reader.Text("instance", kNameRule);
  settings.zone = reader.Text("zone", kNameRule);
  settings.region = reader.Text("region", kNameRule);
  ReadAddresses(reader, settings);
  settings.platform = ReadPlatform(reader.RequiredObject("platform"));
  settings.peers = ReadPeers(reader);
  settings.peer_keys = ReadPeerKeys(reader);
  settings.operator_key = ReadOperatorKey(reader.RequiredObject("operatorKey"));
  settings.traffic = ReadTraffic(reader.OptionalObject("traffic"));
  settings.tls = ReadTls(reader);
  settings.ledger = ReadLedger(reader.OptionalObject("ledger"));
  settings.log = ReadLog(reader.OptionalObject("log"));
  settings.drain = ReadDrain(reader.OptionalObject("drain"));
  reader.RefuseUnknownKeys();
  return settings;
}

}  // namespace

std::optional<Settings> ParseSettings(std::string_view text,
                                      std::vector<JsonFault>& faults) {
  const size_t before = faults.size();
  const std::optional<nlohmann::json> value = ParseJson(text, faults);
  std::optional<Settings> settings;
  if (value) {
    settings = ReadSettings(JsonReader(&*value, "$", faults));
  }
  if (faults.size() > before) {
    return Fail(ResultCode::kSettingsInvalid, ToString(faults));
  }
  return settings;
}

std::optional<Settings> LoadSettings(const std::string& path,
                                     std::vector<JsonFault>& faults) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(file.gcount()));
  if (!file.is_open() || file.bad() || text.size() > kMaxFileBytes) {
    const std::string_view cause =
        text.size() > kMaxFileBytes ? "larger than 1 MB" : "cannot be read";
    faults.push_back({path, std::string(cause), "a readable settings file"});
    return Fail(ResultCode::kSettingsUnreadable, ToString(faults));
  }
  return ParseSettings(text, faults);
}

}  // namespace boragewharf
