/**
 * @file admin_client_base.cc
 * Operator calls to a daemon, on top of cpp-httplib.
 */
#include "ctl/admin_client_base.h"

#include <utility>

#include "base/result_func.h"
#include "httpclient/bounded_client_base.h"

namespace boragewharf::ctl {

namespace {

constexpr time_t kConnectSeconds = 5;
/** A ticket is answered within 15 s; the rest is for a slow store. */
constexpr time_t kReadSeconds = 30;

bool NothingWasSent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

/** Sends a request to a daemon, which may be any program at its address. */
std::optional<AdminAnswer> Call(const Endpoint& endpoint,
                                httplib::Request request) {
  BoundedHttpClient client(endpoint.host, endpoint.port);
  client.set_connection_timeout(kConnectSeconds);
  client.set_read_timeout(kReadSeconds);
  client.set_write_timeout(kConnectSeconds);
  AdminAnswer answer;
  request.content_receiver = [&](const char* data, size_t length, uint64_t,
                                 uint64_t) {
    answer.body.append(data, length);
    return answer.body.size() <= AdminClient::kMaxAnswerBytes;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  if (client.Send(request, response, error)) {
    answer.status = response.status;
    return answer;
  }
  const ResultCode code = NothingWasSent(error) ? ResultCode::kPeerUnreachable
                                                : ResultCode::kOutcomeUnknown;
  return Fail(code, ToString(endpoint) + ": " + httplib::to_string(error));
}

}  // namespace

std::optional<AdminAnswer> AdminClient::Get(const std::string& path) const {
  httplib::Request request;
  request.method = "GET";
  request.path = path;
  request.set_header("Authorization", "Bearer " + this->key);
  return Call(this->endpoint, std::move(request));
}

std::optional<AdminAnswer> AdminClient::Post(const std::string& path,
                                             const std::string& body) const {
  httplib::Request request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  request.set_header("Authorization", "Bearer " + this->key);
  request.set_header("Content-Type", "application/json");
  return Call(this->endpoint, std::move(request));
}

}  // namespace boragewharf::ctl
