/**
 * @file exchange_base.h
 * One client request from its arrival to the end of its answer.
 */
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "httpio/server_connection_base.h"
#include "relay/server_pool_base.h"
#include "relay/traffic_core_base.h"
#include "relay/upstream_connection_base.h"
#include "serving/event_splitter_base.h"
#include "serving/request_type.h"

namespace boragewharf::relay {

/** A repeat needs at least this much time to be worth sending. */
inline constexpr std::chrono::milliseconds kLeastTimeLeft(150);

/** Whole milliseconds, for log lines. */
inline int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/** Lives while the client waits. Not thread-safe; on the traffic loop. */
class Exchange : public UpstreamListener,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(TrafficCore& core,
           std::shared_ptr<httpio::ServerConnection> client,
           serving::ClientRequest request,
           std::string body);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /**
   * Checks the request and sends it to a server, or refuses it. While the core
   * is not ready it joins the early requests, which are started again.
   */
  void Start();

  /** Whether the request has ended. */
  bool Done() const { return this->done; }

  /** The client left; the server's work is cancelled. */
  void OnClientDisconnected();

  /** Applies the time bounds and moves away from leaving servers. */
  void CheckTime(TimePoint now);

  void OnSending() override;
  bool OnHead(const httpio::ResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete() override;
  void OnFailure(serving::AttemptFailure failure) override;

 private:
  /** What the last choice of a server rested on, for the log. */
  struct ChoiceInputs {
    int64_t expected_ms = -1;  ///< Expected time to the first token.
    uint32_t running = 0;      ///< Requests at the server.
    uint64_t prefill_tokens = 0;
    int64_t load_age_ms = -1;  ///< Age of the other nodes' report.
    uint32_t read_tokens = 0;  ///< Prompt tokens that it has to read.
    std::string copy_from;     ///< Where it gets the prefix, or empty.
  };

  /** A request under way at a server. */
  struct Attempt {
    std::shared_ptr<PooledServer> server;
    std::shared_ptr<UpstreamConnection> connection;
    TimePoint started;
    TimePoint last_progress;  ///< Last byte that belongs to an answer.
    bool sent = false;
    bool completed = false;       ///< The response is complete.
    bool first_event = false;     ///< Events have arrived from it.
    bool sized = false;           ///< The body's length was announced.
    uint32_t prefill_tokens = 0;  ///< Still counted as load.
    std::optional<serving::ResponseFacts> facts;
  };

  /** Steps of carrying a running stream over to another server. */
  enum class MoveStep : uint8_t { kNone, kCopying, kStopping, kGivenUp };

  struct Move {
    MoveStep step = MoveStep::kNone;
    std::shared_ptr<PooledServer> target;
    std::string source_address;
    std::string handle;
    bool stream_closed = false;  ///< The source has closed its stream.
    bool answered = false;       ///< The stopping call has been answered.
    bool sent_to_source = false;
  };

  /** Whether the client has left; then the request has ended. Asked before
   * each send: a close may wait unread in the socket. */
  bool CancelIfClientLeft();
  bool CheckRequest();
  /** Refuses a request that the end of a leaving node would cut off. */
  bool CheckPlannedStop();
  /** End of the time that the route and the client allow. */
  TimePoint Deadline() const;
  /** The deadline, or the end of a leaving node if that is sooner. */
  TimePoint End() const;
  bool Admit();
  void LogQuota(double cost);
  bool TryServer(bool counts_as_repeat);
  void SendTo(const std::shared_ptr<PooledServer>& server,
              std::optional<serving::MoveSource> from);
  std::shared_ptr<PooledServer> ChooseServer();
  void AfterFailure(serving::AttemptFailure failure);
  void ReleaseAttempt();
  void EndPrefill();
  void CompleteStream();
  void CompleteBuffered();
  void BufferBody(std::string_view bytes, TimePoint now);
  void DropBuffered();
  void GiveUpAttempt(serving::AttemptFailure failure);
  void ForwardEvents(TimePoint now);
  void SendStreamHead();
  void SendChunk(std::string_view bytes);
  void ForwardBuffered();
  void Refuse(uint32_t status,
              std::optional<serving::Milliseconds> retry_after,
              std::string_view reason);
  void AbortClient(std::string_view reason);
  void Finish(std::string_view outcome, uint32_t status);
  bool IsStream() const;
  Duration SilenceBound() const;
  void CheckSilence(TimePoint now);
  void CheckTimeout(TimePoint now);
  bool ResendInsteadOfWaiting(TimePoint now);
  void CheckLeaving(TimePoint now);
  bool OutlivesNotice(TimePoint now) const;
  void StartMove();
  void CallMove(bool stop);
  /** Frees the copy at @p target that a move made for a request that ended. */
  static void FreeCopy(TrafficCore& core,
                       PooledServer& target,
                       const MoveAnswer& answer);
  void OnMoveAnswer(bool stop, const httpio::HttpResult& result);
  void ContinueFromMove();

  TrafficCore& core;
  std::shared_ptr<httpio::ServerConnection> client;
  serving::ClientRequest request;
  std::shared_ptr<const std::string> body;
  std::shared_ptr<const serving::ServingConfig> config;  ///< At the start.
  const serving::Route* route = nullptr;
  const serving::Customer* customer = nullptr;
  const serving::Service* service = nullptr;
  std::string service_name;
  uint64_t fingerprint = 0;
  double quota_cost = 0;
  TimePoint arrived;
  TimePoint route_deadline;
  TimePoint client_deadline;
  std::optional<Attempt> attempt;
  ChoiceInputs chosen_by;
  std::vector<std::string> tried;  ///< Servers that failed it.
  uint32_t sends = 0;              ///< Servers to which it was sent.
  bool may_have_run = false;
  bool answer_started = false;
  bool counted_run = false;
  bool done = false;
  std::optional<uint64_t> last_event_id;
  uint32_t events = 0;
  TimePoint first_event_at;
  serving::EventSplitter splitter;
  std::string buffered;
  Move move;
};

}  // namespace boragewharf::relay
