/**
 * @file provider_base.h
 * What traffic needs from other modules, as abstract interfaces. All
 * implementations are thread-safe and outlive the front end.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/digest_func.h"
#include "ledger/claim_type.h"
#include "traffic/handover_type.h"
#include "traffic/snapshot_type.h"

namespace boragewharf::traffic {

/** Source of the current snapshot. */
class SnapshotSource {
 public:
  virtual ~SnapshotSource() = default;

  /** The current snapshot; never null. Does not block. */
  virtual SnapshotPtr Get() const = 0;
};

/** Access to the ledger. */
class ClaimClient {
 public:
  virtual ~ClaimClient() = default;

  /**
   * Claims a key; blocks until the claim is decided.
   * @param deadline No later than this the call returns.
   * @return Empty optional if no decision arrived; the claim is not used then.
   */
  virtual std::optional<ledger::ClaimResult> Claim(
      const ledger::ClaimRequest& request,
      TimePoint deadline) = 0;

  /**
   * Records the outcome of a granted claim; blocks until it is recorded.
   * @return False with the last reason if it may not be recorded.
   */
  virtual bool Report(const ledger::OutcomeReport& report) = 0;
};

enum class ObservationKind : uint8_t {
  kAnswered,       ///< A complete answer arrived.
  kConnectFailed,  ///< No connection; nothing was sent.
  kRefused,        ///< The server refused without running the request.
  kSilent,         ///< No byte within the silence bound.
  kBroken,         ///< The connection ended before the answer did.
};

/** Something that traffic noticed about a backend server. */
struct BackendObservation {
  ObservationKind kind = ObservationKind::kAnswered;  ///< What happened.
  std::string instance;                               ///< Backend server.
  Digest fingerprint{};    ///< Customer and request digest.
  bool announced = false;  ///< The server was known to be leaving.
};

/** Receives observations. Calls must not block. */
class ObservationSink {
 public:
  virtual ~ObservationSink() = default;

  /** Called for each end of an attempt. */
  virtual void Observe(const BackendObservation& observation) = 0;

  /** Called when the number of open streams changes. */
  virtual void SetOpenStreams(uint32_t count) = 0;
};

/** Hands streams over to other entry instances. */
class HandoverClient {
 public:
  virtual ~HandoverClient() = default;

  /**
   * Offers a stream to peers; blocks until one adopts it or none does.
   * @return Caller address of the peer that adopted it.
   */
  virtual std::optional<Endpoint> HandOver(const StreamTransfer& transfer) = 0;
};

/** Answer to an operator's call. */
struct OperatorAnswer {
  int status = 200;  ///< HTTP status.
  std::string body;  ///< JSON.
};

/** Operator calls; the front end has checked the operator key. */
class OperatorHandler {
 public:
  virtual ~OperatorHandler() = default;

  /** Files the ticket in @p body; blocks until it is decided or pending. */
  virtual OperatorAnswer SubmitTicket(std::string_view body) = 0;
  /** All tickets known. */
  virtual OperatorAnswer ListTickets() = 0;
  /** One ticket; @p number as written in the path. */
  virtual OperatorAnswer ShowTicket(std::string_view number) = 0;
  /** State of the system in short. */
  virtual OperatorAnswer Status() = 0;
  /** Starts a graceful shutdown; returns at once. */
  virtual OperatorAnswer Drain() = 0;
  /** Whole state of the process, without secrets. */
  virtual OperatorAnswer StateDump() = 0;
};

}  // namespace boragewharf::traffic
