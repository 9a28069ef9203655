/**
 * @file fair_admission.cc
 * Weighted fair admission.
 */
#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "policy/admission_base.h"

namespace boragewharf::policy {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/** Weight of the past in the mean speed, per finished request. */
constexpr double kSpeedDecay = 0.98;

size_t IndexOf(WorkClass work) {
  return static_cast<size_t>(work);
}

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

}  // namespace

/** Wait until the queued work of the same customer and class has started. */
Duration FairAdmissionPolicy::PredictWait(const Customer& customer,
                                          WorkClass work) const {
  if (this->finished_seconds <= 0) {
    return Duration(0);
  }
  double weights = customer.queued == 0 ? customer.weight : 0;
  for (const auto& [name, other] : this->customers) {
    weights += other.queued > 0 ? other.weight : 0;
  }
  double class_weights = 0;
  for (size_t i = 0; i < kWorkClasses; ++i) {
    const bool counts =
        !customer.classes[i].waiting.empty() || i == IndexOf(work);
    class_weights += counts ? this->options.class_weights[i] : 0;
  }
  const double speed = this->finished_cost / this->finished_seconds *
                       static_cast<double>(this->capacity);
  const double share = customer.weight / weights *
                       this->options.class_weights[IndexOf(work)] /
                       class_weights;
  const auto ahead = static_cast<double>(customer.classes[IndexOf(work)].cost);
  return Duration(static_cast<Duration::rep>(ahead / (speed * share) *
                                             kMicrosecondsPerSecond));
}

void FairAdmissionPolicy::UpdatePeak(TimePoint now) {
  const double half_lives =
      Seconds(now - this->peak_at) / Seconds(this->options.peak_half_life);
  this->peak_at = now;
  const auto demand =
      static_cast<double>(this->running.size() - this->running_batch +
                          this->queued - this->queued_batch);
  this->peak = std::max(demand, this->peak * std::exp2(-half_lives));
}

double FairAdmissionPolicy::BatchLimit() const {
  const auto all = static_cast<double>(this->capacity);
  const double least = std::max(1.0, this->options.batch_share_min * all);
  const double most = std::max(least, this->options.batch_share_max * all);
  return std::clamp(all - this->peak, least, most);
}

bool FairAdmissionPolicy::HasRoom(WorkClass work) const {
  if (this->running.size() >= this->capacity) {
    return false;
  }
  return work != WorkClass::kBatch ||
         static_cast<double>(this->running_batch) < this->BatchLimit();
}

std::optional<WorkClass> FairAdmissionPolicy::NextClass(
    const Customer& customer,
    TimePoint now) const {
  std::optional<WorkClass> next;
  double lowest = std::numeric_limits<double>::max();
  for (size_t i = 0; i < kWorkClasses; ++i) {
    const ClassQueue& queue = customer.classes[i];
    const auto work = static_cast<WorkClass>(i);
    if (queue.waiting.empty() || !this->HasRoom(work)) {
      continue;
    }
    const double rank =
        queue.virtual_time - this->options.ageing_per_second *
                                 Seconds(now - queue.waiting.front().since);
    if (rank < lowest) {
      lowest = rank;
      next = work;
    }
  }
  return next;
}

FairAdmissionPolicy::Customer* FairAdmissionPolicy::NextCustomer(
    TimePoint now) {
  Customer* next = nullptr;
  double lowest = std::numeric_limits<double>::max();
  for (auto& [name, customer] : this->customers) {
    if (customer.queued == 0) {
      continue;
    }
    const std::optional<WorkClass> work = this->NextClass(customer, now);
    if (!work) {
      continue;
    }
    const TimePoint since =
        customer.classes[IndexOf(*work)].waiting.front().since;
    const double rank = customer.virtual_time -
                        this->options.ageing_per_second * Seconds(now - since);
    if (rank < lowest) {
      lowest = rank;
      next = &customer;
    }
  }
  return next;
}

void FairAdmissionPolicy::Charge(Customer& customer,
                                 const AdmissionRequest& request) {
  const auto cost = static_cast<double>(request.cost);
  const size_t index = IndexOf(request.work);
  ClassQueue& queue = customer.classes[index];
  customer.virtual_time = std::max(customer.virtual_time, this->virtual_now);
  this->virtual_now = customer.virtual_time;
  customer.virtual_time += cost / customer.weight;
  queue.virtual_time = std::max(queue.virtual_time, customer.class_now);
  customer.class_now = queue.virtual_time;
  queue.virtual_time += cost / this->options.class_weights[index];
}

void FairAdmissionPolicy::Start(Customer& customer,
                                const AdmissionRequest& request,
                                TimePoint now) {
  this->Charge(customer, request);
  this->running_batch += request.work == WorkClass::kBatch ? 1 : 0;
  this->running[request.id] = {request.cost, now, request.work};
  this->UpdatePeak(now);
}

void FairAdmissionPolicy::Drop(Customer& customer,
                               ClassQueue& queue,
                               const std::deque<Waiting>::iterator& position) {
  queue.cost -= position->request.cost;
  customer.cost -= position->request.cost;
  --customer.queued;
  --this->queued;
  this->queued_batch -= position->request.work == WorkClass::kBatch ? 1 : 0;
  this->queued_ids.erase(position->request.id);
  queue.waiting.erase(position);
}

void FairAdmissionPolicy::StartNext(TimePoint now, AdmissionChanges& changes) {
  while (Customer* customer = this->NextCustomer(now)) {
    const WorkClass work = *this->NextClass(*customer, now);
    ClassQueue& queue = customer->classes[IndexOf(work)];
    const AdmissionRequest request = queue.waiting.front().request;
    this->Drop(*customer, queue, queue.waiting.begin());
    if (request.start_by <= now) {
      changes.refused.push_back({request.id, ResultCode::kDeadlineUnreachable});
      continue;
    }
    this->Start(*customer, request, now);
    changes.started.push_back(request.id);
  }
}

