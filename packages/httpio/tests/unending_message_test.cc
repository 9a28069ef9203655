/**
 * @file unending_message_test.cc
 * Messages in which one part of the grammar never ends.
 */
#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <random>

#include "httpio/message_parser_base.h"
#include "httpio/server_connection_base.h"

namespace boragewharf::httpio {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr uint32_t kHeaderLimit = 4096;
constexpr uint64_t kBodyLimit = 10000;

/** More than any part may have. */
constexpr size_t kFedBytes = size_t{1024} * 1024;

/** What a reader may hold that its parser has not consumed: the larger of the
 * header limits, and one read. */
constexpr size_t kMaxUnconsumed = 16384 + 16384;

/** A message whose last part is repeated without end. */
struct UnendingMessage {
  const char* name;
  std::string start;
  std::string repeated;
};

const std::string kChunkedRequest =
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<UnendingMessage> Requests() {
  return {
      {"method", "", "A"},
      {"target", "GET /", "a"},
      {"field name", "GET / HTTP/1.1\r\nX", "x"},
      {"field value", "GET / HTTP/1.1\r\nHost: ", "x"},
      {"fields", "GET / HTTP/1.1\r\nHost: x\r\n", "X: y\r\n"},
      {"body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10001\r\n\r\n",
       "x"},
      {"chunk size", kChunkedRequest, "0"},
      {"second chunk size", kChunkedRequest + "1\r\na\r\n", "0"},
      {"chunk extension", kChunkedRequest + "1;a=", "b"},
      {"chunk extensions", kChunkedRequest + "1", ";a=b"},
      {"last chunk's extension", kChunkedRequest + "0;a=", "b"},
      {"chunks", kChunkedRequest, "1;a=b\r\nx\r\n"},
      {"trailer value", kChunkedRequest + "0\r\nX: ", "y"},
      {"trailers", kChunkedRequest + "0\r\n", "X: y\r\n"},
  };
}

std::vector<UnendingMessage> Responses() {
  return {
      {"status line", "HTTP/1.1 200 ", "a"},
      {"field name", "HTTP/1.1 200 OK\r\nX", "x"},
      {"field value", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"chunk size", kChunkedResponse, "0"},
      {"second chunk size", kChunkedResponse + "1\r\na\r\n", "0"},
      {"chunk extension", kChunkedResponse + "1;a=", "b"},
      {"chunk extensions", kChunkedResponse + "1", ";a=b"},
      {"last chunk's extension", kChunkedResponse + "0;a=", "b"},
      {"trailer value", kChunkedResponse + "0\r\nX: ", "y"},
      {"trailers", kChunkedResponse + "0\r\n", "X: y\r\n"},
  };
}

/** Feeds a message in pieces of @p piece bytes, as a connection does, until the
 * parser reports a fault.
 * @return Largest number of bytes that were not consumed. */
template <class Parser, class IsFaulty>
size_t FeedUntilFault(Parser& parser,
                      const UnendingMessage& message,
                      size_t piece,
                      IsFaulty is_faulty) {
  std::string unconsumed = message.start;
  std::string pending;
  size_t largest = 0;
  for (size_t fed = 0; fed < kFedBytes && !is_faulty(); fed += piece) {
    while (pending.size() < piece) {
      pending += message.repeated;
    }
    unconsumed += pending.substr(0, piece);
    pending.erase(0, piece);
    unconsumed.erase(0, parser.Feed(unconsumed));
    largest = std::max(largest, unconsumed.size());
  }
  return largest;
}

// Guards against clients that fill the memory of a node with a part of a
// request that never ends.
TEST(UnendingMessageTest, RequestPartsAreBounded) {
  for (const UnendingMessage& message : Requests()) {
    for (const size_t piece : {7, 1000, 8192}) {
      RequestParser parser(kHeaderLimit, kBodyLimit);
      const size_t largest = FeedUntilFault(parser, message, piece, [&] {
        return parser.Fault() != ParseFault::kNone;
      });
      EXPECT_NE(parser.Fault(), ParseFault::kNone)
          << message.name << ", " << piece;
      EXPECT_LE(largest, kHeaderLimit + piece) << message.name << ", " << piece;
      EXPECT_LE(parser.request.body.size(), kBodyLimit) << message.name;
    }
  }
}

// Guards against servers that fill the memory of a node with a part of a
// response that never ends.
TEST(UnendingMessageTest, ResponsePartsAreBounded) {
  for (const UnendingMessage& message : Responses()) {
    for (const size_t piece : {7, 1000, 16384}) {
      ResponseParser parser([](std::string_view) {});
      const size_t largest = FeedUntilFault(parser, message, piece,
                                            [&] { return parser.Failed(); });
      EXPECT_TRUE(parser.Failed()) << message.name << ", " << piece;
      EXPECT_LE(largest, kMaxUnconsumed) << message.name << ", " << piece;
    }
  }
}

// Guards against parts of the grammar that the lists above miss: messages of
// random parts, of which one is repeated without end.
TEST(UnendingMessageTest, RandomMessagesAreBounded) {
  constexpr uint32_t kRuns = 400;
  const std::vector<std::string> parts = {"GET / HTTP/1.1\r\n",
                                          "HTTP/1.1 200 OK\r\n",
                                          "HTTP/1.1 100 C\r\n",
                                          "Host: x\r\n",
                                          "Transfer-Encoding: chunked\r\n",
                                          "Content-Length: 5\r\n",
                                          "X: y\r\n",
                                          "\r\n",
                                          "\r",
                                          "\n",
                                          "1\r\na\r\n",
                                          "0",
                                          "5;a=b",
                                          ";a=\"",
                                          "abc",
                                          "0\r\n",
                                          " ",
                                          ":",
                                          std::string(1, '\0')};
  std::mt19937 generator(34);
  const auto below = [&](size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(generator);
  };
  for (uint32_t run = 0; run < kRuns; ++run) {
    UnendingMessage message{"random", "", parts[below(parts.size())]};
    message.start = run % 2 == 0 ? kChunkedRequest : kChunkedResponse;
    if (below(3) == 0) {
      message.start.clear();
    }
    for (size_t count = below(8); count > 0; --count) {
      message.start += parts[below(parts.size())];
    }
    const size_t piece = 1 + below(8192);
    RequestParser request(kHeaderLimit, kBodyLimit);
    const size_t kept = FeedUntilFault(request, message, piece, [&] {
      return request.Fault() != ParseFault::kNone || request.is_done();
    });
    EXPECT_LE(kept, kHeaderLimit + piece + message.start.size())
        << run << " " << message.start;
    EXPECT_LE(request.request.body.size(), kBodyLimit) << run;
    ResponseParser response([](std::string_view) {});
    const size_t kept_of_response =
        FeedUntilFault(response, message, piece,
                       [&] { return response.Failed() || response.is_done(); });
    EXPECT_LE(kept_of_response, kMaxUnconsumed + message.start.size())
        << run << " " << message.start;
  }
}

// Guards against refusing framing that is unusual but valid.
TEST(UnendingMessageTest, ValidChunkFramingIsAccepted) {
  RequestParser parser(kHeaderLimit, kBodyLimit);
  const std::string text = kChunkedRequest +
                           "00003;name=\"a quoted value\";other\r\nabc\r\n"
                           "0;last\r\nX-Checksum: 1\r\nX-Other: 2\r\n\r\n";
  std::string unconsumed;
  for (const char byte : text) {
    unconsumed += byte;
    unconsumed.erase(0, parser.Feed(unconsumed));
  }
  EXPECT_EQ(parser.Fault(), ParseFault::kNone);
  EXPECT_TRUE(parser.is_done());
  EXPECT_EQ(parser.request.body, "abc");
}

/** Counts requests; there should be none. */
class CountingHandler : public RequestHandler {
 public:
  void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                 InboundRequest) override {
    this->requests += 1;
    connection->EndResponse(false);
  }
  void OnClientDisconnected(ServerConnection&) override {}
  uint32_t requests = 0;
};

