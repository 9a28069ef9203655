/**
 * @file admission_random_test.cc
 * Random events against one queue, and the rules that hold for each of them.
 */
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "admission/admission_base.h"

namespace boragewharf::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** One queue with random arrivals, starts, ends, losses of servers and clients
 * that leave. */
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed)
      : generator(seed), admission(Bounds(), seed) {}

  void Run(size_t steps) {
    for (size_t i = 0; i < steps; ++i) {
      this->now += milliseconds(this->generator() % 20);
      this->Step();
      this->Check();
    }
    this->slots = 0;
    this->now += seconds(30);
    this->Expire();
    EXPECT_EQ(this->admission.WaitingCount(), 0U);
    EXPECT_TRUE(this->waiting.empty());
    EXPECT_EQ(this->admission.WaitingBytes(), 0U);
  }

 private:
  static constexpr size_t kMaxWaiting = 20;
  static constexpr uint64_t kMaxBytes = 5000;

  static AdmissionOptions Bounds() {
    AdmissionOptions bounds;
    bounds.max_waiting = kMaxWaiting;
    bounds.max_bytes = kMaxBytes;
    return bounds;
  }

  ServiceCapacity Capacity() const {
    ServiceCapacity capacity;
    capacity.servers = this->slots > 0 ? 1 : 0;
    capacity.limit = this->slots;
    capacity.own_running = static_cast<uint32_t>(this->running.size());
    capacity.any_free = this->running.size() < this->slots;
    if (this->slots == 0 && this->generator_draw % 2 == 0) {
      capacity.blocked_for = milliseconds(100);
    }
    return capacity;
  }

  void Step() {
    this->generator_draw = this->generator();
    switch (this->generator() % 8) {
      case 0:
      case 1:
      case 2:
        this->Arrive();
        break;
      case 3:
      case 4:
        if (!this->running.empty()) {
          this->running.erase(this->running.begin());
        }
        break;
      case 5:
        if (!this->waiting.empty()) {
          const RequestId id = this->waiting.begin()->first;
          this->admission.Remove(id);
          this->End(id);
        }
        break;
      case 6:
        this->slots = this->generator() % 8;
        break;
      default:
        this->admission.CheckTime(this->now);
        this->Expire();
    }
    this->StartAll();
  }

  void Arrive() {
    RequestProfile request;
    request.service = "llm";
    request.customer = "c" + std::to_string(this->generator() % 3);
    request.urgency = static_cast<uint32_t>(this->generator() % 3);
    request.tokens = static_cast<uint32_t>(this->generator() % 50000);
    request.bytes = this->generator() % 1000;
    request.fingerprint = this->generator() % 50;
    request.arrived = this->now;
    request.objective = milliseconds(this->generator() % 500);
    request.deadline = this->now + milliseconds(this->generator() % 3000);
    const RequestId id = ++this->last_id;
    this->admission.CountArrival(request, this->now);
    const Decision decision =
        this->admission.Offer(id, request, this->Capacity(), this->now);
    this->waiting[id] = request;
    if (!decision.waits) {
      EXPECT_EQ(decision.refusal.id, id);
      this->Refused(decision.refusal);
    }
    for (const Refusal& refusal : decision.displaced) {
      this->Refused(refusal);
    }
  }

  void Refused(const Refusal& refusal) {
    ASSERT_TRUE(this->waiting.contains(refusal.id));
    const Duration left = this->waiting[refusal.id].deadline - this->now;
    EXPECT_GE(refusal.retry_after, Duration::zero());
    if (this->slots > 0) {
      EXPECT_LE(refusal.retry_after, std::max(Duration::zero(), left / 3));
    }
    this->End(refusal.id);
  }

  void End(RequestId id) {
    EXPECT_EQ(this->waiting.erase(id), 1U);
    EXPECT_TRUE(this->ended.insert(id).second) << "ended twice";
  }

  void Expire() {
    for (const Refusal& refusal :
         this->admission.TakeExpired("llm", this->Capacity(), this->now)) {
      this->Refused(refusal);
    }
  }

  void StartAll() {
    while (const auto id =
               this->admission.Next("llm", this->Capacity(), this->now)) {
      this->admission.Start(*id, this->now);
      this->End(*id);
      EXPECT_TRUE(this->running.insert(*id).second) << "two slots";
      EXPECT_LE(this->running.size(), this->slots);
    }
  }

  void Check() {
    EXPECT_EQ(this->admission.WaitingCount(), this->waiting.size());
    EXPECT_LE(this->admission.WaitingCount(), kMaxWaiting);
    EXPECT_LE(this->admission.WaitingBytes(), kMaxBytes);
    EXPECT_EQ(this->admission.HasWaiting("llm"), !this->waiting.empty());
    // No slot is lost: none is free while a request waits.
    EXPECT_TRUE(this->waiting.empty() || this->running.size() >= this->slots);
  }

  std::mt19937_64 generator;
  uint64_t generator_draw = 0;
  Admission admission;
  TimePoint now{seconds(1000)};
  uint32_t slots = 4;
  RequestId last_id = 0;
  std::map<RequestId, RequestProfile> waiting;
  std::set<RequestId> running;
  std::set<RequestId> ended;
};

// Guards against requests that end twice or never, slots that are given out
// twice or lost, and a queue without bound.
TEST(AdmissionRandomTest, EachRequestEndsOnceAndNoSlotIsLost) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    RandomRun(seed).Run(500);
  }
}

}  // namespace
}  // namespace boragewharf::admission
