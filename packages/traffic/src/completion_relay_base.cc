/**
 * @file completion_relay_base.cc
 * Start and delivery of streams.
 */
#include "traffic/completion_relay_base.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/result_func.h"
#include "traffic/caller_connection_base.h"
#include "traffic/completion_func.h"

namespace boragewharf::traffic {

namespace {

constexpr std::string_view kStreamsPrefix = "/v1/streams/";
// Between tokens, the caller's connection is checked this often.
constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(250);
constexpr size_t kMaxDetailBytes = 1024;

bool HasCallerLeft() {
  const CallerConnection* connection = CallerConnection::Current();
  return connection != nullptr && connection->IsClosed();
}

Refusal RefusalOf(const StreamFailure& failure) {
  Refusal refusal{failure.code, failure.detail, failure.run_state};
  if (!failure.engine_body.empty()) {
    refusal.detail += ": " + failure.engine_body.substr(0, kMaxDetailBytes);
  }
  return refusal;
}

nlohmann::json ContinueBody(const Stream& stream,
                            const StreamPart& part,
                            uint32_t position) {
  return {{"stream", ToString(stream.id)},
          {"position", position},
          {"addresses", nlohmann::json::array({ToString(part.target)})}};
}

std::optional<uint32_t> ParsePosition(const httplib::Request& request) {
  const std::string text = request.get_param_value("from");
  uint32_t position = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, position);
  if (!text.empty() && (error != std::errc() || stop != end)) {
    return Fail(ResultCode::kInvalidField, "from: not a position");
  }
  return position;
}

bool HasValidPieces(const StreamTransfer& transfer) {
  return std::ranges::is_sorted(transfer.piece_ends) &&
         (transfer.piece_ends.empty()
              ? transfer.text.empty()
              : transfer.piece_ends.back() == transfer.text.size());
}

}  // namespace

/** Reads one stream for one caller; ends with the last use. */
struct CompletionRelay::Reader {
  Reader(CompletionRelay& owner, std::shared_ptr<Stream> source)
      : relay(owner),
        stream(std::move(source)),
        writer(this->stream->id, this->stream->request),
        hold(owner.active) {
    this->stream->Attach();
  }
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;
  ~Reader() {
    if (!this->delivered) {
      this->relay.context.counters.caller_gone.Add();
    }
    this->stream->Detach();
    if (this->stream->State() != StreamState::kRunning) {
      this->relay.streams.Remove(this->stream->id);
    }
    if (this->admission) {
      this->relay.context.providers.admission.Leave(*this->admission);
    }
  }

  /** Writes the next part. @return False if the caller has left. */
  bool Write(const StreamPart& part, httplib::DataSink& sink) {
    std::string out;
    uint32_t begin = 0;
    for (uint32_t end : part.ends) {
      ++this->position;
      const std::string_view text = part.text;
      this->writer.AppendToken(out, this->position,
                               text.substr(begin, end - begin));
      begin = end;
    }
    if (part.state != StreamState::kRunning) {
      this->AppendEnd(out, part);
    }
    if (!out.empty() && !sink.write(out.data(), out.size())) {
      return false;
    }
    if (part.state != StreamState::kRunning) {
      this->delivered = true;
      sink.done();
    }
    return true;
  }

  void AppendEnd(std::string& out, const StreamPart& part) const {
    switch (part.state) {
      case StreamState::kFinished:
        this->writer.AppendEnd(out, part.finish_reason, part.usage,
                               this->stream->request.include_usage);
        return;
      case StreamState::kHandedOver:
        out += "event: continue\ndata: " +
               ContinueBody(*this->stream, part, this->position).dump() +
               "\n\n";
        return;
      default:
        out += "data: " + RefusalBody(RefusalOf(part.failure)) + "\n\n";
        return;
    }
  }

  CompletionRelay& relay;
  const std::shared_ptr<Stream> stream;
  const ChunkWriter writer;
  const ActiveCount::Hold hold;
  SnapshotPtr snapshot;  ///< Holds the customer of the admission.
  std::optional<AdmissionRequest> admission;
  uint32_t position = 0;   ///< Tokens delivered.
  bool delivered = false;  ///< The end was delivered.
};