/** Listener on a free port, and a client connected to it. */
class UnendingConnectionTest : public testing::Test {
 protected:
  UnendingConnectionTest() {
    asio::io_context port_loop;
    tcp::acceptor free_port(
        port_loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const uint16_t port = free_port.local_endpoint().port();
    free_port.close();
    this->listener.emplace(this->loop, Endpoint{"127.0.0.1", port},
                           this->handler);
    this->client.connect({asio::ip::make_address("127.0.0.1"), port});
    this->client.non_blocking(true);
  }

  void RunFor(milliseconds time) {
    this->RunUntil([] { return false; }, time);
  }

  /** Runs until @p done, at most for @p limit. */
  template <class Done>
  void RunUntil(Done done, milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end) {
      this->loop.run_for(milliseconds(5));
      this->loop.restart();
      this->listener->CheckTime(BootClock::now());
    }
  }

  /** Sends bytes until the connection ends or @p limit passes; returns what the
   * client has received. */
  std::string SendUntilClosed(const std::string& start,
                              const std::string& repeated,
                              milliseconds gap,
                              milliseconds limit) {
    std::string received;
    boost::system::error_code error;
    this->client.send(asio::buffer(start), 0, error);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
      this->RunFor(gap);
      std::array<char, 4096> bytes{};
      const size_t size = this->client.receive(asio::buffer(bytes), 0, error);
      received.append(bytes.data(), size);
      if (error && error != asio::error::would_block) {
        this->is_closed = true;
        break;
      }
      this->client.send(asio::buffer(repeated), 0, error);
    }
    return received;
  }

  asio::io_context loop;
  CountingHandler handler;
  std::optional<HttpListener> listener;
  tcp::socket client{loop};
  bool is_closed = false;
};

