/**
 * @file caller_api_base.h
 * Paths of the HTTP interface.
 */
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "traffic/caller_server_base.h"
#include "traffic/completion_relay_base.h"
#include "traffic/plain_relay_base.h"

namespace boragewharf::traffic {

/** Checks calls and passes them to the relays. Thread-safe. */
class CallerApi {
 public:
  /** All arguments outlive the object. */
  CallerApi(const TrafficContext& shared,
            CompletionRelay& completion_relay,
            ActiveCount& active_calls,
            const std::atomic<bool>& is_draining);

  /** Adds all paths. @pre The server has not started. */
  void AddRoutes(CallerServer& server);

 private:
  using CallHandler = std::function<void(const CallerCall&)>;
  using OperatorCall = std::function<OperatorAnswer(const httplib::Request&)>;

  enum class Work : uint8_t {
    kNew,   ///< Refused while draining.
    kHeld,  ///< Allowed while draining.
  };

  httplib::Server::Handler Customer(Work work, CallHandler handler) const;
  httplib::Server::Handler Operator(OperatorCall handler) const;
  void AddCallerRoutes(CallerServer& server);
  void AddOpenRoutes(CallerServer& server);
  void AddOperatorRoutes(CallerServer& server);
  void AddFallbacks(CallerServer& server) const;
  bool IsDraining(const RoutingSnapshot& snapshot) const;
  std::optional<Refusal> ReadinessFault(const RoutingSnapshot& snapshot) const;
  bool CheckOperator(const httplib::Request& request) const;
  void AnswerModels(const CallerCall& call) const;
  void AnswerEntries(httplib::Response& response) const;
  void Refuse(httplib::Response& response, const Refusal& refusal) const;

  const TrafficContext& context;
  CompletionRelay& completions;
  PlainRelay plain;
  ActiveCount& active;
  const std::atomic<bool>& draining;
};

}  // namespace boragewharf::traffic
