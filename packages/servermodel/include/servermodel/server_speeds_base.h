/**
 * @file server_speeds_base.h
 * Speed of each backend server relative to the others of its service, learned
 * by all nodes together.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time_type.h"
#include "servermodel/length_separation_base.h"
#include "servermodel/load_fit_base.h"
#include "servermodel/speed_report_type.h"
#include "serving/attempt_observer_base.h"
#include "serving/server_type.h"
#include "serving/shared_state_base.h"

namespace boragewharf::servermodel {

/** Identifies a server from its start to its end in messages. A restart gives
 * another key, so that samples of the previous lifetime are ignored.
 * @note Thread-safe. */
serving::NameHash LifetimeKey(const serving::BackendServer& server);

/** Decodes the payload of a ExtensionKind::kServerSpeeds from any bytes; empty
 * if it is not a report. @note Thread-safe. */
std::optional<SpeedReport> DecodeReport(std::string_view payload);

/** What is known of a server. */
struct ServerEstimate {
  double speed = 1;          ///< 1 is the average of its service.
  double recent_weight = 0;  ///< Precision of the recent samples.
  double failure_share = 0;  ///< Of recent attempts of all nodes.
  bool for_long = false;     ///< Set aside for long prompts.
};

/** State of a service, for operators. */
struct ServiceSummary {
  uint32_t slow = 0;      ///< Servers that were last logged as slow.
  uint32_t for_long = 0;  ///< Servers set aside for long prompts.
  bool separated = false;
  double cut_tokens = 0;  ///< Length above which prompts count as long.
};

/** A server that has become slow or normal, for the log. */
struct SpeedChange {
  std::string server;
  std::string service;
  bool slow = false;
  ServerEstimate estimate;
};

/**
 * Learns speeds from the attempts of this node and the reports of the others.
 *
 * A sample is the logarithm of the expected time of the service's average
 * server under the same load, divided by the observed time. The recent samples
 * of all nodes are combined with the server's lasting level, which is shrunk
 * towards the service's average (empirical Bayes; Efron and Morris, 1975).
 * Not thread-safe; times are passed in.
 */
class ServerSpeeds : public serving::AttemptObserver,
                     public serving::SharedState {
 public:
  /** Applies a server list. Estimates of removed servers are dropped. */
  void SetServers(const serving::ServerSet& set, TimePoint now);

  /** The estimate as of the last Update(); the average for an unknown server.
   */
  ServerEstimate EstimateOf(const serving::BackendServer& server) const;

  /** Recomputes the estimates. MergePeers() calls it. */
  void Update(TimePoint now);

  /** Sets whether the request's prompt is long and the price of a server for
   * the other length, where the service's prompts are separated. */
  void ClassifyLength(std::string_view service,
                      serving::RouteRequest& request) const;

  /** Servers that became slow or normal since the last call. */
  std::vector<SpeedChange> TakeChanges();

  /** State of each service with servers. */
  std::map<std::string, ServiceSummary> Summaries() const;

  /** Reports that could not be decoded, since start. */
  uint64_t InvalidReports() const { return this->invalid_reports; }

  void OnFirstEvent(const serving::AttemptView& attempt,
                    Duration after,
                    TimePoint now) override;
  void OnEventGaps(const serving::AttemptView& attempt,
                   std::span<const Duration> gaps,
                   TimePoint now) override;
  void OnEnded(const serving::AttemptView& attempt,
               serving::AttemptOutcome outcome,
               Duration after,
               TimePoint now) override;
  void AppendExtensions(std::vector<serving::PeerExtension>& extensions,
                        TimePoint now) override;
  void MergePeers(const serving::PeerSummary& summary, TimePoint now) override;

 private:
  /** Decayed samples of a server. */
  struct Samples {
    double log_sum = 0;  ///< Of the speeds, times their weights.
    double weight = 0;   ///< Precision of the mean.
    double ended = 0;
    double failed = 0;

    void Scale(double factor);
    void Add(const Samples& other);
    double Mean() const { return this->log_sum / this->weight; }
  };

  struct Server {
    std::string id;
    std::string service;
    std::string zone;
    uint32_t slots = 1;
    Samples own;  ///< As of own_updated.
    TimePoint own_updated;
    TimePoint last_sample;
    TimePoint reported_at;  ///< When the other nodes were last told.
    Samples recent;         ///< Of all nodes, as of the last Update().
    Samples lasting;        ///< Integral of recent over the last seconds.
    double log_speed = 0;
    bool for_long = false;  ///< Set aside for long prompts.
    bool slow = false;
  };

  /** The last entry of another node for a server. */
  struct PeerEntry {
    TimePoint received;
    SpeedEntry entry;
  };

  /** Expected times of a service at this node. */
  struct ServiceFits {
    LoadFit gaps;
    LengthSeparation lengths;
    bool separated = false;    ///< Some servers are set aside, and not all.
    double tokens_per_ms = 0;  ///< As all nodes have measured; 0: unknown.
    std::map<std::string, LoadFit> first_events;  ///< By route.
    std::map<std::string, LoadFit> responses;     ///< By route.
  };

  Server* Find(const serving::BackendServer& server);
  static void DecayOwn(Server& server, TimePoint now);
  void AddSample(Server& server,
                 LoadFit& fit,
                 const LoadPoint& load,
                 double ms,
                 TimePoint now);
  size_t MaxEntries() const;
  void ChooseReported(TimePoint now);
  void MergeReport(uint32_t sender,
                   const SpeedReport& report,
                   TimePoint received);
  void SumRecent(TimePoint now);
  void EstimateService(std::vector<Server*>& members);
  void RecordChange(Server& server);
  void SeparateLengths(const std::string& service,
                       std::vector<Server*>& members,
                       TimePoint now);

  std::unordered_map<serving::NameHash, Server> servers;  ///< By LifetimeKey().
  std::map<std::string, ServiceFits, std::less<>> services;
  /** By sender, then in any order. */
  std::unordered_map<uint32_t, std::vector<PeerEntry>> peers;
  std::vector<serving::NameHash> reported;  ///< Servers in the next message.
  TimePoint reported_until;
  uint32_t nodes = 1;
  Duration message_period{};
  std::vector<SpeedChange> changes;
  TimePoint updated;
  uint64_t invalid_reports = 0;
};

}  // namespace boragewharf::servermodel
