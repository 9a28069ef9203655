/**
 * @file counter_base.h
 * Counters and gauges of a process, and their text exposition.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace boragewharf {

/** A 64-bit counter or gauge. */
class Counter {
 public:
  /** Adds @p amount, which may be negative for a gauge. @note Thread-safe. */
  void Add(int64_t amount = 1) {
    this->total.fetch_add(amount, std::memory_order_relaxed);
  }

  /** Sets a gauge. @note Thread-safe. */
  void Set(int64_t amount) {
    this->total.store(amount, std::memory_order_relaxed);
  }

  /** Current value. @note Thread-safe. */
  int64_t Get() const { return this->total.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> total{0};
};

/** What a metric's value means. */
enum class MetricKind : uint8_t {
  kCounter,  ///< Only rises.
  kGauge,    ///< Rises and falls.
};

/** All counters of a process by name and labels. */
class CounterRegistry {
 public:
  /**
   * Finds or creates a metric.
   * @param name Metric name without prefix, e.g. "requests_total".
   * @param labels Exposition labels, e.g. `code="overloaded"`, or empty. No
   *     secrets and nothing that a caller can choose without bound.
   * @return A reference that stays valid as long as the registry.
   * @note Thread-safe; keep the reference where the path is hot.
   */
  Counter& Get(std::string_view name,
               std::string_view labels = {},
               MetricKind kind = MetricKind::kCounter);

  /**
   * All metrics in the text exposition format, prefixed "boragewharf_".
   * @note Thread-safe.
   */
  std::string RenderText() const;

 private:
  struct Family {
    MetricKind kind = MetricKind::kCounter;
    std::map<std::string, std::unique_ptr<Counter>, std::less<>> by_labels;
  };

  mutable std::mutex mutex;
  std::map<std::string, Family, std::less<>> families;
};

}  // namespace boragewharf