CompletionRelay::CompletionRelay(const TrafficContext& shared,
                                 StreamTable& all_streams,
                                 WorkerPool& upstream,
                                 ActiveCount& active_calls)
    : context(shared),
      streams(all_streams),
      pool(upstream),
      active(active_calls),
      runner(shared) {}

void CompletionRelay::HandleCompletion(const CallerCall& call, bool is_chat) {
  std::optional<CompletionRequest> request =
      ParseCompletion(call.request.body, is_chat);
  const config::Configuration& configuration = *call.snapshot->configuration;
  if (!request || !this->Resolve(*request, configuration)) {
    this->Refuse(call, LastRefusal());
    return;
  }
  const config::Service& service = configuration.services.at(request->service);
  const std::string_view parts[] = {call.customer->name, call.request.path,
                                    call.request.body};
  const Digest fingerprint = Sha256(parts);
  if (call.snapshot->convicted.contains(fingerprint)) {
    this->Refuse(call, {ResultCode::kRequestCrashesServers, {}, std::nullopt});
    return;
  }
  const TimePoint deadline = call.received + service.deadline;
  const uint64_t cost = EstimatePromptTokens(*request) + request->max_tokens;
  const AdmissionRequest admission{*call.customer, service.name, cost,
                                   deadline};
  if (!this->context.providers.admission.Enter(admission)) {
    this->Refuse(call, LastRefusal());
    return;
  }
  this->context.counters.completions.Add();
  this->context.providers.retries.CountRequest();
  const auto stream = std::make_shared<Stream>(
      call.id, call.customer->name, *std::move(request), deadline, fingerprint);
  const auto reader = std::make_shared<Reader>(*this, stream);
  reader->snapshot = call.snapshot;
  reader->admission.emplace(admission);
  if (!this->Launch(stream)) {
    reader->delivered = true;
    this->Refuse(call, LastRefusal());
    return;
  }
  this->Deliver(call, reader);
}

void CompletionRelay::HandleStream(const CallerCall& call) {
  const std::string_view path = call.request.path;
  const std::optional<RequestId> id =
      ParseRequestId(path.substr(kStreamsPrefix.size()));
  const std::shared_ptr<Stream> stream = id ? this->streams.Find(*id) : nullptr;
  if (!stream || stream->customer != call.customer->name) {
    this->Refuse(call, {ResultCode::kUnknownStream, {}, std::nullopt});
    return;
  }
  const std::optional<uint32_t> from = ParsePosition(call.request);
  if (!from) {
    this->Refuse(call, LastRefusal());
    return;
  }
  if (*from > stream->Received()) {
    this->Refuse(call, {ResultCode::kInvalidField, "from: beyond the tokens",
                        std::nullopt});
    return;
  }
  const auto reader = std::make_shared<Reader>(*this, stream);
  reader->position = *from;
  this->Deliver(call, reader);
}

bool CompletionRelay::Adopt(const StreamTransfer& transfer) {
  const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
  if (!snapshot->configuration || snapshot->draining) {
    Fail(ResultCode::kPeerRefused, "not serving");
    return false;
  }
  if (!HasValidPieces(transfer)) {
    Fail(ResultCode::kPeerTruncated, "token positions do not match the text");
    return false;
  }
  std::optional<CompletionRequest> request =
      ParseCompletion(transfer.body, transfer.is_chat);
  if (!request || !this->Resolve(*request, *snapshot->configuration)) {
    return false;
  }
  request->streamed = transfer.streamed;
  request->include_usage = transfer.include_usage;
  const TimePoint deadline =
      BootClock::now() + std::chrono::milliseconds(transfer.remaining_ms);
  const auto stream = std::make_shared<Stream>(transfer.id, transfer.customer,
                                               *std::move(request), deadline,
                                               transfer.fingerprint);
  stream->Restore(transfer);
  // A repeat means that the answer to an earlier offer was lost; the sender has
  // gone on since, so its present text is the one that counts.
  const std::shared_ptr<Stream> earlier = this->streams.Find(transfer.id);
  if (earlier && earlier->customer == transfer.customer) {
    earlier->Cancel();
    this->streams.Remove(transfer.id);
  }
  if (!this->Launch(stream)) {
    return false;
  }
  this->context.counters.adopted.Add();
  return true;
}

