/**
 * @file channel_test.cc
 * Tests deadlines, ordering, cancellation and response matching of HTTP calls.
 */
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include "httpio/http_channel_base.h"
#include "httpio/server_connection_base.h"
#include "stalled_server.h"

namespace boragewharf::httpio {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/** Records request paths and responds only when Respond() is called. */
class DeferredHandler : public RequestHandler {
 public:
  void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                 InboundRequest request) override {
    this->paths.push_back(request.target);
    this->pending_connection = connection;
  }
  void OnClientDisconnected(ServerConnection&) override { ++this->disconnects; }

  void Respond() {
    this->pending_connection->Send(MakeResponse(200, {}, "ok", true));
    this->pending_connection->EndResponse(true);
  }

  std::vector<std::string> paths;
  std::shared_ptr<ServerConnection> pending_connection;
  int disconnects = 0;
};

class ChannelTest : public testing::Test {
 protected:
  static uint16_t FreePort() {
    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor(loop,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
  }

  void Call(const std::string& path,
            std::optional<TimePoint> call_deadline = std::nullopt,
            const std::string& subject = "") {
    HttpCall call;
    call.method = "GET";
    call.target = path;
    call.timeout = milliseconds(2000);
    call.call_deadline = call_deadline;
    call.subject = subject;
    this->channel.Call(call, [this, path](const HttpResult& result) {
      this->results[path] = result.head      ? "answered"
                            : result.sent_at ? "sent"
                                             : "not sent";
    });
  }

  void RunFor(int ms) { this->loop.run_for(milliseconds(ms)); }

  asio::io_context loop;
  DeferredHandler handler;
  Endpoint address{"127.0.0.1", FreePort()};
  HttpListener listener{loop, address, handler};
  HttpChannel channel{loop, address, {.delivery_timeout = milliseconds(900)}};
  std::map<std::string, std::string> results;
};

// Guards against an order that waits in the queue and is sent after the lease
// of its holder has expired (incident ONE on kbtc-wharf).
TEST_F(ChannelTest, CallQueuedPastItsDeadlineIsNotSent) {
  this->Call("/first");
  this->Call("/second", BootClock::now() + milliseconds(100));
  this->RunFor(200);
  this->handler.Respond();
  this->Call("/third", BootClock::now() + milliseconds(500));
  this->RunFor(100);
  EXPECT_EQ(this->results["/first"], "answered");
  EXPECT_EQ(this->results["/second"], "not sent");
  EXPECT_EQ(this->handler.paths,
            (std::vector<std::string>{"/first", "/third"}));
}

// Guards against an order that is still being delivered after the lease of its
// holder has expired.
TEST_F(ChannelTest, CallInProgressIsResetAtItsDeadline) {
  this->Call("/first", BootClock::now() + milliseconds(100));
  this->RunFor(300);
  EXPECT_EQ(this->results["/first"], "sent");
  EXPECT_EQ(this->handler.disconnects, 1);
}

// Guards against orders that are delivered after their holder has released its
// lease.
TEST_F(ChannelTest, CancelAllEndsCallsAndLaterCallsSucceed) {
  this->Call("/first");
  this->Call("/second");
  this->RunFor(50);
  this->channel.CancelAll();
  EXPECT_TRUE(this->results.empty()) << "callbacks must run on the event loop";
  this->Call("/third");
  this->RunFor(50);
  this->handler.Respond();
  this->RunFor(50);
  EXPECT_EQ(this->results["/first"], "sent");
  EXPECT_EQ(this->results["/second"], "not sent");
  EXPECT_EQ(this->results["/third"], "answered");
  EXPECT_EQ(this->handler.paths,
            (std::vector<std::string>{"/first", "/third"}));
}

// Guards against sending an outdated order, and against an order that loses its
// queue position with each update and is never sent.
TEST_F(ChannelTest, NewerCallReplacesQueuedCallWithSameSubject) {
  this->Call("/a1", std::nullopt, "a");
  this->Call("/a2", std::nullopt, "a");
  this->Call("/b1", std::nullopt, "b");
  this->Call("/a3", std::nullopt, "a");
  for (int i = 0; i < 3; ++i) {
    this->RunFor(50);
    this->handler.Respond();
  }
  this->RunFor(50);
  EXPECT_EQ(this->results["/a2"], "not sent");
  EXPECT_EQ(this->handler.paths,
            (std::vector<std::string>{"/a1", "/a3", "/b1"}));
}

// Guards against callbacks that access objects destroyed with the channel.
TEST_F(ChannelTest, NoCallbackRunsAfterTheChannelIsDestroyed) {
  auto temporary_channel =
      std::make_unique<HttpChannel>(this->loop, this->address);
  int called = 0;
  for (int i = 0; i < 2; ++i) {
    HttpCall call;
    call.method = "GET";
    call.target = "/doomed";
    temporary_channel->Call(call, [&](const HttpResult&) { ++called; });
  }
  this->RunFor(50);
  temporary_channel->CancelAll();
  temporary_channel.reset();
  this->RunFor(50);
  EXPECT_EQ(called, 0);
}

// Guards against a server that sends a response twice on a persistent
// connection: the duplicate must not be taken for the response to the next
// call.
TEST_F(ChannelTest, DuplicateResponseIsNotMatchedToNextCall) {
  this->Call("/first");
  this->RunFor(50);
  this->handler.Respond();
  this->RunFor(50);
  this->handler.pending_connection->Send(MakeResponse(200, {}, "ok", true));
  this->RunFor(50);
  this->Call("/second");
  this->RunFor(50);
  EXPECT_EQ(this->results.count("/second"), 0U) << "no response was sent";
  this->handler.Respond();
  this->RunFor(50);
  EXPECT_EQ(this->results["/second"], "answered");
}

// Guards against orders that are delivered late because the event loop is
// delayed: the kernel discards what it could not deliver in time.
TEST(ChannelKernelTest, KernelDiscardsUndeliveredBytesAfterTimeout) {
  constexpr size_t kBodyBytes = 5000000;
  asio::io_context loop;
  StalledServer stalled(loop);
  HttpChannel channel(loop, stalled.Address(),
                      {.delivery_timeout = milliseconds(300)});
  HttpCall call;
  call.method = "POST";
  call.target = "/order";
  call.body = std::string(kBodyBytes, 'o');
  call.timeout = milliseconds(20000);
  bool ended = false;
  channel.Call(call, [&](const HttpResult& result) { ended = !result.head; });
  for (int i = 0; i < 60 && !ended; ++i) {
    loop.run_for(milliseconds(100));
  }
  EXPECT_TRUE(ended);
}

// Guards against orders that outlive their process: by default, the kernel
// keeps sending buffered data of a killed process, even after the next lease
// holder has started to act.
TEST(ChannelProcessTest, KernelDiscardsUnsentBytesOfKilledProcess) {
  constexpr size_t kBodyBytes = 500000;
  asio::io_context loop;
  StalledServer stalled(loop);
  const pid_t child = fork();
  ASSERT_GE(child, 0);
  if (child == 0) {
    asio::io_context child_loop;
    HttpChannel channel(child_loop, stalled.Address(),
                        {.delivery_timeout = milliseconds(5000)});
    HttpCall call;
    call.method = "POST";
    call.target = "/order";
    call.body = std::string(kBodyBytes, 'o');
    channel.Call(call, [](const HttpResult&) {});
    child_loop.run_for(milliseconds(200));
    _exit(0);  // Like a kill, runs no destructors.
  }
  loop.run_for(milliseconds(100));
  ASSERT_TRUE(stalled.Accepted());
  int status = 0;
  ASSERT_EQ(waitpid(child, &status, 0), child);
  std::string received;
  EXPECT_EQ(stalled.ReadAll(received), asio::error::connection_reset);
  EXPECT_LT(received.size(), kBodyBytes);
}

}  // namespace
}  // namespace boragewharf::httpio
