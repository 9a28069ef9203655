/**
 * @file settings_type.h
 * Settings of a daemon, read once at start. docs/CONFIG.md lists all keys.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint_type.h"

namespace boragewharf {

/** Access to the platform. */
struct PlatformSettings {
  Endpoint object_api;                      ///< The store.
  Endpoint cloud_api;                       ///< Instances and notices.
  std::chrono::milliseconds timeout{2000};  ///< Per call.
};

/** A shared key of the daemons. */
struct PeerKeySettings {
  uint32_t id = 0;     ///< Names the key in messages.
  std::string secret;  ///< Raw bytes; never logged or dumped.
};

/** Salted hash of the operator key: SHA-256 over salt and key. */
struct OperatorKeyHash {
  std::string salt;  ///< Hexadecimal.
  std::string hash;  ///< Hexadecimal SHA-256.
};

/** Bounds of the caller API. */
struct TrafficSettings {
  uint32_t threads = 64;                             ///< HTTP handlers.
  uint32_t max_connections = 1024;                   ///< Refused beyond it.
  uint64_t max_body_bytes = 1048576;                 ///< Largest request body.
  uint32_t max_streams = 1024;                       ///< Running at once.
  std::chrono::milliseconds silence_timeout{10000};  ///< Without a byte.
  std::chrono::seconds keep_alive{30};               ///< Idle connections.
  std::chrono::seconds stream_retention{300};        ///< After a stream's end.
};

/** Files for TLS in PEM format; an empty name leaves that side plain. */
struct TlsSettings {
  std::string certificate_file;  ///< Certificate chain shown to callers.
  std::string key_file;          ///< Its private key.
  std::string backend_ca_file;   ///< Authorities of backend servers.
};

/** Bounds of the ledger; equal on all daemons of a deployment. */
struct LedgerSettings {
  uint32_t shards = 16;               ///< Number of shards.
  uint32_t max_answer_bytes = 16384;  ///< Longest answer kept for repeats.
};

enum class LogLevel : uint8_t { kDebug, kInfo, kWarn, kError };

/** Where log lines go. */
struct LogSettings {
  LogLevel level = LogLevel::kInfo;  ///< Lowest level written.
  std::string file;                  ///< Empty for standard error.
};

/** Graceful shutdown. */
struct DrainSettings {
  std::chrono::milliseconds timeout{60000};  ///< Then streams are handed over.
};

/** All settings of a daemon. */
struct Settings {
  std::string instance;                    ///< Name in the instance list.
  std::string zone;                        ///< Availability zone.
  std::string region;                      ///< Region of the zone.
  Endpoint caller_address;                 ///< Where callers are served.
  Endpoint advertised_caller_address;      ///< What callers are told to use.
  Endpoint peer_address;                   ///< UDP and TCP between daemons.
  PlatformSettings platform;               ///< Access to the platform.
  std::vector<Endpoint> peers;             ///< Seeds besides the instance list.
  std::vector<PeerKeySettings> peer_keys;  ///< One or two; the first one sends.
  OperatorKeyHash operator_key;            ///< Checks the operator key.
  TrafficSettings traffic;                 ///< Bounds of the caller API.
  std::optional<TlsSettings> tls;          ///< Absent for plain HTTP.
  LedgerSettings ledger;                   ///< Bounds of the ledger.
  LogSettings log;                         ///< Where log lines go.
  DrainSettings drain;                     ///< Graceful shutdown.
};

}  // namespace boragewharf
