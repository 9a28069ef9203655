/**
 * @file admission_base.h
 * Admission policies: which request runs next, and which is refused.
 */
#pragma once

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "policy/admission_type.h"

namespace boragewharf::policy {

/**
 * Admits requests up to a capacity and queues the others. All methods are
 * thread-safe; each holds one lock for a time that grows with the number of
 * queues, not with that of requests (except Expire()).
 */
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  /**
   * Offers a request.
   * @param changes Receives queued requests that are refused in its favour.
   * @pre The id is not in use; weight and cost are not 0.
   */
  virtual AdmissionDecision Offer(const AdmissionRequest& request,
                                  TimePoint now,
                                  AdmissionChanges& changes) = 0;

  /** A request that ran has ended. Unknown ids are ignored. */
  virtual void Finish(AdmissionId id,
                      TimePoint now,
                      AdmissionChanges& changes) = 0;

  /** A queued request is withdrawn, as its caller has gone. */
  virtual void Cancel(AdmissionId id) = 0;

  /** Refuses queued requests that are past their time; call every 100 ms. */
  virtual void Expire(TimePoint now, AdmissionChanges& changes) = 0;

  /** Sets how many requests run at once. */
  virtual void SetCapacity(size_t running,
                           TimePoint now,
                           AdmissionChanges& changes) = 0;

  /** Number of queued requests. */
  virtual size_t Queued() const = 0;
};

/** Bounds of admission. */
struct AdmissionOptions {
  size_t capacity = 64;       ///< Requests that run at once.
  size_t queue_limit = 4096;  ///< Queued requests in all.
  /** Shares of classes within a customer, in the order of WorkClass. */
  std::array<double, kWorkClasses> class_weights{8, 8, 8, 1};
  /** Tokens of advance that a queued request earns per second of waiting. */
  double ageing_per_second = 200;
  /**
   * Shares of the capacity that batch work can always take, and can take at
   * most. Between these it leaves room for the recent peak of other work,
   * which would otherwise wait until one of the long batch requests ends.
   */
  double batch_share_min = 0.2;
  double batch_share_max = 0.8;
  Duration peak_half_life = std::chrono::seconds(30);  ///< Of that peak.
};

/**
 * Weighted fair queueing by cost in tokens, with a queue per customer and
 * class.
 *
 * Each customer has a virtual time that advances by cost / weight when one of
 * its requests starts; the customer with the lowest one is next, and the same
 * rule chooses among its classes. Waiting lowers the rank of a queue's first
 * request, so that long requests of a busy customer do not wait forever. When
 * the queues are full, the customer with the most queued work in relation to
 * its weight loses the latest request of its longest queue.
 */
class FairAdmissionPolicy : public AdmissionPolicy {
 public:
  explicit FairAdmissionPolicy(const AdmissionOptions& admission)
      : options(admission), capacity(admission.capacity) {}

  AdmissionDecision Offer(const AdmissionRequest& request,
                          TimePoint now,
                          AdmissionChanges& changes) override;
  void Finish(AdmissionId id,
              TimePoint now,
              AdmissionChanges& changes) override;
  void Cancel(AdmissionId id) override;
  void Expire(TimePoint now, AdmissionChanges& changes) override;
  void SetCapacity(size_t running_limit,
                   TimePoint now,
                   AdmissionChanges& changes) override;
  size_t Queued() const override;

 private:
  struct Waiting {
    AdmissionRequest request;
    TimePoint since;
  };
  struct ClassQueue {
    std::deque<Waiting> waiting;
    double virtual_time = 0;  ///< In tokens per class weight.
    uint64_t cost = 0;        ///< Of all waiting requests.
  };
  struct Customer {
    std::array<ClassQueue, kWorkClasses> classes;
    double virtual_time = 0;  ///< In tokens per weight.
    double class_now = 0;     ///< Virtual time of the last start.
    double weight = 1;
    size_t queued = 0;
    uint64_t cost = 0;  ///< Of all waiting requests.
  };
  struct Running {
    uint64_t cost = 0;
    TimePoint since;
    WorkClass work = WorkClass::kLookup;
  };

  Duration PredictWait(const Customer& customer, WorkClass work) const;
  void UpdatePeak(TimePoint now);
  double BatchLimit() const;
  bool HasRoom(WorkClass work) const;
  std::optional<WorkClass> NextClass(const Customer& customer,
                                     TimePoint now) const;
  Customer* NextCustomer(TimePoint now);
  void Charge(Customer& customer, const AdmissionRequest& request);
  void Start(Customer& customer,
             const AdmissionRequest& request,
             TimePoint now);
  void StartNext(TimePoint now, AdmissionChanges& changes);
  void Enqueue(Customer& customer,
               const AdmissionRequest& request,
               TimePoint now);
  void Drop(Customer& customer,
            ClassQueue& queue,
            const std::deque<Waiting>::iterator& position);
  bool MakeRoom(const Customer& arriving, AdmissionChanges& changes);

  AdmissionOptions options;
  mutable std::mutex mutex;
  size_t capacity;
  size_t queued = 0;
  size_t running_batch = 0;
  size_t queued_batch = 0;
  double peak = 0;  ///< Of other work that runs or waits, decaying.
  TimePoint peak_at;
  double virtual_now = 0;
  double finished_cost = 0;     ///< Decaying sum, in tokens.
  double finished_seconds = 0;  ///< Decaying sum of their run times.
  std::map<std::string, Customer> customers;
  std::unordered_map<AdmissionId, Running> running;
  std::unordered_map<AdmissionId, std::string> queued_ids;  ///< Customer.
};

/** Baseline: a single queue, first in, first out. */
class FifoAdmissionPolicy : public AdmissionPolicy {
 public:
  explicit FifoAdmissionPolicy(const AdmissionOptions& admission)
      : options(admission), capacity(admission.capacity) {}

  AdmissionDecision Offer(const AdmissionRequest& request,
                          TimePoint now,
                          AdmissionChanges& changes) override;
  void Finish(AdmissionId id,
              TimePoint now,
              AdmissionChanges& changes) override;
  void Cancel(AdmissionId id) override;
  void Expire(TimePoint now, AdmissionChanges& changes) override;
  void SetCapacity(size_t running_limit,
                   TimePoint now,
                   AdmissionChanges& changes) override;
  size_t Queued() const override;

 private:
  void StartNext(TimePoint now, AdmissionChanges& changes);

  AdmissionOptions options;
  mutable std::mutex mutex;
  size_t capacity;
  std::deque<AdmissionRequest> waiting;
  std::unordered_map<AdmissionId, uint64_t> running;
};

}  // namespace boragewharf::policy