void FairAdmissionPolicy::Enqueue(Customer& customer,
                                  const AdmissionRequest& request,
                                  TimePoint now) {
  ClassQueue& queue = customer.classes[IndexOf(request.work)];
  if (customer.queued == 0) {
    customer.virtual_time = std::max(customer.virtual_time, this->virtual_now);
  }
  if (queue.waiting.empty()) {
    queue.virtual_time = std::max(queue.virtual_time, customer.class_now);
  }
  queue.waiting.push_back({request, now});
  queue.cost += request.cost;
  customer.cost += request.cost;
  ++customer.queued;
  ++this->queued;
  this->queued_batch += request.work == WorkClass::kBatch ? 1 : 0;
  this->queued_ids.emplace(request.id, request.customer);
  this->UpdatePeak(now);
}

bool FairAdmissionPolicy::MakeRoom(const Customer& arriving,
                                   AdmissionChanges& changes) {
  const auto load = [](const Customer& customer) {
    return static_cast<double>(customer.cost) / customer.weight;
  };
  Customer* heaviest = nullptr;
  for (auto& [name, customer] : this->customers) {
    if (!heaviest || load(customer) > load(*heaviest)) {
      heaviest = &customer;
    }
  }
  if (heaviest->queued == 0 || load(*heaviest) <= load(arriving)) {
    return false;
  }
  ClassQueue& longest = *std::max_element(
      heaviest->classes.begin(), heaviest->classes.end(),
      [](const auto& a, const auto& b) { return a.cost < b.cost; });
  changes.refused.push_back(
      {longest.waiting.back().request.id, ResultCode::kOverloaded});
  this->Drop(*heaviest, longest, std::prev(longest.waiting.end()));
  return true;
}

AdmissionDecision FairAdmissionPolicy::Offer(const AdmissionRequest& request,
                                             TimePoint now,
                                             AdmissionChanges& changes) {
  const std::lock_guard lock(this->mutex);
  Customer& customer = this->customers[request.customer];
  customer.weight = request.weight;
  const bool first = customer.classes[IndexOf(request.work)].waiting.empty();
  if (request.start_by <= now) {
    return {AdmissionVerdict::kRefused, ResultCode::kDeadlineUnreachable};
  }
  if (first && this->HasRoom(request.work)) {
    this->Start(customer, request, now);
    return {AdmissionVerdict::kRun, ResultCode::kOk};
  }
  if (now + this->PredictWait(customer, request.work) > request.start_by) {
    return {AdmissionVerdict::kRefused, ResultCode::kDeadlineUnreachable};
  }
  if (this->queued >= this->options.queue_limit &&
      !this->MakeRoom(customer, changes)) {
    return {AdmissionVerdict::kRefused, ResultCode::kOverloaded};
  }
  this->Enqueue(customer, request, now);
  return {AdmissionVerdict::kQueued, ResultCode::kOk};
}

void FairAdmissionPolicy::Finish(AdmissionId id,
                                 TimePoint now,
                                 AdmissionChanges& changes) {
  const std::lock_guard lock(this->mutex);
  const auto it = this->running.find(id);
  if (it == this->running.end()) {
    return;
  }
  this->finished_cost =
      this->finished_cost * kSpeedDecay + static_cast<double>(it->second.cost);
  this->finished_seconds =
      this->finished_seconds * kSpeedDecay + Seconds(now - it->second.since);
  this->running_batch -= it->second.work == WorkClass::kBatch ? 1 : 0;
  this->running.erase(it);
  this->UpdatePeak(now);
  this->StartNext(now, changes);
}

void FairAdmissionPolicy::Cancel(AdmissionId id) {
  const std::lock_guard lock(this->mutex);
  const auto owner = this->queued_ids.find(id);
  if (owner == this->queued_ids.end()) {
    return;
  }
  Customer& customer = this->customers[owner->second];
  for (ClassQueue& queue : customer.classes) {
    const auto position = std::find_if(
        queue.waiting.begin(), queue.waiting.end(),
        [id](const Waiting& item) { return item.request.id == id; });
    if (position != queue.waiting.end()) {
      this->Drop(customer, queue, position);
      return;
    }
  }
}

void FairAdmissionPolicy::Expire(TimePoint now, AdmissionChanges& changes) {
  const std::lock_guard lock(this->mutex);
  for (auto& [name, customer] : this->customers) {
    for (ClassQueue& queue : customer.classes) {
      for (size_t i = queue.waiting.size(); i > 0; --i) {
        const auto position =
            queue.waiting.begin() + static_cast<std::ptrdiff_t>(i - 1);
        if (position->request.start_by > now) {
          continue;
        }
        changes.refused.push_back(
            {position->request.id, ResultCode::kDeadlineUnreachable});
        this->Drop(customer, queue, position);
      }
    }
  }
  // A customer without a queue that is not ahead of the others has no state
  // that matters.
  std::erase_if(this->customers, [this](const auto& item) {
    return item.second.queued == 0 &&
           item.second.virtual_time <= this->virtual_now;
  });
}

void FairAdmissionPolicy::SetCapacity(size_t running_limit,
                                      TimePoint now,
                                      AdmissionChanges& changes) {
  const std::lock_guard lock(this->mutex);
  this->capacity = running_limit;
  this->StartNext(now, changes);
}

size_t FairAdmissionPolicy::Queued() const {
  const std::lock_guard lock(this->mutex);
  return this->queued;
}

}  // namespace boragewharf::policy