// A client whose framing never ends gets an answer and is disconnected.
TEST_F(UnendingConnectionTest, UnendingFramingIsAnsweredAndClosed) {
  const std::string received = this->SendUntilClosed(
      kChunkedRequest + "1\r\na\r\n", std::string(100, '0'), milliseconds(5),
      std::chrono::seconds(2));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 400")) << received;
  EXPECT_TRUE(this->is_closed);
  EXPECT_EQ(this->handler.requests, 0U);
}

TEST_F(UnendingConnectionTest, UnendingTrailersAreAnsweredAndClosed) {
  const std::string received = this->SendUntilClosed(
      kChunkedRequest + "0\r\n", "X: " + std::string(1000, 'y') + "\r\n",
      milliseconds(5), std::chrono::seconds(2));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 431")) << received;
  EXPECT_TRUE(this->is_closed);
}

// Guards against clients that hold a connection for good by sending a body, or
// trailers, byte by byte, or by stopping in the middle of it.
TEST_F(UnendingConnectionTest, SlowBodyTimesOut) {
  ConnectionLimits limits;
  limits.header_timeout = milliseconds(200);
  limits.idle_timeout = milliseconds(300);
  this->listener->SetLimits(limits);
  const std::string received = this->SendUntilClosed(
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n", "x",
      milliseconds(10), std::chrono::seconds(3));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 408")) << received;
  EXPECT_TRUE(this->is_closed);
}

TEST_F(UnendingConnectionTest, StalledBodyTimesOut) {
  ConnectionLimits limits;
  limits.header_timeout = milliseconds(200);
  limits.idle_timeout = milliseconds(300);
  this->listener->SetLimits(limits);
  const std::string received = this->SendUntilClosed(
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx", "",
      milliseconds(10), std::chrono::seconds(3));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 408")) << received;
  EXPECT_TRUE(this->is_closed);
}

// Guards against many clients that each stay below their own limits, but fill
// the memory of a node together; another client's request is still read.
TEST_F(UnendingConnectionTest, UnfinishedRequestsShareOneBufferLimit) {
  constexpr size_t kBodyBytes = 200000;
  ConnectionLimits limits;
  limits.max_buffered_bytes = 10 * kBodyBytes;
  this->listener->SetLimits(limits);
  const std::string head =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n";
  std::vector<tcp::socket> clients;
  size_t largest = 0;
  for (int i = 0; i < 40; ++i) {
    clients.emplace_back(this->loop);
    clients.back().connect(this->client.remote_endpoint());
    clients.back().non_blocking(true);
    std::string unsent = head + std::string(kBodyBytes, 'x');
    for (int round = 0; round < 50 && !unsent.empty(); ++round) {
      boost::system::error_code error;
      unsent.erase(0, clients.back().send(asio::buffer(unsent), 0, error));
      this->RunFor(milliseconds(2));
      largest = std::max(largest, this->listener->BufferedBytes());
    }
  }
  EXPECT_GT(largest, limits.max_buffered_bytes / 2);
  EXPECT_LE(largest, limits.max_buffered_bytes);
  this->SendUntilClosed(
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello", "",
      milliseconds(10), std::chrono::seconds(1));
  EXPECT_EQ(this->handler.requests, 1U);
  clients.clear();
  // What the clients have sent is read before the ends of their connections.
  this->RunUntil([this] { return this->listener->BufferedBytes() == 0; },
                 std::chrono::seconds(3));
  EXPECT_EQ(this->listener->BufferedBytes(), 0U);
}

}  // namespace
}  // namespace boragewharf::httpio
