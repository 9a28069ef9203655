/**
 * @file exchange_guard.cc
 * Entry points of a request. An exception in one of them ends this request
 * only.
 */
#include "exchange_base.h"

namespace boragewharf::relay {

void Exchange::Protect(std::string_view source,
                       const std::function<void()>& handler) {
  const auto self = this->shared_from_this();
  if (!this->core.guard.Call(source, handler)) {
    this->EndAfterException();
  }
}

void Exchange::EndAfterException() {
  const bool answered = this->core.guard.Call("request_end", [&] {
    if (this->done) {
      return;
    }
    if (this->answer_started) {
      this->AbortClient("internal_error");
      return;
    }
    const bool may_run =
        this->may_have_run || (this->attempt && this->attempt->sent);
    this->Refuse(may_run ? 502 : 503, std::nullopt, "internal_error");
  });
  if (answered) {
    return;
  }
  this->core.guard.Call("request_end", [&] {
    this->done = true;
    this->core.exchanges.erase(this->client.get());
    this->client->Abort();
  });
}

void Exchange::Start() {
  this->Protect("request_start", [&] { this->Begin(); });
}

bool Exchange::OnHead(const httpio::ResponseHead& head) {
  bool accepted = false;
  this->Protect("response_head", [&] { accepted = this->AcceptHead(head); });
  return accepted;
}

void Exchange::OnBody(std::string_view bytes) {
  this->Protect("response_body", [&] { this->TakeBody(bytes); });
}

void Exchange::OnComplete() {
  this->Protect("response_end", [&] { this->Complete(); });
}

void Exchange::OnFailure(serving::AttemptFailure failure) {
  this->Protect("attempt_failure", [&] {
    if (!this->RecordSourceEnd(SourceEnd::kBroken)) {
      this->AfterFailure(failure);
    }
  });
}

void Exchange::CheckTime(TimePoint now) {
  if (this->done || !this->attempt) {
    return;
  }
  this->Protect("request_time", [&] { this->CheckTimes(now); });
}

void Exchange::EndWithNode() {
  this->Protect("node_end", [&] {
    if (this->done) {
      return;
    }
    if (this->answer_started) {
      this->AbortClient("cut_off_by_stop");
      return;
    }
    const bool may_run =
        this->may_have_run || (this->attempt && this->attempt->sent);
    this->Refuse(may_run ? 504 : 503, std::nullopt, "leaving");
  });
}

void Exchange::OnClientDisconnected() {
  this->Protect("client_gone", [&] { this->Cancel(); });
}

}  // namespace boragewharf::relay
