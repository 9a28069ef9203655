/**
 * @file fifo_admission.cc
 * The baseline of admission: first in, first out.
 */
#include <algorithm>

#include "policy/admission_base.h"

namespace boragewharf::policy {

AdmissionDecision FifoAdmissionPolicy::Offer(const AdmissionRequest& request,
                                             TimePoint now,
                                             AdmissionChanges& /*changes*/) {
  const std::lock_guard lock(this->mutex);
  if (request.start_by <= now) {
    return {AdmissionVerdict::kRefused, ResultCode::kDeadlineUnreachable};
  }
  if (this->waiting.empty() && this->running.size() < this->capacity) {
    this->running.emplace(request.id, request.cost);
    return {AdmissionVerdict::kRun, ResultCode::kOk};
  }
  if (this->waiting.size() >= this->options.queue_limit) {
    return {AdmissionVerdict::kRefused, ResultCode::kOverloaded};
  }
  this->waiting.push_back(request);
  return {AdmissionVerdict::kQueued, ResultCode::kOk};
}

void FifoAdmissionPolicy::StartNext(TimePoint now, AdmissionChanges& changes) {
  while (!this->waiting.empty() && this->running.size() < this->capacity) {
    const AdmissionRequest request = std::move(this->waiting.front());
    this->waiting.pop_front();
    if (request.start_by <= now) {
      changes.refused.push_back({request.id, ResultCode::kDeadlineUnreachable});
      continue;
    }
    this->running.emplace(request.id, request.cost);
    changes.started.push_back(request.id);
  }
}

void FifoAdmissionPolicy::Finish(AdmissionId id,
                                 TimePoint now,
                                 AdmissionChanges& changes) {
  const std::lock_guard lock(this->mutex);
  if (this->running.erase(id) > 0) {
    this->StartNext(now, changes);
  }
}

void FifoAdmissionPolicy::Cancel(AdmissionId id) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->waiting, [id](const AdmissionRequest& request) {
    return request.id == id;
  });
}

void FifoAdmissionPolicy::Expire(TimePoint now, AdmissionChanges& changes) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->waiting, [&](const AdmissionRequest& request) {
    const bool expired = request.start_by <= now;
    if (expired) {
      changes.refused.push_back({request.id, ResultCode::kDeadlineUnreachable});
    }
    return expired;
  });
}

void FifoAdmissionPolicy::SetCapacity(size_t running_limit,
                                      TimePoint now,
                                      AdmissionChanges& changes) {
  const std::lock_guard lock(this->mutex);
  this->capacity = running_limit;
  this->StartNext(now, changes);
}

size_t FifoAdmissionPolicy::Queued() const {
  const std::lock_guard lock(this->mutex);
  return this->waiting.size();
}

}  // namespace boragewharf::policy
