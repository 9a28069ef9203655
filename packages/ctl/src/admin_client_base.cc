/**
 * @file admin_client_base.cc
 * Operator calls to a daemon, on top of cpp-httplib.
 */
#include "ctl/admin_client_base.h"

#include <httplib.h>

#include "base/result_func.h"

namespace boragewharf::ctl {

namespace {

constexpr time_t kConnectSeconds = 5;
/** A ticket is answered within 15 s; the rest is for a slow store. */
constexpr time_t kReadSeconds = 30;

httplib::Client MakeClient(const Endpoint& endpoint) {
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_connection_timeout(kConnectSeconds);
  client.set_read_timeout(kReadSeconds);
  client.set_write_timeout(kConnectSeconds);
  return client;
}

httplib::Headers KeyHeader(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

bool NothingWasSent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

std::optional<AdminAnswer> Convert(const httplib::Result& result,
                                   const Endpoint& endpoint) {
  if (result) {
    return AdminAnswer{result->status, result->body};
  }
  const ResultCode code = NothingWasSent(result.error())
                              ? ResultCode::kPeerUnreachable
                              : ResultCode::kOutcomeUnknown;
  return Fail(code,
              ToString(endpoint) + ": " + httplib::to_string(result.error()));
}

}  // namespace

std::optional<AdminAnswer> AdminClient::Get(const std::string& path) const {
  httplib::Client client = MakeClient(this->endpoint);
  return Convert(client.Get(path, KeyHeader(this->key)), this->endpoint);
}

std::optional<AdminAnswer> AdminClient::Post(const std::string& path,
                                             const std::string& body) const {
  httplib::Client client = MakeClient(this->endpoint);
  return Convert(
      client.Post(path, KeyHeader(this->key), body, "application/json"),
      this->endpoint);
}

}  // namespace boragewharf::ctl
