/**
 * @file document_type.h
 * The configuration document: what operators set, and the tickets that set it.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/strong_id_type.h"

namespace boragewharf::config {

/** Format number of the document; a higher one is left unchanged. */
inline constexpr uint32_t kDocumentFormat = 1;

/** Which ticket changed an object last. */
struct Origin {
  ConfigRevision revision;  ///< Revision that the ticket created.
  TicketNumber ticket;      ///< Number of the ticket.

  auto operator<=>(const Origin&) const = default;
};

/** Salted hash of a customer's token: SHA-256 over salt and secret. */
struct TokenHash {
  std::string salt;  ///< Hexadecimal, at least 16 bytes.
  std::string hash;  ///< Hexadecimal SHA-256.

  auto operator<=>(const TokenHash&) const = default;
};

/** Who sends requests. A token reads "NAME.SECRET". */
struct Customer {
  std::string name;               ///< Unique; no dot.
  std::vector<TokenHash> tokens;  ///< All are valid, for a change of token.
  uint32_t weight = 1;            ///< Share under overload.
  uint32_t max_concurrent = 64;   ///< Requests running at once per daemon.
  uint32_t requests_per_second = 100;  ///< Rate per daemon.
  Origin origin;                       ///< Last change.

  auto operator<=>(const Customer&) const = default;
};

enum class ServiceType : uint8_t {
  kModel,  ///< Model engines with the completions API.
  kPlain,  ///< Any HTTP service.
};

/** What callers address. */
struct Service {
  std::string name;                           ///< Unique; part of the path.
  ServiceType type = ServiceType::kPlain;     ///< How it is spoken to.
  bool require_idempotency_key = false;       ///< Unsafe calls need a key.
  uint32_t max_retries = 2;                   ///< For idempotent requests.
  std::chrono::milliseconds deadline{30000};  ///< Longest run of a request.
  Origin origin;                              ///< Last change.

  auto operator<=>(const Service&) const = default;
};

/** A model that a service of type kModel offers. */
struct Model {
  std::string name;                   ///< Unique; callers name it.
  std::string service;                ///< Service that runs it.
  std::string version;                ///< Version to load.
  std::vector<std::string> adapters;  ///< Adapters to load.
  uint32_t replicas = 1;              ///< Wanted replicas.
  Origin origin;                      ///< Last change.

  auto operator<=>(const Model&) const = default;
};

/** Bounds on the capacity of a service. */
struct Limits {
  std::string name;                ///< Service that is bounded.
  uint32_t min_replicas = 0;       ///< Kept when a zone is lost.
  uint32_t max_replicas = 100;     ///< Upper bound.
  std::vector<std::string> zones;  ///< Allowed zones; empty for all.
  double max_price_per_hour = 0;   ///< Per instance; 0 for no bound.
  Origin origin;                   ///< Last change.

  auto operator<=>(const Limits&) const = default;
};

/** All objects of one revision, by name. */
struct Configuration {
  ConfigRevision revision;                    ///< 0 before the first ticket.
  std::map<std::string, Customer> customers;  ///< By name.
  std::map<std::string, Service> services;    ///< By name.
  std::map<std::string, Model> models;        ///< By name.
  std::map<std::string, Limits> limits;       ///< By service name.
  /**
   * Which ticket removed an object, by "KIND/NAME". Kept as long as the ticket
   * is remembered: without it, a ticket filed against an older revision could
   * set a removed object again without a conflict.
   */
  std::map<std::string, Origin> removed;

  auto operator<=>(const Configuration&) const = default;
};

/** What is remembered of a ticket. */
struct TicketRecord {
  TicketNumber number;      ///< The operator's number.
  std::string digest;       ///< Hexadecimal SHA-256 of the canonical ticket.
  ConfigRevision revision;  ///< Revision that it created.
  std::string summary;      ///< The objects touched, for people.

  auto operator<=>(const TicketRecord&) const = default;
};

/** A ticket that is being distributed. */
struct StagedTicket {
  TicketRecord record;          ///< The ticket; its revision is the next one.
  Configuration configuration;  ///< Whole state after the ticket.

  auto operator<=>(const StagedTicket&) const = default;
};

/** The object configs/current. */
struct Document {
  uint32_t format = kDocumentFormat;   ///< Format number.
  Configuration accepted;              ///< In force.
  std::vector<TicketRecord> tickets;   ///< Accepted tickets, oldest first.
  std::optional<StagedTicket> staged;  ///< At most one.

  auto operator<=>(const Document&) const = default;
};

/** Revision that a holder of @p document holds, counting the staged one. */
inline ConfigRevision HeldRevision(const Document& document) {
  return document.staged ? document.staged->record.revision
                         : document.accepted.revision;
}

}  // namespace boragewharf::config
