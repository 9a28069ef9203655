/**
 * @file refused_head_case.cc
 * A tenant sends many times its usual, among it HEAD requests.
 */
#include <boost/asio/write.hpp>

#include "trial_cases.h"

namespace boragewharf::review {
namespace {

namespace asio = boost::asio;

/** Requests of the tenant per second that its allotment allows, its usual rate
 * and that of a hot tenant (7.5 times as many). */
constexpr int kTokensPerRequest = 400;
constexpr int kAllowedPerSecond = 10;
constexpr milliseconds kUsualPeriod(125);
constexpr milliseconds kHotPeriod = kUsualPeriod * 10 / 75;
constexpr milliseconds kHotTime(6500);

constexpr milliseconds kAnswerLimit(2500);

/** A client with one kept channel, on which it sends one request at a time. */
class KeptChannel {
 public:
  KeptChannel(Trial& deployment, size_t node)
      : trial(deployment),
        socket(deployment.Loop()),
        address(deployment.ClientAddress(node)) {
    this->socket.connect(this->address);
  }

  /** Sends a request and waits for its answer.
   * @return What is wrong with what was received; empty if nothing is. */
  std::string Exchange(const std::string& method, const std::string& id) {
    const std::string text = method + " /rack/1 HTTP/1.1\r\nHost: " + kHost +
                             "\r\nBoragewharf-Attempt-Id: " + id +
                             "\r\nBoragewharf-Token-Counts: 300,100"
                             "\r\nBoragewharf-Deadline-Ms: 2500"
                             "\r\nAuthorization: Bearer " +
                             kKey + "\r\n\r\n";
    boost::system::error_code error;
    asio::write(this->socket, asio::buffer(text), error);
    httpio::ResponseParser parser([](std::string_view) {}, method == "HEAD");
    const auto end = Clock::now() + kAnswerLimit;
    this->status = 0;
    std::string received;
    while (!error && !parser.is_done() && !parser.Failed()) {
      if (Clock::now() > end) {
        return "no answer";
      }
      this->Receive(error);
      received += this->input;
      this->input.erase(0, parser.Feed(this->input));
      if (!parser.is_done() && !parser.Failed()) {
        received.resize(received.size() - this->input.size());
      }
    }
    if (parser.Failed()) {
      return "no answer in the protocol, but: " +
             received.substr(0, received.find('\r'));
    }
    if (error) {
      return "the channel ended: " + error.message();
    }
    this->status = parser.head.status;
    const auto own =
        httpio::FindField(parser.head.fields, "Boragewharf-Attempt-Id");
    return own == id ? "" : "the answer to " + std::string(own);
  }

  /** Status of the last answer; 0 if there was none. */
  uint32_t Status() const { return this->status; }

  void Renew() {
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->input.clear();
    this->socket = asio::ip::tcp::socket(this->trial.Loop());
    this->socket.connect(this->address);
  }

 private:
  void Receive(boost::system::error_code& error) {
    this->trial.RunFor(milliseconds(1));
    if (this->socket.available(error) == 0) {
      return;
    }
    std::array<char, 8192> buffer{};
    const size_t size = this->socket.read_some(asio::buffer(buffer), error);
    this->input.append(buffer.data(), size);
  }

  Trial& trial;
  asio::ip::tcp::socket socket;
  asio::ip::tcp::endpoint address;
  std::string input;
  uint32_t status = 0;
};

}  // namespace

int RunRefusedHead(const std::string& record_path) {
  Trial trial(record_path);
  for (const std::string& zone : kZones) {
    trial.AddNode(zone);
  }
  standins::Json config = WharfConfig(3);
  config["tenants"][0]["rate_per_s"] = kAllowedPerSecond * kTokensPerRequest;
  config["tenants"][0]["burst"] = 2 * kAllowedPerSecond * kTokensPerRequest;
  trial.WriteConfig(config);
  for (int i = 0; i < 3; ++i) {
    trial
        .AddReplica({"desk-" + std::to_string(i), "drying-desk", "1.0",
                     kZones[i % kZones.size()]})
        .Register();
  }
  if (!trial.StartNodes()) {
    return kCouldNotRun;
  }
  trial.RunFor(milliseconds(4000));

  const milliseconds period = WithTrouble() ? kHotPeriod : kUsualPeriod;
  KeptChannel channel(trial, 0);
  std::map<uint32_t, uint32_t> statuses;
  uint32_t sent = 0;
  uint32_t wrong = 0;
  const auto end = Clock::now() + kHotTime;
  while (Clock::now() < end) {
    const std::string method = ++sent % 2 == 1 ? "HEAD" : "GET";
    const std::string id = "r" + std::to_string(sent);
    const std::string fault = channel.Exchange(method, id);
    statuses[channel.Status()] += 1;
    if (!fault.empty()) {
      ++wrong;
      std::string line = method;
      line.append(" ").append(id).append(" on the kept channel got ");
      trial.Note(line.append(fault));
      channel.Renew();
    }
    trial.RunFor(period);
  }
  std::string text;
  for (const auto& [status, count] : statuses) {
    text += ", status " + std::to_string(status) + ": " + std::to_string(count);
  }
  trial.Note("requests " + std::to_string(sent) + text + "; with wrong bytes " +
             std::to_string(wrong));
  return wrong > 0 ? kBroken : kHeld;
}

}  // namespace boragewharf::review
