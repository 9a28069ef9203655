/**
 * @file stream_base.cc
 * Changes and reads of the stream record.
 */
#include "traffic/stream_base.h"

#include <utility>

#include "traffic/completion_func.h"

namespace boragewharf::traffic {

Stream::Stream(const RequestId& stream_id,
               std::string owner,
               CompletionRequest completion,
               TimePoint latest_end,
               const Digest& request_fingerprint)
    : id(stream_id),
      customer(std::move(owner)),
      request(std::move(completion)),
      deadline(latest_end),
      fingerprint(request_fingerprint),
      idle_since(BootClock::now()) {}

void Stream::Restore(const StreamTransfer& transfer) {
  const std::lock_guard lock(this->mutex);
  this->text = transfer.text;
  this->ends = transfer.piece_ends;
  this->prompt_tokens = transfer.prompt_tokens;
  this->failures = transfer.failures;
}

std::optional<StreamAttempt> Stream::BeginAttempt(std::string_view server) {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [this] {
    return !this->paused || this->state != StreamState::kRunning;
  });
  if (this->state != StreamState::kRunning) {
    return std::nullopt;
  }
  this->instance = server;
  this->attempt_started = BootClock::now();
  this->attempt_first = static_cast<uint32_t>(this->ends.size());
  ++this->attempt;
  return StreamAttempt{this->attempt, this->text, this->attempt_first};
}

bool Stream::SetInterrupt(uint32_t number, std::function<void()> function) {
  const std::lock_guard lock(this->mutex);
  if (number != this->attempt) {
    // FenceLocked() has already dropped the function of this attempt.
    return false;
  }
  this->interrupt = std::move(function);
  return true;
}

bool Stream::Append(uint32_t number, std::string_view piece) {
  const std::lock_guard lock(this->mutex);
  if (number != this->attempt) {
    return false;
  }
  this->text += piece;
  this->ends.push_back(static_cast<uint32_t>(this->text.size()));
  return true;
}

void Stream::SetPromptTokens(uint32_t number, uint32_t count) {
  const std::lock_guard lock(this->mutex);
  // Later attempts count the text received before as part of the prompt.
  if (number == this->attempt && this->attempt_first == 0) {
    this->prompt_tokens = count;
  }
}

void Stream::Finish(uint32_t number, std::string_view reason) {
  const std::lock_guard lock(this->mutex);
  if (number != this->attempt) {
    return;
  }
  this->finish_reason = reason;
  this->EndLocked(StreamState::kFinished);
}

void Stream::Fail(StreamFailure cause) {
  const std::lock_guard lock(this->mutex);
  if (this->state != StreamState::kRunning) {
    return;
  }
  this->failure = std::move(cause);
  this->FenceLocked();
  this->EndLocked(StreamState::kFailed);
}

void Stream::Cancel() {
  const std::lock_guard lock(this->mutex);
  if (this->state != StreamState::kRunning) {
    return;
  }
  this->FenceLocked();
  this->EndLocked(StreamState::kCancelled);
}

bool Stream::RequestMove(uint32_t number) {
  const std::lock_guard lock(this->mutex);
  if (this->state != StreamState::kRunning || number != this->attempt) {
    return false;
  }
  this->FenceLocked();
  return true;
}

std::optional<StreamTransfer> Stream::Pause() {
  const std::lock_guard lock(this->mutex);
  if (this->state != StreamState::kRunning || this->paused) {
    return std::nullopt;
  }
  this->paused = true;
  this->FenceLocked();
  StreamTransfer transfer;
  transfer.id = this->id;
  transfer.customer = this->customer;
  transfer.fingerprint = this->fingerprint;
  transfer.is_chat = this->request.is_chat;
  transfer.streamed = this->request.streamed;
  transfer.include_usage = this->request.include_usage;
  transfer.body = this->request.body.dump();
  transfer.text = this->text;
  transfer.piece_ends = this->ends;
  transfer.prompt_tokens = this->prompt_tokens;
  transfer.failures = this->failures;
  transfer.remaining_ms = std::chrono::floor<std::chrono::milliseconds>(
                              this->deadline - BootClock::now())
                              .count();
  return transfer;
}

