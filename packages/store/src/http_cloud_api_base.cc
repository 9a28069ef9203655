/**
 * @file http_cloud_api_base.cc
 * Cloud API over HTTP.
 */
#include "store/http_cloud_api_base.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/result_func.h"

namespace boragewharf {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kInstancesPath = "/v1/instances";

/** Names become parts of a path, so nothing in them may need escaping. */
bool IsInstanceName(std::string_view name) {
  return !name.empty() && name.front() != '.' &&
         std::ranges::all_of(name, [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                  c == '-' || c == '.';
         });
}

ResultCode Classify(const HttpReply& reply, bool is_order) {
  const ResultCode lost =
      is_order ? ResultCode::kStoreUnknown : ResultCode::kStoreUnavailable;
  switch (reply.outcome) {
    case HttpOutcome::kNotSent:
      return ResultCode::kStoreUnavailable;
    case HttpOutcome::kTooLarge:
      return ResultCode::kBodyTooLarge;
    case HttpOutcome::kLost:
      return lost;
    case HttpOutcome::kAnswered:
      break;
  }
  if (reply.status >= 200 && reply.status < 300) {
    return ResultCode::kOk;
  }
  const bool refused = reply.status >= 400 && reply.status < 500;
  return refused || reply.status == 503 ? ResultCode::kCloudRefused : lost;
}

/**
 * Maps the answer to an order.
 * @param done_status Status that says that nothing is left to do.
 * @return kStoreUnknown for an answer without a JSON object, because it may
 *     come from something else than the cloud API.
 */
ResultCode ClassifyOrder(const HttpReply& reply, int done_status) {
  constexpr int kNoContent = 204;
  const bool succeeded = reply.status >= 200 && reply.status < 300;
  if (!succeeded && reply.status != done_status) {
    return Classify(reply, /*is_order=*/true);
  }
  const bool is_object = Json::parse(reply.body, nullptr, false).is_object();
  return is_object || reply.status == kNoContent ? ResultCode::kOk
                                                 : ResultCode::kStoreUnknown;
}

bool Finish(HttpChannel& channel, const HttpCall& call, ResultCode code) {
  channel.CountResult(call.label, code);
  if (code != ResultCode::kOk) {
    Fail(code, std::string(call.method) + " " + call.path);
  }
  return code == ResultCode::kOk;
}

std::optional<std::vector<ReclaimNotice>> DecodeNotices(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("notices") ||
      !json["notices"].is_array()) {
    return Fail(ResultCode::kStoreMalformed, "notices");
  }
  std::vector<ReclaimNotice> notices;
  for (const Json& item : json["notices"]) {
    if (!item.is_object() || !item.contains("instance") ||
        !item["instance"].is_string() || !item.contains("deadline") ||
        !item["deadline"].is_number_integer()) {
      return Fail(ResultCode::kStoreMalformed, "notice");
    }
    notices.push_back(
        {item["instance"].get<std::string>(),
         WallTime(std::chrono::milliseconds(item["deadline"].get<int64_t>()))});
  }
  return notices;
}

}  // namespace

HttpCloudApi::HttpCloudApi(HttpChannelOptions options,
                           CounterRegistry& counters)
    : channel(std::move(options), counters, "cloud") {}

std::optional<std::vector<ReclaimNotice>> HttpCloudApi::ReadNotices() {
  const HttpCall call{"notices", "GET", "/v1/notices", {}};
  const HttpReply reply = this->channel.Perform(call);
  const ResultCode code = Classify(reply, /*is_order=*/false);
  if (code != ResultCode::kOk) {
    Finish(this->channel, call, code);
    return std::nullopt;
  }
  std::optional<std::vector<ReclaimNotice>> notices = DecodeNotices(reply.body);
  this->channel.CountResult(call.label,
                            notices ? ResultCode::kOk : LastReason().code);
  return notices;
}

bool HttpCloudApi::Start(const StartOrder& order) {
  if (!IsInstanceName(order.name)) {
    Fail(ResultCode::kInvalidField, "instance name");
    return false;
  }
  const Json body = {{"name", order.name},
                     {"service", order.service},
                     {"zone", order.zone},
                     {"machineClass", order.machine_class},
                     {"reclaimable", order.reclaimable}};
  const HttpCall call{
      "start", "POST", std::string(kInstancesPath),
      body.dump(-1, ' ', false, Json::error_handler_t::replace)};
  const HttpReply reply = this->channel.Perform(call);
  constexpr int kConflict = 409;
  return Finish(this->channel, call, ClassifyOrder(reply, kConflict));
}

bool HttpCloudApi::Delete(std::string_view instance) {
  if (!IsInstanceName(instance)) {
    Fail(ResultCode::kInvalidField, "instance name");
    return false;
  }
  const HttpCall call{"delete",
                      "DELETE",
                      std::string(kInstancesPath).append("/").append(instance),
                      {}};
  const HttpReply reply = this->channel.Perform(call);
  constexpr int kNotFound = 404;
  return Finish(this->channel, call, ClassifyOrder(reply, kNotFound));
}

}  // namespace boragewharf
