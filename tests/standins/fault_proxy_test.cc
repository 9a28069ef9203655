/**
 * @file fault_proxy_test.cc
 * The fault proxy between the object store's client and the stand-in, and
 * between two UDP sockets.
 */
#include "fault_proxy.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <thread>

#include "base/counter_base.h"
#include "base/result_func.h"
#include "base/time_type.h"
#include "platform_server.h"
#include "store/http_object_store_base.h"

namespace boragewharf::standin {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTimeout = milliseconds(400);
constexpr size_t kServerThreads = 16;

HttpChannelOptions OptionsFor(uint16_t port) {
  HttpChannelOptions options;
  options.endpoint = {"127.0.0.1", port};
  options.timeout = kTimeout;
  return options;
}

class TcpProxyTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(this->proxy.Add(
        "store=tcp:0:127.0.0.1:" + std::to_string(this->server.ApiPort()), 1));
    this->store.emplace(OptionsFor(this->proxy.Get("store").Port()),
                        this->counters);
    ASSERT_TRUE(this->store->Create(this->key, "{}")) << LastReason().detail;
  }

  Duration Elapsed(const std::function<void()>& call) {
    const TimePoint start = BootClock::now();
    call();
    return BootClock::now() - start;
  }

  PlatformServer server{0, 0, kServerThreads};
  FaultProxy proxy;
  CounterRegistry counters;
  std::optional<HttpObjectStore> store;
  const ObjectKey key{"leases", "a"};
};

// Guards against a client that goes on using connections that went silent:
// the first call fails within its bound, the next uses a new connection.
TEST_F(TcpProxyTest, SilentConnectionIsNotReused) {
  ASSERT_TRUE(proxy.Control(R"({"listener":"store","silence":true})"));
  EXPECT_FALSE(store->Read(key));
  EXPECT_EQ(LastReason().code, ResultCode::kStoreUnavailable);
  EXPECT_LT(Elapsed([&] { EXPECT_TRUE(store->Read(key)); }), kTimeout);
}

// Guards against several pooled silent connections that each cost a timeout.
TEST_F(TcpProxyTest, OneTimeoutGivesUpAllIdleConnections) {
  server.Control(R"({"slow_ms":100})");
  std::vector<std::jthread> workers;
  workers.reserve(4);
  for (int i = 0; i < 4; ++i) {
    workers.emplace_back([this] { EXPECT_TRUE(store->Read(key)); });
  }
  workers.clear();
  server.Control(R"({"slow_ms":0})");
  ASSERT_GE(proxy.Get("store").OpenCount(), 4);
  ASSERT_TRUE(proxy.Control(R"({"listener":"*","silence":true})"));
  EXPECT_FALSE(store->Read(key));
  EXPECT_TRUE(store->Read(key));
}

TEST_F(TcpProxyTest, SwallowedAnswerIsUnknown) {
  ASSERT_TRUE(proxy.Control(R"({"listener":"store","swallow_answers":true})"));
  EXPECT_FALSE(store->Create({"leases", "b"}, "{}"));
  EXPECT_EQ(LastReason().code, ResultCode::kStoreUnknown);
  ASSERT_TRUE(proxy.Control(R"({"listener":"store","swallow_answers":false})"));
  EXPECT_TRUE(store->Read({"leases", "b"})) << "the request was forwarded";
}