void Stream::Resume() {
  const std::lock_guard lock(this->mutex);
  this->paused = false;
  this->changed.notify_all();
}

void Stream::CompleteHandover(const Endpoint& peer) {
  const std::lock_guard lock(this->mutex);
  if (this->state != StreamState::kRunning) {
    return;
  }
  this->target = peer;
  this->EndLocked(StreamState::kHandedOver);
}

StreamPart Stream::Read(uint32_t from, Duration timeout) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, timeout, [&] {
    return this->ends.size() > from || this->state != StreamState::kRunning;
  });
  return this->PartLocked(from);
}

std::optional<StreamPart> Stream::ReadWhole(Duration timeout) {
  std::unique_lock lock(this->mutex);
  const bool ended = this->changed.wait_for(
      lock, timeout, [&] { return this->state != StreamState::kRunning; });
  if (!ended) {
    return std::nullopt;
  }
  return this->PartLocked(0);
}

void Stream::WaitEnded(Duration timeout) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, timeout,
                         [&] { return this->state != StreamState::kRunning; });
}

void Stream::Attach() {
  const std::lock_guard lock(this->mutex);
  ++this->readers;
}

void Stream::Detach() {
  bool is_last = false;
  {
    const std::lock_guard lock(this->mutex);
    is_last = --this->readers == 0;
    this->idle_since = BootClock::now();
  }
  if (is_last) {
    this->Cancel();
  }
}

AttemptProgress Stream::Progress() const {
  const std::lock_guard lock(this->mutex);
  AttemptProgress progress;
  progress.number = this->attempt;
  progress.started = this->attempt_started;
  if (this->state != StreamState::kRunning || this->paused) {
    return progress;
  }
  const auto received = static_cast<uint32_t>(this->ends.size());
  progress.instance = this->instance;
  progress.tokens = received - this->attempt_first;
  if (this->request.max_tokens > received) {
    progress.remaining = this->request.max_tokens - received;
  }
  return progress;
}

uint32_t Stream::CountFailure() {
  const std::lock_guard lock(this->mutex);
  return ++this->failures;
}

bool Stream::IsCurrent(uint32_t number) const {
  const std::lock_guard lock(this->mutex);
  return number == this->attempt;
}

StreamState Stream::State() const {
  const std::lock_guard lock(this->mutex);
  return this->state;
}

uint32_t Stream::Received() const {
  const std::lock_guard lock(this->mutex);
  return static_cast<uint32_t>(this->ends.size());
}

uint32_t Stream::PromptTokens() const {
  const std::lock_guard lock(this->mutex);
  return this->prompt_tokens > 0 ? this->prompt_tokens
                                 : EstimatePromptTokens(this->request);
}

bool Stream::IsAbandoned(TimePoint time) const {
  const std::lock_guard lock(this->mutex);
  return this->readers == 0 && this->idle_since < time;
}

void Stream::EndLocked(StreamState new_state) {
  this->state = new_state;
  this->instance.clear();
  this->interrupt = nullptr;
  this->idle_since = BootClock::now();
  ++this->attempt;
  this->changed.notify_all();
}

void Stream::FenceLocked() {
  ++this->attempt;
  this->instance.clear();
  if (const auto function = std::exchange(this->interrupt, nullptr)) {
    function();
  }
}

StreamPart Stream::PartLocked(uint32_t from) const {
  StreamPart part;
  part.state = this->state;
  if (from < this->ends.size()) {
    const uint32_t begin = from == 0 ? 0 : this->ends[from - 1];
    part.text = this->text.substr(begin);
    part.ends.reserve(this->ends.size() - from);
    for (size_t i = from; i < this->ends.size(); ++i) {
      part.ends.push_back(this->ends[i] - begin);
    }
  }
  if (this->state == StreamState::kRunning) {
    return part;
  }
  part.finish_reason = this->finish_reason;
  part.usage = {this->prompt_tokens, static_cast<uint32_t>(this->ends.size())};
  part.failure = this->failure;
  part.target = this->target;
  return part;
}

}  // namespace boragewharf::traffic
