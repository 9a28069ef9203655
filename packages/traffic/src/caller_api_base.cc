/**
 * @file caller_api_base.cc
 * Routes, authentication and small answers.
 */
#include "traffic/caller_api_base.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/result_func.h"
#include "traffic/auth_func.h"
#include "traffic/server_choice_func.h"

namespace boragewharf::traffic {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr const char* kJson = "application/json";
constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kServicesPattern = "/services/.+";
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooLarge = 413;

ResultCode CodeOfLibraryStatus(int status) {
  switch (status) {
    case kStatusNotFound:
      return ResultCode::kNotFound;
    case kStatusTooLarge:
      return ResultCode::kBodyTooLarge;
    default:
      return ResultCode::kInvalidField;
  }
}

/** 0 for the own zone, 1 for the own region, 2 elsewhere. */
int Distance(const FrontEndOptions& options, const EntryInstance& entry) {
  if (entry.zone == options.zone) {
    return 0;
  }
  return entry.region == options.region ? 1 : 2;
}

}  // namespace

CallerApi::CallerApi(const TrafficContext& shared,
                     CompletionRelay& completion_relay,
                     ActiveCount& active_calls,
                     const std::atomic<bool>& is_draining)
    : context(shared),
      completions(completion_relay),
      plain(shared),
      active(active_calls),
      draining(is_draining) {}

void CallerApi::AddRoutes(CallerServer& server) {
  this->AddCallerRoutes(server);
  this->AddOpenRoutes(server);
  this->AddOperatorRoutes(server);
  this->AddFallbacks(server);
}

void CallerApi::AddCallerRoutes(CallerServer& server) {
  server.Post("/v1/completions",
              this->Customer(Work::kNew, [this](const CallerCall& call) {
                this->completions.HandleCompletion(call, false);
              }));
  server.Post("/v1/chat/completions",
              this->Customer(Work::kNew, [this](const CallerCall& call) {
                this->completions.HandleCompletion(call, true);
              }));
  server.Get("/v1/streams/[0-9a-f]+",
             this->Customer(Work::kHeld, [this](const CallerCall& call) {
               this->completions.HandleStream(call);
             }));
  server.Get("/v1/models",
             this->Customer(Work::kHeld, [this](const CallerCall& call) {
               this->AnswerModels(call);
             }));
  const auto relay = this->Customer(
      Work::kNew, [this](const CallerCall& call) { this->plain.Handle(call); });
  server.Get(kServicesPattern, relay);
  server.Post(kServicesPattern, relay);
  server.Put(kServicesPattern, relay);
  server.Patch(kServicesPattern, relay);
  server.Delete(kServicesPattern, relay);
}

void CallerApi::AddOpenRoutes(CallerServer& server) {
  server.Get("/v1/entries", [this](const Request&, Response& response) {
    response.set_header(kRequestIdHeader, ToString(NewRequestId()));
    this->AnswerEntries(response);
  });
  server.Get("/healthz", [](const Request&, Response& response) {
    response.set_content("{\"status\":\"ok\"}", kJson);
  });
  server.Get("/readyz", [this](const Request&, Response& response) {
    const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
    std::optional<Refusal> fault = this->ReadinessFault(*snapshot);
    if (!fault && this->IsDraining(*snapshot)) {
      fault = Refusal{ResultCode::kDraining, {}, std::nullopt};
    }
    if (fault) {
      this->Refuse(response, *fault);
      return;
    }
    response.set_content("{\"status\":\"ready\"}", kJson);
  });
  server.Get("/metrics", [this](const Request&, Response& response) {
    response.set_content(this->context.providers.registry.RenderText(),
                         "text/plain; version=0.0.4");
  });
}

void CallerApi::AddOperatorRoutes(CallerServer& server) {
  OperatorHandler& operators = this->context.providers.operators;
  server.Post("/admin/tickets",
              this->Operator([&operators](const Request& request) {
                return operators.SubmitTicket(request.body);
              }));
  server.Get("/admin/tickets", this->Operator([&operators](const Request&) {
    return operators.ListTickets();
  }));
  server.Get(
      "/admin/tickets/[0-9]+",
      this->Operator([&operators](const Request& request) {
        const std::string_view path = request.path;
        return operators.ShowTicket(path.substr(path.find_last_of('/') + 1));
      }));
  server.Get("/admin/status", this->Operator([&operators](const Request&) {
    return operators.Status();
  }));
  server.Post("/admin/drain", this->Operator([&operators](const Request&) {
    return operators.Drain();
  }));
  server.Get("/debug/state", this->Operator([&operators](const Request&) {
    return operators.StateDump();
  }));
}