TEST_F(TcpProxyTest, CutFreezeDelayAndBandwidth) {
  ASSERT_TRUE(proxy.Control(R"({"listener":"store","cut":true})"));
  EXPECT_TRUE(store->Read(key)) << "the client notices a closed connection";

  ASSERT_TRUE(proxy.Control(R"({"listener":"store","freeze":true})"));
  EXPECT_FALSE(store->Read(key));
  ASSERT_TRUE(proxy.Control(R"({"listener":"store","freeze":false})"));
  EXPECT_TRUE(store->Read(key));

  ASSERT_TRUE(proxy.Control(R"({"listener":"store","delay_ms":50})"));
  EXPECT_GE(Elapsed([&] { EXPECT_TRUE(store->Read(key)); }), milliseconds(100));
  ASSERT_TRUE(proxy.Control(
      R"({"listener":"store","delay_ms":0,"bytes_per_second":200000})"));
  // The answer repeats the object, so 20 kB take 100 ms each way.
  const std::string body = '"' + std::string(20'000, 'x') + '"';
  const ObjectKey large{"leases", "large"};
  EXPECT_GE(Elapsed([&] { EXPECT_TRUE(store->Create(large, body)); }),
            milliseconds(200));
}

TEST_F(TcpProxyTest, DropResetsConnections) {
  ASSERT_TRUE(proxy.Control(R"({"listener":"store","drop":1.0})"));
  EXPECT_FALSE(store->Create({"leases", "b"}, "{}"));
  EXPECT_EQ(LastReason().code, ResultCode::kStoreUnknown);
}

TEST(FaultProxyTest, RefusesInvalidText) {
  FaultProxy proxy;
  for (const char* text : {"", "a", "a=tcp", "a=tcp:0", "a=sctp:0:127.0.0.1:1",
                           "a=tcp:0:10.0.0.1:80", "a=udp:x:127.0.0.1:1"}) {
    EXPECT_FALSE(proxy.Add(text, 1)) << text;
  }
  ASSERT_TRUE(proxy.Add("a=udp:0:127.0.0.1:9", 1));
  for (const char* text :
       {"", "{}", R"({"listener":"b"})", R"({"listener":"a","delay":1})",
        R"({"listener":"a","delay_ms":"1"})", R"({"listener":"a","cut":1})"}) {
    EXPECT_FALSE(proxy.Control(text)) << text;
  }
}

/** A UDP socket on 127.0.0.1 with a receive timeout. */
class UdpSocket {
 public:
  UdpSocket() : fd(socket(AF_INET, SOCK_DGRAM, 0)) {
    sockaddr_in address = SocketAddress({"127.0.0.1", 0});
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(this->fd.Get(), generic, length), 0);
    EXPECT_EQ(getsockname(this->fd.Get(), generic, &length), 0);
    this->port = ntohs(address.sin_port);
    const timeval timeout{0, 100'000};
    setsockopt(this->fd.Get(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
  }

  void Send(uint16_t to, std::string_view data) {
    const sockaddr_in address = SocketAddress({"127.0.0.1", to});
    sendto(this->fd.Get(), data.data(), data.size(), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }

  /** The next datagram, or empty after the timeout. */
  std::string Receive() {
    char buffer[2048];
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const ssize_t received =
        recvfrom(this->fd.Get(), buffer, sizeof(buffer), 0,
                 reinterpret_cast<sockaddr*>(&from), &length);
    this->last_from = ntohs(from.sin_port);
    return received < 0 ? std::string()
                        : std::string(buffer, static_cast<size_t>(received));
  }

  UniqueFd fd;
  uint16_t port = 0;
  uint16_t last_from = 0;
};

TEST(UdpProxyTest, ForwardsBothWaysWithFaults) {
  UdpSocket client;
  UdpSocket target;
  FaultProxy proxy;
  ASSERT_TRUE(
      proxy.Add("peer=udp:0:127.0.0.1:" + std::to_string(target.port), 7));
  const uint16_t port = proxy.Get("peer").Port();
  client.Send(port, "ping");
  EXPECT_EQ(target.Receive(), "ping");
  target.Send(target.last_from, "ack");
  EXPECT_EQ(client.Receive(), "ack");

  ASSERT_TRUE(proxy.Control(R"({"listener":"peer","swallow_answers":true})"));
  client.Send(port, "ping");
  EXPECT_EQ(target.Receive(), "ping");
  target.Send(target.last_from, "ack");
  EXPECT_EQ(client.Receive(), "");

  ASSERT_TRUE(proxy.Control(
      R"({"listener":"peer","swallow_answers":false,"drop":0.5})"));
  int received = 0;
  for (int i = 0; i < 40; ++i) {
    client.Send(port, "x");
  }
  while (!target.Receive().empty()) {
    ++received;
  }
  EXPECT_GT(received, 8);
  EXPECT_LT(received, 32);

  ASSERT_TRUE(
      proxy.Control(R"({"listener":"peer","drop":0.0,"silence":true})"));
  client.Send(port, "ping");
  EXPECT_EQ(target.Receive(), "");
  UdpSocket other;
  other.Send(port, "new");
  EXPECT_EQ(target.Receive(), "new");
}

}  // namespace
}  // namespace boragewharf::standin
