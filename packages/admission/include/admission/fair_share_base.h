/**
 * @file fair_share_base.h
 * Which kinds of requests and which customers have received less or more than
 * their share of a service.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "admission/admission_type.h"

namespace boragewharf::admission {

/** A sum in which earlier amounts count less and less. */
class FadingSum {
 public:
  explicit FadingSum(Duration time_constant) : constant(time_constant) {}

  /** Adds an amount; a negative one takes back an earlier one. */
  void Add(double amount, TimePoint now);

  /** The sum at a time that is not before the last call of Add(). */
  double At(TimePoint now) const;

 private:
  Duration constant;
  double sum = 0;
  TimePoint updated;
};

/** Requests of one kind, and how many of them were started. */
struct KindRecord {
  /** Time constant of the sums; long enough for some dozens of requests of a
   * kind, short enough that a kind does not wait seconds for its share. */
  static constexpr std::chrono::seconds kMemory{2};

  FadingSum ended{kMemory};    ///< Started or refused.
  FadingSum started{kMemory};  ///< Sent to a server.
  bool behind = false;         ///< See FairShares::Update().
};

/** A customer's use of a service at this node. */
struct CustomerRecord {
  KindRecord kind;
  FadingSum used{KindRecord::kMemory};  ///< Tokens of started requests.
  double usual_per_second = 0;          ///< Tokens offered while none waited.
  uint32_t usual_periods = 0;           ///< Periods that it is based on.
  double offered_in_period = 0;         ///< Tokens.
  /** Sends far more than usual, and more than other customers get. */
  bool surging = false;
};

/**
 * Shares of a service at this node, by urgency, prompt length and customer.
 * Not thread-safe.
 */
class FairShares {
 public:
  /** Period in which the usual load is measured. */
  static constexpr std::chrono::milliseconds kPeriod{500};

  /** Counts the load of a request that has arrived. */
  void CountArrival(const RequestProfile& request);

  /** Counts a request that was started. */
  void CountStart(const RequestProfile& request, TimePoint now);

  /** Takes back CountStart(): the server did not run the request. */
  void TakeBackStart(const RequestProfile& request, TimePoint now);

  /** Counts a request that was refused. */
  void CountRefusal(const RequestProfile& request, TimePoint now);

  /**
   * Finds the kinds of which less than half as many requests were started as
   * of all, and the customers that surge.
   */
  void Update(TimePoint now);

  /** Learns the usual load of the customers.
   * @param overloaded Whether requests waited or were refused in the period;
   *     the load then does not count as usual. */
  void EndPeriod(double seconds, bool overloaded);

  /** Whether the request is of a kind that has received too little. */
  bool IsBehind(const RequestProfile& request) const;

  /** Whether the request's customer surges. */
  bool IsSurging(const RequestProfile& request) const;

  /** Tokens of the customer's requests that were started lately. */
  double UsedBy(const std::string& customer, TimePoint now) const;

 private:
  void Count(const RequestProfile& request,
             double ended,
             double started,
             TimePoint now);

  KindRecord all;
  std::map<uint32_t, KindRecord> urgencies;
  std::map<uint32_t, KindRecord> lengths;  ///< By power of two of the tokens.
  std::map<std::string, CustomerRecord> customers;
};

}  // namespace boragewharf::admission
