/**
 * @file channel_test.cc
 * Calls over a kept connection: their time, their order, and answers of others.
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

/** Keeps the paths of requests; answers them only when told to. */
class HeldHandler : public RequestHandler {
 public:
  void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                 InboundRequest request) override {
    this->paths.push_back(request.target);
    this->waiting = connection;
  }
  void OnClientDisconnected(ServerConnection&) override { ++this->gone; }

  void Answer() {
    this->waiting->Send(MakeResponse(200, {}, "ok", true));
    this->waiting->EndResponse(true);
  }

  std::vector<std::string> paths;
  std::shared_ptr<ServerConnection> waiting;
  int gone = 0;
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
  HeldHandler handler;
  Endpoint address{"127.0.0.1", FreePort()};
  HttpListener listener{loop, address, handler};
  HttpChannel channel{loop, address, {.delivery_timeout = milliseconds(900)}};
  std::map<std::string, std::string> results;
};

// Guards against an order that waits behind others and leaves after the right
// of its holder has ended (incident ONE on kbtc-wharf).
TEST_F(ChannelTest, CallThatWaitedPastItsTimeDoesNotLeave) {
  this->Call("/first");
  this->Call("/second", BootClock::now() + milliseconds(100));
  this->RunFor(200);
  this->handler.Answer();
  this->Call("/third", BootClock::now() + milliseconds(500));
  this->RunFor(100);
  EXPECT_EQ(this->results["/first"], "answered");
  EXPECT_EQ(this->results["/second"], "not sent");
  EXPECT_EQ(this->handler.paths,
            (std::vector<std::string>{"/first", "/third"}));
}

// Guards against an order that is still being delivered when the right of its
// holder has ended.
TEST_F(ChannelTest, CallUnderWayIsResetWhenItsTimeIsOver) {
  this->Call("/first", BootClock::now() + milliseconds(100));
  this->RunFor(300);
  EXPECT_EQ(this->results["/first"], "sent");
  EXPECT_EQ(this->handler.gone, 1);
}

// Guards against orders on the way when a holder gives up its lease.
TEST_F(ChannelTest, CancelledCallsEndAndLaterOnesAreServed) {
  this->Call("/first");
  this->Call("/second");
  this->RunFor(50);
  this->channel.CancelAll();
  EXPECT_TRUE(this->results.empty()) << "callbacks run on the loop";
  this->Call("/third");
  this->RunFor(50);
  this->handler.Answer();
  this->RunFor(50);
  EXPECT_EQ(this->results["/first"], "sent");
  EXPECT_EQ(this->results["/second"], "not sent");
  EXPECT_EQ(this->results["/third"], "answered");
  EXPECT_EQ(this->handler.paths,
            (std::vector<std::string>{"/first", "/third"}));
}

// Guards against an order that is out of date when its turn comes, and against
// one that loses its place each time and never leaves.
TEST_F(ChannelTest, NewerCallReplacesOneOfItsSubjectThatWaits) {
  this->Call("/a1", std::nullopt, "a");
  this->Call("/a2", std::nullopt, "a");
  this->Call("/b1", std::nullopt, "b");
  this->Call("/a3", std::nullopt, "a");
  for (int i = 0; i < 3; ++i) {
    this->RunFor(50);
    this->handler.Answer();
  }
  this->RunFor(50);
  EXPECT_EQ(this->results["/a2"], "not sent");
  EXPECT_EQ(this->handler.paths,
            (std::vector<std::string>{"/a1", "/a3", "/b1"}));
}

// Guards against a callback into what was destroyed with the channel.
TEST_F(ChannelTest, NoCallbackRunsAfterTheChannelIsDestroyed) {
  auto doomed = std::make_unique<HttpChannel>(this->loop, this->address);
  int called = 0;
  for (int i = 0; i < 2; ++i) {
    HttpCall call;
    call.method = "GET";
    call.target = "/doomed";
    doomed->Call(call, [&](const HttpResult&) { ++called; });
  }
  this->RunFor(50);
  doomed->CancelAll();
  doomed.reset();
  this->RunFor(50);
  EXPECT_EQ(called, 0);
}

// Guards against an answer that a server writes once more on a kept connection
// and that the next call would take for its own.
TEST_F(ChannelTest, RepeatedAnswerIsNotTakenForThatOfTheNextCall) {
  this->Call("/first");
  this->RunFor(50);
  this->handler.Answer();
  this->RunFor(50);
  this->handler.waiting->Send(MakeResponse(200, {}, "ok", true));
  this->RunFor(50);
  this->Call("/second");
  this->RunFor(50);
  EXPECT_EQ(this->results.count("/second"), 0U) << "nothing has answered it";
  this->handler.Answer();
  this->RunFor(50);
  EXPECT_EQ(this->results["/second"], "answered");
}

// Guards against orders that are delivered late because the event loop is: the
// kernel gives up what it could not deliver in time.
TEST(ChannelKernelTest, UndeliveredBytesAreGivenUpByTheKernel) {
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

// Guards against orders that outlive their process: the kernel goes on sending
// what a killed process has left in its connection, after a successor acts.
TEST(ChannelProcessTest, BytesOfAKilledProcessAreDiscarded) {
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
    _exit(0);  // As a kill does: no destructor runs.
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
