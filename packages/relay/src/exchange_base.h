/**
 * @file exchange_base.h
 * Processing of one client request, from its arrival to the end of the
 * response.
 */
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "httpio/server_connection_base.h"
#include "relay/server_pool_base.h"
#include "relay/traffic_core_base.h"
#include "relay/upstream_connection_base.h"
#include "serving/attempt_observer_base.h"
#include "serving/event_splitter_base.h"
#include "serving/request_type.h"

namespace boragewharf::relay {

/** Time that requests wait for the first configuration and server list, or for
 * the versions of streams. A node reads them within a few dozen ms of its start
 * if the store answers. */
inline constexpr std::chrono::milliseconds kStartWait(400);

/** Minimum time left before the deadline for a request to be sent again. */
inline constexpr std::chrono::milliseconds kMinResendTime(150);

/** A part of a configuration, which is kept as long as the part is.
 * @param part Of @p config; may be null. */
template <class Part>
std::shared_ptr<const Part> PartOf(
    const std::shared_ptr<const serving::ServingConfig>& config,
    const Part* part) {
  return part == nullptr ? nullptr : std::shared_ptr<const Part>(config, part);
}

/** Duration in whole milliseconds, for log lines. */
inline int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/**
 * A client request in progress; exists until the response has ended or the
 * client is gone. Not thread-safe; used on the traffic loop.
 */
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
   * Checks the request and sends it to a server, or refuses it. If the
   * configuration, the servers or the version of a resumed stream are not known
   * yet, the request waits in TrafficCore::waiting_requests, from where Start()
   * is called again.
   */
  void Start();

  /** Whether the request has ended. */
  bool Done() const { return this->done; }

  /** The client closed its connection: cancels the request at the server. */
  void OnClientDisconnected();

  /** Ends the request if it would crash its server and has no event yet. */
  void AbandonIfBlocked();

  /** Bytes of the response that are kept: buffered ones, and those of an
   * unfinished event. They belong to the attempt; 0 without one. */
  size_t HeldBytes() const { return this->buffered.size() + this->event_bytes; }

  /** Fails the attempt, and so frees HeldBytes(), because the responses of all
   * requests hold too much.
   * @pre HeldBytes() > 0 */
  void FailForBufferLimit();

  /** Applies timeouts, and moves the request away from a stopping server. */
  void CheckTime(TimePoint now);

  /** Ends the request because the process exits: answers it if its response
   * has not begun, else cuts the response off. */
  void EndWithNode();