void CallerApi::AddFallbacks(CallerServer& server) const {
  server.set_pre_routing_handler(
      [this, &server](const Request& request, Response& response) {
        const std::optional<Refusal> fault = server.FramingFault(request);
        if (!fault) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        response.set_header(kRequestIdHeader, ToString(NewRequestId()));
        this->Refuse(response, *fault);
        return httplib::Server::HandlerResponse::Handled;
      });
  // Errors of our own handlers have a request id; others are the library's.
  server.set_error_handler([this](const Request&, Response& response) {
    if (response.has_header(kRequestIdHeader) || !response.body.empty()) {
      return;
    }
    response.set_header(kRequestIdHeader, ToString(NewRequestId()));
    this->Refuse(response,
                 {CodeOfLibraryStatus(response.status), {}, std::nullopt});
  });
  server.set_exception_handler(
      [this](const Request&, Response& response, const std::exception_ptr&) {
        this->Refuse(response, {ResultCode::kInternal, {}, std::nullopt});
      });
}

httplib::Server::Handler CallerApi::Customer(Work work,
                                             CallHandler handler) const {
  return [this, work, handler = std::move(handler)](const Request& request,
                                                    Response& response) {
    const ActiveCount::Hold hold(this->active);
    const RequestId id = NewRequestId();
    response.set_header(kRequestIdHeader, ToString(id));
    SnapshotPtr snapshot = this->context.providers.snapshots.Get();
    std::optional<Refusal> fault = this->ReadinessFault(*snapshot);
    if (!fault && work == Work::kNew && this->IsDraining(*snapshot)) {
      fault = Refusal{ResultCode::kDraining, {}, std::nullopt};
    }
    if (fault) {
      this->Refuse(response, *fault);
      return;
    }
    const config::Customer* customer = FindCustomer(
        *snapshot->configuration, request.get_header_value("Authorization"));
    if (customer == nullptr) {
      this->Refuse(response, LastRefusal());
      return;
    }
    handler({id, request, response, std::move(snapshot), customer,
             BootClock::now()});
  };
}

httplib::Server::Handler CallerApi::Operator(OperatorCall handler) const {
  return [this, handler = std::move(handler)](const Request& request,
                                              Response& response) {
    const ActiveCount::Hold hold(this->active);
    response.set_header(kRequestIdHeader, ToString(NewRequestId()));
    if (!this->CheckOperator(request)) {
      this->Refuse(response, LastRefusal());
      return;
    }
    const OperatorAnswer answer = handler(request);
    response.status = answer.status;
    response.set_content(answer.body, kJson);
  };
}

bool CallerApi::IsDraining(const RoutingSnapshot& snapshot) const {
  return this->draining || snapshot.draining;
}

std::optional<Refusal> CallerApi::ReadinessFault(
    const RoutingSnapshot& snapshot) const {
  if (!snapshot.configuration) {
    return Refusal{ResultCode::kNotConfigured, {}, std::nullopt};
  }
  if (!HoldsServingLease(snapshot, BootClock::now())) {
    return Refusal{ResultCode::kServingLeaseLapsed, {}, std::nullopt};
  }
  return std::nullopt;
}

bool CallerApi::CheckOperator(const httplib::Request& request) const {
  const std::string header = request.get_header_value("Authorization");
  const std::optional<std::string_view> token = BearerToken(header);
  if (!token) {
    return false;
  }
  const auto& key = this->context.options.operator_key;
  if (!key || !MatchesToken(*key, *token)) {
    Fail(ResultCode::kForbidden);
    return false;
  }
  return true;
}

void CallerApi::AnswerModels(const CallerCall& call) const {
  json models = json::array();
  for (const auto& [name, model] : call.snapshot->configuration->models) {
    models.push_back(
        {{"id", name}, {"object", "model"}, {"owned_by", model.service}});
  }
  call.response.set_content(
      json{{"object", "list"}, {"data", std::move(models)}}.dump(), kJson);
}

void CallerApi::AnswerEntries(httplib::Response& response) const {
  const SnapshotPtr snapshot = this->context.providers.snapshots.Get();
  const bool self_leaves = this->IsDraining(*snapshot);
  std::vector<const EntryInstance*> entries;
  for (const EntryInstance& entry : snapshot->entries) {
    const bool is_self = entry.instance == this->context.options.instance;
    if (!entry.leaving && !(is_self && self_leaves)) {
      entries.push_back(&entry);
    }
  }
  // A random order within each distance spreads callers over instances.
  if (!entries.empty()) {
    const auto offset =
        static_cast<std::ptrdiff_t>(RandomU64() % entries.size());
    std::rotate(entries.begin(), entries.begin() + offset, entries.end());
  }
  std::ranges::stable_sort(entries, {}, [this](const EntryInstance* entry) {
    return Distance(this->context.options, *entry);
  });
  json list = json::array();
  for (const EntryInstance* entry : entries) {
    list.push_back({{"address", ToString(entry->address)},
                    {"zone", entry->zone},
                    {"region", entry->region}});
  }
  const int64_t lifetime = this->context.options.entries_lifetime.count();
  response.set_header("Cache-Control", "max-age=" + std::to_string(lifetime));
  response.set_content(
      json{{"entries", std::move(list)}, {"lifetime_seconds", lifetime}}.dump(),
      kJson);
}

void CallerApi::Refuse(httplib::Response& response,
                       const Refusal& refusal) const {
  SetRefusal(response, refusal, this->context.providers.registry);
}

}  // namespace boragewharf::traffic
