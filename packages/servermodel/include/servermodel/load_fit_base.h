/**
 * @file load_fit_base.h
 * The time that a service's average server takes under a given load, learned
 * from the requests of this node.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace boragewharf::servermodel {

/** Load under which a time was measured; in units chosen by the caller. */
struct LoadPoint {
  double running = 0;  ///< Requests in the batch.
  double reading = 0;  ///< Prompt tokens, or a measure of their effect.
};

/**
 * Fits time = a + b * running + c * reading with coefficients of at least 0, by
 * recursive least squares on relative errors with exponential forgetting. Not
 * thread-safe.
 */
class LoadFit {
 public:
  /** Adds a time in milliseconds; a time far from the fit counts as a nearer
   * one. */
  void Add(const LoadPoint& load, double ms);

  /** The time of the average server; empty while there are too few samples. */
  std::optional<double> Expect(const LoadPoint& load) const;

  /** Adds the difference between the logarithms of a time and its
   * expectation to the estimated variance. */
  void AddError(double log_error);

  /** Variance of the logarithm of a time around its expectation. */
  double Variance() const { return this->variance; }

 private:
  static constexpr size_t kTerms = 3;
  using Terms = std::array<double, kTerms>;

  static Terms TermsOf(const LoadPoint& load);
  void Solve();
  std::optional<Terms> SolveFor(const std::array<bool, kTerms>& used) const;
  double ErrorOf(const Terms& candidate) const;

  std::array<Terms, kTerms> products{};  ///< Decayed sums of term products.
  Terms responses{};                     ///< The same with the times.
  Terms coefficients{};
  double mean_ms = 0;  ///< Moving average of the times.
  double variance = 0;
  uint64_t samples = 0;
  uint64_t errors = 0;
};

}  // namespace boragewharf::servermodel
