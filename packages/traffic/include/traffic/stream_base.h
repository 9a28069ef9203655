/**
 * @file stream_base.h
 * Record of a running request to a model engine: an upstream thread fills it,
 * handler threads read it.
 */
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest_func.h"
#include "base/endpoint_type.h"
#include "base/request_id_type.h"
#include "base/result_type.h"
#include "base/time_type.h"
#include "traffic/chunk_writer_base.h"
#include "traffic/completion_type.h"
#include "traffic/handover_type.h"

namespace boragewharf::traffic {

enum class StreamState : uint8_t {
  kRunning,     ///< Tokens may follow.
  kFinished,    ///< The answer is complete.
  kFailed,      ///< No further tokens; see StreamFailure.
  kHandedOver,  ///< Continues at another entry instance.
  kCancelled,   ///< The caller left.
};

/** Why a stream ended without a complete answer. */
struct StreamFailure {
  ResultCode code = ResultCode::kInternal;     ///< Numbered cause.
  std::string detail;                          ///< Specifics.
  RunState run_state = RunState::kMayHaveRun;  ///< What is known.
  int engine_status = 0;    ///< HTTP status if the engine rejected it.
  std::string engine_body;  ///< The engine's answer in that case.
};

/** What a reader gets: the tokens after its position, and the state. */
struct StreamPart {
  StreamState state = StreamState::kRunning;  ///< After these tokens.
  std::string text;                           ///< Text of the tokens.
  std::vector<uint32_t> ends;  ///< End of each token within text.
  std::string finish_reason;   ///< For kFinished.
  Usage usage;                 ///< For kFinished.
  StreamFailure failure;       ///< For kFailed.
  Endpoint target;             ///< For kHandedOver.
};

/** The attempt that may fill a stream, and where it continues from. */
struct StreamAttempt {
  uint32_t number = 0;    ///< Fences off output of earlier attempts.
  std::string text;       ///< Text received so far.
  uint32_t received = 0;  ///< Tokens received so far.
};

/** How the current attempt proceeds, for the decision to move it. */
struct AttemptProgress {
  std::string instance;    ///< Backend server; empty if there is none.
  uint32_t number = 0;     ///< Attempt number.
  uint32_t tokens = 0;     ///< Received in this attempt.
  uint32_t remaining = 0;  ///< Up to the token limit; 0 if unknown.
  TimePoint started;       ///< Start of the attempt.
};

/** A running request. All methods are thread-safe. */
class Stream {
 public:
  /**
   * @param latest_end The stream fails when it is passed.
   * @param request_fingerprint Digest of customer and request.
   */
  Stream(const RequestId& stream_id,
         std::string owner,
         CompletionRequest completion,
         TimePoint latest_end,
         const Digest& request_fingerprint);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  const RequestId id;               ///< Also the request id.
  const std::string customer;       ///< Who may read it.
  const CompletionRequest request;  ///< What runs.
  const TimePoint deadline;         ///< Latest end.
  const Digest fingerprint;         ///< Digest of customer and request.

  /** Takes over tokens of another entry instance. @pre No attempt yet. */
  void Restore(const StreamTransfer& transfer);

  /**
   * Starts an attempt, which fences off all earlier ones. Blocks while the
   * stream is paused.
   * @return Empty optional if the stream has ended.
   */
  std::optional<StreamAttempt> BeginAttempt(std::string_view instance);

  /**
   * Sets what interrupts the attempt's blocking calls, or clears it.
   * @return False if the attempt is no longer the current one.
   */
  bool SetInterrupt(uint32_t attempt, std::function<void()> function);

  /**
   * Adds one token; readers see it after Publish() or the end of the stream.
   * @return False if the attempt is not the current one.
   */
  bool Append(uint32_t attempt, std::string_view text);

  /** Wakes readers, once for all tokens that arrived together. */
  void Publish() { this->changed.notify_all(); }

  /** Records the prompt's tokens as the engine counts them. */
  void SetPromptTokens(uint32_t attempt, uint32_t count);

  /** Completes the answer, if the attempt is the current one. */
  void Finish(uint32_t attempt, std::string_view reason);

  /** Ends the stream without a complete answer, if it is running. */
  void Fail(StreamFailure failure);

  /** Ends the stream because nobody reads it, if it is running. */
  void Cancel();

  /** Makes the upstream thread begin a new attempt, if @p attempt runs. */
  bool RequestMove(uint32_t attempt);

  /**
   * Stops the current attempt and freezes the text for a handover.
   * @return Empty optional if the stream has ended.
   */
  std::optional<StreamTransfer> Pause();

  /** Ends a pause: the stream continues here. */
  void Resume();

  /** Ends a pause: the stream continues at @p target. */
  void CompleteHandover(const Endpoint& target);

  /**
   * Waits for tokens after position @p from or the end of the stream.
   * @return The part, empty and kRunning after @p timeout.
   */
  StreamPart Read(uint32_t from, Duration timeout);

  /**
   * Waits until the stream has ended, for answers in one piece.
   * @return Empty optional after @p timeout.
   */
  std::optional<StreamPart> ReadWhole(Duration timeout);

  /** Waits until the stream has ended, at most for @p timeout. */
  void WaitEnded(Duration timeout);

  /** Counts a reader in. */
  void Attach();

  /** Counts a reader out; the last one to leave a running stream cancels it. */
  void Detach();

  /** Progress of the current attempt. */
  AttemptProgress Progress() const;

  /** Counts an unannounced failure. @return The number of them. */
  uint32_t CountFailure();

  /** Whether @p attempt may still fill the stream. */
  bool IsCurrent(uint32_t attempt) const;

  /** Current state. */
  StreamState State() const;

  /** Tokens received. */
  uint32_t Received() const;

  /** Prompt tokens as reported, or else estimated. */
  uint32_t PromptTokens() const;

  /** Whether the stream ended or was adopted before @p time without reader. */
  bool IsAbandoned(TimePoint time) const;

 private:
  void EndLocked(StreamState new_state);
  void FenceLocked();
  StreamPart PartLocked(uint32_t from) const;

  mutable std::mutex mutex;
  std::condition_variable changed;
  StreamState state = StreamState::kRunning;
  std::string text;
  std::vector<uint32_t> ends;
  std::string finish_reason;
  StreamFailure failure;
  Endpoint target;
  std::function<void()> interrupt;
  std::string instance;
  uint32_t attempt = 0;
  uint32_t attempt_first = 0;  ///< Tokens before the current attempt.
  TimePoint attempt_started;
  TimePoint idle_since;  ///< Last time without reader.
  uint32_t prompt_tokens = 0;
  uint32_t failures = 0;
  uint32_t readers = 0;
  bool paused = false;
};

}  // namespace boragewharf::traffic
