/**
 * @file bounded_client_test.cc
 * Responses of which a part never ends, against a server of raw bytes.
 */
#include "httpclient/bounded_client_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <utility>

#include "base/time_type.h"
#include "standins/endless_standin_base.h"

namespace boragewharf {
namespace {

using standins::EndlessStandin;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** What a client and the buffers of sockets may take of a response. */
constexpr size_t kMaxTakenBytes = size_t{8} * 1024 * 1024;

constexpr size_t kMaxContentBytes = size_t{1} * 1024 * 1024;

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

struct Outcome {
  bool whole = false;
  httplib::Error error = httplib::Error::Success;
  size_t content_bytes = 0;
  Duration took{};
};

/** Calls a server, and gives up after @p patience. */
Outcome Call(uint16_t port,
             Duration patience,
             milliseconds read_timeout = seconds(20)) {
  BoundedHttpClient client("127.0.0.1", port);
  client.set_read_timeout(read_timeout);
  httplib::Request request;
  request.method = "GET";
  request.path = "/";
  Outcome outcome;
  request.content_receiver = [&](const char*, size_t length, uint64_t,
                                 uint64_t) {
    outcome.content_bytes += length;
    return outcome.content_bytes <= kMaxContentBytes;
  };
  const TimePoint start = BootClock::now();
  auto sending = std::async(std::launch::async, [&] {
    httplib::Response response;
    outcome.whole = client.Send(request, response, outcome.error);
  });
  if (sending.wait_for(patience) != std::future_status::ready) {
    client.stop();
  }
  sending.wait();
  outcome.took = BootClock::now() - start;
  return outcome;
}

struct EndlessPart {
  const char* name;
  std::string start;
  std::string filler;
};

class BoundedClientTest : public testing::TestWithParam<EndlessPart> {};

// Guards against a client that reads and keeps a response without end, one part
// of the grammar after the other.
TEST_P(BoundedClientTest, ResponseOfWhichAPartNeverEndsIsBounded) {
  EndlessStandin server(GetParam().start, GetParam().filler);
  const Outcome outcome = Call(server.Port(), seconds(2));
  EXPECT_FALSE(outcome.whole);
  EXPECT_LT(outcome.took, seconds(2)) << "ended by the client itself";
  EXPECT_LE(outcome.content_bytes, kMaxContentBytes + 4096);
  EXPECT_LE(server.SentBytes(), kMaxTakenBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Grammar,
    BoundedClientTest,
    testing::Values(
        EndlessPart{"NoAnswer", std::string(1000, 'x'), std::string(1000, 'x')},
        EndlessPart{"StatusLine", "HTTP/1.1 200 ", std::string(1000, 'O')},
        EndlessPart{"InterimAnswers", "HTTP/1.1 100 Continue\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessPart{"FieldName", kHead, std::string(1000, 'a')},
        EndlessPart{"FieldValue", kHead + "X: ", std::string(1000, 'b')},
        EndlessPart{"Fields", kHead, "X: y\r\n"},
        EndlessPart{"Body", kHead + "\r\n", std::string(1000, 'c')},
        EndlessPart{"ChunkSize", kChunkedHead, std::string(1000, '0')},
        EndlessPart{"ChunkExtension",
                    kChunkedHead + "1;a=", std::string(1000, 'd')},
        EndlessPart{"Chunks", kChunkedHead, "4\r\nxxxx\r\n"},
        EndlessPart{"Trailer",
                    kChunkedHead + "0\r\nX: ", std::string(1000, 'e')},
        EndlessPart{"Trailers", kChunkedHead + "0\r\n", "X: y\r\n"}),
    [](const testing::TestParamInfo<EndlessPart>& part) {
      return std::string(part.param.name);
    });

// Guards against a bound that ends sound responses whose framing is large in
// sum.
TEST(BoundedClientContentTest, ManySmallChunksArriveWhole) {
  constexpr size_t kChunks = 40'000;
  std::string answer = kChunkedHead;
  for (size_t i = 0; i < kChunks; ++i) {
    answer += "1\r\nx\r\n";
  }
  ASSERT_GT(kChunks * 5, BoundedHttpClient::kMaxFramingBytes);
  EndlessStandin server(answer + "0\r\n\r\n", " ");
  const Outcome outcome = Call(server.Port(), seconds(10));
  EXPECT_TRUE(outcome.whole) << httplib::to_string(outcome.error);
  EXPECT_EQ(outcome.content_bytes, kChunks);
}

// Guards against a call that lasts for hours because a byte arrives within each
// read timeout.
TEST(BoundedClientTimeTest, SlowFramingMeetsTheReadTimeout) {
  constexpr milliseconds kReadTimeout(300);
  for (const std::string& start :
       {std::string("HTTP/1.1 200 "), kHead + "X: ", kChunkedHead + "0",
        kChunkedHead + "4\r\nxxxx\r\n1;a=", kChunkedHead + "0\r\nX: "}) {
    EndlessStandin server(start, "1", milliseconds(100));
    const Outcome outcome = Call(server.Port(), seconds(5), kReadTimeout);
    EXPECT_FALSE(outcome.whole);
    EXPECT_LT(outcome.took, seconds(5)) << "ended by the client itself";
  }
}

// Guards against a bound on time that ends slow but sound content.
TEST(BoundedClientTimeTest, SlowContentArrives) {
  constexpr milliseconds kReadTimeout(1000);
  EndlessStandin server(kChunkedHead, "1\r\nx\r\n", milliseconds(250));
  const Outcome outcome = Call(server.Port(), 3 * kReadTimeout, kReadTimeout);
  EXPECT_GE(outcome.took, 3 * kReadTimeout)
      << httplib::to_string(outcome.error);
  EXPECT_GE(outcome.content_bytes, 3U);
}

}  // namespace
}  // namespace boragewharf