bool CompletionRelay::Resolve(
    CompletionRequest& request,
    const config::Configuration& configuration) const {
  const auto model = configuration.models.find(request.model);
  if (model == configuration.models.end()) {
    Fail(ResultCode::kUnknownModel);
    return false;
  }
  const auto service = configuration.services.find(model->second.service);
  if (service == configuration.services.end() ||
      service->second.type != config::ServiceType::kModel) {
    Fail(ResultCode::kUnknownService, model->second.service);
    return false;
  }
  request.service = service->first;
  request.max_retries = service->second.max_retries;
  return true;
}

bool CompletionRelay::Launch(const std::shared_ptr<Stream>& stream) {
  if (!this->streams.Insert(stream)) {
    Fail(ResultCode::kPeerReplayed, "the stream is held here");
    return false;
  }
  if (!this->pool.Submit([this, stream] { this->runner.Run(*stream); })) {
    this->streams.Remove(stream->id);
    Fail(ResultCode::kOverloaded, "all upstream threads are busy");
    return false;
  }
  return true;
}

void CompletionRelay::Deliver(const CallerCall& call,
                              const std::shared_ptr<Reader>& reader) {
  if (reader->stream->request.streamed) {
    this->DeliverStreamed(call, reader);
  } else {
    this->DeliverWhole(call, *reader);
  }
}

void CompletionRelay::DeliverWhole(const CallerCall& call, Reader& reader) {
  std::optional<StreamPart> part;
  while (!part) {
    part = reader.stream->ReadWhole(kCallerCheckInterval);
    if (!part && HasCallerLeft()) {
      return;
    }
  }
  reader.delivered = true;
  if (part->state == StreamState::kFinished) {
    call.response.set_content(
        reader.writer.Answer(part->text, part->finish_reason, part->usage),
        "application/json");
    return;
  }
  this->AnswerEnded(call, *reader.stream, *part);
}

void CompletionRelay::DeliverStreamed(const CallerCall& call,
                                      const std::shared_ptr<Reader>& reader) {
  // The status is sent with the first token, so that a request that does not
  // run is refused with its own status.
  StreamPart first;
  while (first.ends.empty() && first.state == StreamState::kRunning) {
    first = reader->stream->Read(reader->position, kCallerCheckInterval);
    if (first.ends.empty() && HasCallerLeft()) {
      return;
    }
  }
  if (first.ends.empty() && reader->position == 0 &&
      first.state == StreamState::kFailed) {
    reader->delivered = true;
    this->AnswerEnded(call, *reader->stream, first);
    return;
  }
  const auto provide = [reader, part = std::move(first), is_first = true](
                           size_t, httplib::DataSink& sink) mutable {
    if (!std::exchange(is_first, false)) {
      part = reader->stream->Read(reader->position, kCallerCheckInterval);
    }
    if (part.ends.empty() && part.state == StreamState::kRunning) {
      return !HasCallerLeft();
    }
    return reader->Write(part, sink);
  };
  call.response.set_header("Cache-Control", "no-cache");
  call.response.set_chunked_content_provider("text/event-stream", provide);
}

void CompletionRelay::AnswerEnded(const CallerCall& call,
                                  const Stream& stream,
                                  const StreamPart& part) const {
  if (part.state == StreamState::kHandedOver) {
    call.response.status = 303;
    call.response.set_header("Location", "http://" + ToString(part.target) +
                                             "/v1/streams/" +
                                             ToString(stream.id));
    call.response.set_content(ContinueBody(stream, part, 0).dump(),
                              "application/json");
    return;
  }
  this->Refuse(call, RefusalOf(part.failure));
  if (part.failure.engine_status != 0) {
    call.response.status = part.failure.engine_status;
  }
}

void CompletionRelay::Refuse(const CallerCall& call,
                             const Refusal& refusal) const {
  SetRefusal(call.response, refusal, this->context.providers.registry);
}

}  // namespace boragewharf::traffic
