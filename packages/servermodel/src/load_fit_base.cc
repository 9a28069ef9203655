/**
 * @file load_fit_base.cc
 * Recursive least squares for the time of an average server.
 */
#include "servermodel/load_fit_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragewharf::servermodel {
namespace {

/** Samples after which an old one has lost 63% of its weight. The load of a
 * node varies within so many samples, which separates the terms. */
constexpr double kMemory = 1024;

/** Least samples for an expectation: ten per coefficient. */
constexpr uint64_t kMinSamples = 30;

/** A sample counts as at most this multiple of its expectation, and as at least
 * the inverse, so that a stalled server does not shift the average. */
constexpr double kMaxRatio = 4;

/** The expectation is at least this share of the mean time; a fit can be far
 * off at loads that it has not seen. */
constexpr double kMinShareOfMean = 0.2;

/** Relative increase of the diagonal; keeps the solution defined while all
 * samples have the same load. */
constexpr double kRidge = 1e-3;

/** Variance assumed at first, with the weight of kVarianceMinCount samples: a
 * standard deviation of 0.4. */
constexpr double kFirstVariance = 0.16;
constexpr double kVarianceMinCount = 16;
constexpr double kVarianceMemory = 256;

}  // namespace

LoadFit::Terms LoadFit::TermsOf(const LoadPoint& load) {
  return {1.0, load.running, load.reading};
}

void LoadFit::Add(const LoadPoint& load, double ms) {
  if (!(ms > 0) || !std::isfinite(ms)) {
    return;
  }
  if (const auto expected = this->Expect(load)) {
    ms = std::clamp(ms, *expected / kMaxRatio, *expected * kMaxRatio);
  }
  this->samples += 1;
  const auto count = static_cast<double>(this->samples);
  this->mean_ms += (ms - this->mean_ms) / std::min(count, kMemory);
  const double scale = this->Expect(load).value_or(this->mean_ms);
  const double weight = 1 / (scale * scale);
  const double keep = 1 - 1 / kMemory;
  const Terms terms = TermsOf(load);
  for (size_t i = 0; i < kTerms; ++i) {
    for (size_t k = 0; k < kTerms; ++k) {
      this->products[i][k] =
          keep * this->products[i][k] + weight * terms[i] * terms[k];
    }
    this->responses[i] = keep * this->responses[i] + weight * terms[i] * ms;
  }
  this->Solve();
}

std::optional<LoadFit::Terms> LoadFit::SolveFor(
    const std::array<bool, kTerms>& used) const {
  std::array<Terms, kTerms> left = this->products;
  Terms right = this->responses;
  for (size_t i = 0; i < kTerms; ++i) {
    left[i][i] *= 1 + kRidge;
    if (used[i] && left[i][i] > 0) {
      continue;
    }
    // An unused term gets the equation "coefficient = 0".
    for (size_t k = 0; k < kTerms; ++k) {
      left[i][k] = 0;
      left[k][i] = 0;
    }
    left[i][i] = 1;
    right[i] = 0;
  }
  // The matrix is positive definite, so that elimination needs no pivoting.
  for (size_t i = 0; i < kTerms; ++i) {
    if (!(left[i][i] > 0)) {
      return std::nullopt;
    }
    for (size_t row = i + 1; row < kTerms; ++row) {
      const double factor = left[row][i] / left[i][i];
      for (size_t k = i; k < kTerms; ++k) {
        left[row][k] -= factor * left[i][k];
      }
      right[row] -= factor * right[i];
    }
  }
  Terms solution{};
  for (size_t i = kTerms; i-- > 0;) {
    double rest = right[i];
    for (size_t k = i + 1; k < kTerms; ++k) {
      rest -= left[i][k] * solution[k];
    }
    solution[i] = rest / left[i][i];
    if (!std::isfinite(solution[i]) || solution[i] < 0) {
      return std::nullopt;
    }
  }
  return solution;
}

double LoadFit::ErrorOf(const Terms& candidate) const {
  // Sum of squares without the constant part.
  double error = 0;
  for (size_t i = 0; i < kTerms; ++i) {
    error -= 2 * candidate[i] * this->responses[i];
    for (size_t k = 0; k < kTerms; ++k) {
      error += candidate[i] * candidate[k] * this->products[i][k];
    }
  }
  return error;
}

void LoadFit::Solve() {
  constexpr std::array<std::array<bool, kTerms>, 7> kSubsets = {
      {{true, true, true},
       {true, true, false},
       {true, false, true},
       {false, true, true},
       {false, true, false},
       {false, false, true},
       {true, false, false}}};
  std::optional<Terms> best;
  for (const auto& used : kSubsets) {
    const auto solution = this->SolveFor(used);
    if (!solution) {
      continue;
    }
    if (!best || this->ErrorOf(*solution) < this->ErrorOf(*best)) {
      best = solution;
    }
  }
  if (best) {
    this->coefficients = *best;
  }
}

std::optional<double> LoadFit::Expect(const LoadPoint& load) const {
  if (this->samples < kMinSamples) {
    return std::nullopt;
  }
  const Terms terms = TermsOf(load);
  double expected = 0;
  for (size_t i = 0; i < kTerms; ++i) {
    expected += this->coefficients[i] * terms[i];
  }
  return std::max(expected, kMinShareOfMean * this->mean_ms);
}

void LoadFit::AddError(double log_error) {
  const double bounded =
      std::clamp(log_error, -std::log(kMaxRatio), std::log(kMaxRatio));
  if (this->errors == 0) {
    this->variance = kFirstVariance;
  }
  this->errors += 1;
  const double count = std::min(
      kVarianceMinCount + static_cast<double>(this->errors), kVarianceMemory);
  this->variance += (bounded * bounded - this->variance) / count;
}

}  // namespace boragewharf::servermodel
