/**
 * @file endless_response_test.cc
 * Servers that never end a part of their response.
 */
#include <chrono>

#include "front_end_fixture.h"
#include "standins/endless_standin_base.h"

namespace boragewharf::traffic {
namespace {

using standins::EndlessStandin;
using std::chrono::seconds;

/** What a process and the buffers of sockets may take of a response. */
constexpr size_t kMaxTakenBytes = size_t{8} * 1024 * 1024;

class EndlessResponseTest : public FrontEndTest {
 protected:
  /** Calls until @p server has got a request. */
  template <class Request>
  static void CallUntilReached(const EndlessStandin& server, Request request) {
    for (int i = 0; i < 20 && server.Requests() == 0; ++i) {
      const TimePoint start = BootClock::now();
      request();
      EXPECT_LT(BootClock::now() - start, seconds(5));
    }
    EXPECT_GE(server.Requests(), 1U);
    EXPECT_LE(server.SentBytes(), kMaxTakenBytes);
  }
};

// Guards against a call that never ends, and against a process that runs out of
// memory, because it reads a response head or framing without end.
TEST_F(EndlessResponseTest, PlainCallIsRepeatedAtAnotherServer) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const auto& [start, filler] :
       {std::pair<std::string, std::string>{head, std::string(1000, 'a')},
        {chunked, std::string(1000, '0')},
        {chunked + "0\r\n", "X: y\r\n"}}) {
    EndlessStandin server(start, filler);
    this->AddServer("desk", "desk-1", server.Port());
    CallUntilReached(server, [this] {
      const auto result = this->Call("GET", "/services/desk/list");
      ASSERT_TRUE(result);
      EXPECT_EQ(result->status, 200) << result->body;
    });
    this->snapshots.Edit(
        [](RoutingSnapshot& snapshot) { snapshot.servers["desk"].pop_back(); });
  }
}

// Guards against an attempt that never ends because the body of an error does
// not.
TEST_F(EndlessResponseTest, StreamIsContinuedAfterAnErrorWithoutEnd) {
  EndlessStandin server("HTTP/1.1 500 Failed\r\n\r\n", std::string(1000, 'x'));
  this->AddServer("llm", "engine-9", server.Port());
  int calls = 0;
  CallUntilReached(server, [this, &calls] {
    const std::string prompt = "prompt " + std::to_string(++calls);
    const StreamedAnswer answer = this->Stream(Completion(prompt, 5));
    EXPECT_EQ(answer.text, standins::ExpectedText(prompt, 5));
    EXPECT_TRUE(answer.done) << answer.error;
  });
}

}  // namespace
}  // namespace boragewharf::traffic