  void OnSending() override;
  bool OnHead(const httpio::ResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete() override;
  void OnFailure(serving::AttemptFailure failure) override;

 private:
  /** Calls @p handler; if it throws, ends this request only. @param source See
   * HandlerGuard. */
  void Protect(std::string_view source, const std::function<void()>& handler);
  /** Refuses the request, or cuts its response off if that has begun. */
  void EndAfterException();
  void Begin();
  bool AcceptHead(const httpio::ResponseHead& head);
  void TakeBody(std::string_view bytes);
  void Complete();
  void CheckTimes(TimePoint now);
  void Cancel();

  /** Data on which the last choice of a server was based, for the log. */
  struct ChoiceInputs {
    int64_t expected_ms = -1;  ///< Expected time to the first token.
    uint32_t running = 0;      ///< Requests running at the server.
    uint64_t prefill_tokens = 0;
    int64_t load_age_ms = -1;     ///< Age of the other nodes' load reports.
    uint32_t read_tokens = 0;     ///< Prompt tokens left to process.
    std::string copy_from;        ///< Address of the server from which it
                                  ///< copies the prefix, or empty.
    int64_t speed_percent = 100;  ///< Learned speed of the server.
  };

  /** Steps of moving a running stream to another server. A move starts only
   * from kNone. */
  enum class MoveStep : uint8_t { kNone, kCopying, kStopping, kEnded };

  /** How the source has ended the response while it was asked to stop. */
  enum class SourceEnd : uint8_t {
    kOpen,
    kBroken,
    /** The connection was closed after a whole event, which ends a response
     * without length, but the stop closes the connection as well. */
    kClosed,
  };

  /** The move of the attempt's run to another server. */
  struct Move {
    MoveStep step = MoveStep::kNone;
    std::shared_ptr<PooledServer> target;
    std::string source_address;
    std::string handle;
    SourceEnd source_end = SourceEnd::kOpen;
    bool stop_answered = false;     ///< The request with stop set was answered.
    bool resume_at_source = false;  ///< The last copy failed.
  };

  /** An attempt to have the request served by one server. */
  struct Attempt {
    std::shared_ptr<PooledServer> server;
    /** Of the server's software when the attempt began; the server may be
     * listed with another one after a restart. kUnknownVersion if its entry
     * was outdated. */
    std::string version;
    std::shared_ptr<UpstreamConnection> connection;
    ChoiceInputs inputs;  ///< Of the choice of this server.
    TimePoint started;
    TimePoint last_progress;  ///< When the request was sent, or the last useful
                              ///< response data arrived.
    bool sent = false;
    bool retry_taken = false;  ///< The retry budget has been charged for the
                               ///< attempt that follows.
    bool completed = false;    ///< The response is complete.
    bool first_event = false;  ///< At least one event has arrived.
    bool resumes = false;      ///< Continues a stream; little of the prompt is
                               ///< read.
    bool has_content_length = false;  ///< The response has this field.
    /** The end of the connection is that of the response. */
    bool ends_with_connection = false;
    uint32_t prefill_tokens = 0;  ///< Still counted as load of the server.
    std::optional<serving::ResponseFacts> facts;
    Move move;
    serving::AttemptOutcome outcome = serving::AttemptOutcome::kCancelled;
    TimePoint last_event;        ///< Arrival of the last event.
    TimePoint gaps_since;        ///< Arrival of the event before gaps.
    std::vector<Duration> gaps;  ///< Not yet reported to the observers.
  };

  /** Ends the request if the client has closed its connection; returns whether
   * it has. Called before each send, since the close may still be unread in the
   * socket. */
  bool CancelIfClientGone();
  bool CheckRequest();
  /** Looks up the version that the servers of a resumed stream must have.
   * Refuses the request if that is not known or none serves, or lets it wait
   * as Start() says; returns whether it may go on. */
  bool CheckStreamOrigin();
  /** Lets the request wait until its stream may be known, but not longer than
   * @p longest after its arrival; returns whether it waits. */
  bool WaitForStreamOrigin(Duration longest);
  /** Records that the stream is unknown if @p told_within, the time in which
   * its version could have been told, has passed since the request arrived. */
  void RecordUnknownStream(Duration told_within);
  /** Service and version that began the resumed stream. */
  serving::StreamVersion FindStreamOrigin();
  /** Binds the stream to the version of the attempt, whose first event is
   * about to be sent to the client. */
  void RecordStreamBegin(TimePoint now);
  /** Records that the client has been sent the whole stream, unless a part of
   * it still waits for a slow client. */
  void RecordStreamEnd(TimePoint now);
  /** Attempt id of the request that began the stream; empty if the stream
   * can't be taken up. */
  std::string_view StreamId() const;
  /** What the next server of the request has to meet. */
  ServerRequirements Required() const;
  /** Urgency of the request at an engine. */
  uint32_t Urgency() const;
  /** Refuses a request that crashes the servers that run it. */
  bool CheckCrashes();
  /** Time until the parts of the prompt may be sent again; empty if now. */
  std::optional<Duration> PartsBlockedFor(TimePoint now) const;
  /** Whether the request or a part of its prompt crashes servers. */
  bool CrashesServers(TimePoint now) const;
  /** Records that a server has run the request without a crash. */
  void ExonerateParts(TimePoint now);
  /** Refuses a request that would not be finished before the planned stop. */
  bool CheckPlannedStop();
  /** The earlier of the route's and the client's deadline. */
  TimePoint Deadline() const;
  /** Deadline(), or the end of the node's planned stop if that is earlier. */
  TimePoint EffectiveDeadline() const;
  bool Admit();
  void LogQuotaExceeded(double cost);
  bool TryServer(bool uses_retry_budget);
  /** Refuses the request because no server can take it. */
  void RefuseWithoutServer();
  void SendTo(const std::shared_ptr<PooledServer>& server,
              std::optional<serving::MoveSource> from);
  std::shared_ptr<PooledServer> ChooseServer();
  void AfterFailure(serving::AttemptFailure failure);
  void ReleaseAttempt();
  void EndPrefill();
  /** The attempt, for the observers. */
  serving::AttemptView ViewAttempt() const;
  /** Records the time since the last event; the observers get several at once.
   */
  void RecordEventGap(TimePoint now);
  void ReportEventGaps(TimePoint now);
  void CompleteStream();
  void CompleteBuffered();
  void BufferBody(std::string_view bytes, TimePoint now);
  void DropBuffered();
  /** Updates the sum of buffered bytes by those of the unfinished event. */
  void CountEventBytes();
  void FailAttempt(serving::AttemptFailure failure);
  void ForwardEvents(TimePoint now);
  /** Records that the first event of the attempt has arrived. */
  void OnFirstEvent(TimePoint now);
  void SendStreamHead();
  void SendChunk(std::string_view bytes);
  void ForwardBuffered();
  void Refuse(uint32_t status,
              std::optional<serving::Milliseconds> retry_after,
              std::string_view reason);
  void AbortClient(std::string_view reason);
  void Finish(std::string_view outcome, uint32_t status);
  bool IsStream() const;
  Duration SilenceTimeout() const;
  void CheckSilence(TimePoint now);
  /** Takes a retry from the budget if a running attempt can be replaced by one
   * at another server; returns whether it was taken. */
  bool TakeResend(TimePoint now);
  void CheckTimeout(TimePoint now);
  bool MayResend(TimePoint now);
  void CheckServerStop(TimePoint now);
  bool OutlivesNotice(TimePoint now) const;
  void StartMove();
  /** Encodes a request to move the run; empty if its id can't be encoded. */
  std::optional<httpio::InboundRequest> EncodeMove(bool stop) const;
  void SendMoveRequest(httpio::InboundRequest encoded, bool stop);
  /** Frees the copy at @p target that was made for a request that has ended. */
  static void FreeCopy(TrafficCore& core,
                       PooledServer& target,
                       const MoveResponse& answer);
  void OnMoveResponse(bool stop, const httpio::HttpResult& result);
  void OnStopResponse(const MoveResponse& answer, bool was_sent);
  /** Records the end of the response if the source may have been stopped;
   * returns whether it may. */
  bool RecordSourceEnd(SourceEnd end);
  /** Ends a move whose source was not stopped. */
  void AbandonMove();
  void ContinueFromMove();

  TrafficCore& core;
  std::shared_ptr<httpio::ServerConnection> client;
  serving::ClientRequest request;
  std::shared_ptr<const std::string> body;
  std::shared_ptr<const serving::ServingConfig> config;  ///< At the start.
  // Parts of a configuration, which they keep. Those of a request that waited
  // may be of an earlier one than config until they are looked up again.
  std::shared_ptr<const serving::Route> route;
  std::shared_ptr<const serving::Customer> customer;
  std::shared_ptr<const serving::Service> service;
  std::string service_name;
  uint64_t fingerprint = 0;
  std::vector<uint64_t> shared_parts;  ///< Ids, in the order of the prompt.
  bool parts_exonerated = false;       ///< See ExonerateParts().
  double quota_cost = 0;
  TimePoint arrived;
  TimePoint route_deadline;
  TimePoint client_deadline;
  std::optional<Attempt> attempt;
  ChoiceInputs choice_inputs;
  std::vector<std::string> excluded_servers;  ///< Servers at which it failed.
  uint32_t sends = 0;  ///< Attempts that sent the request.
  bool may_have_run = false;
  bool answer_started = false;
  bool close_announced = false;  ///< The head says that the connection closes.
  bool usage_counted = false;
  bool done = false;
  std::optional<uint64_t> last_event_id;
  /** Version that began the stream; empty until its client has an event. */
  std::optional<std::string> stream_version;
  uint32_t events = 0;
  TimePoint first_event_at;
  serving::EventSplitter splitter;
  std::string buffered;
  size_t event_bytes = 0;  ///< See CountEventBytes().
};

}  // namespace boragewharf::relay
