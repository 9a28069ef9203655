/**
 * @file udp_socket_test.cc
 * Tests of datagrams over the loopback interface.
 */
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include "base/result_func.h"
#include "peer/envelope_func.h"
#include "peer/udp_socket_base.h"

namespace boragewharf {
namespace {

using std::chrono::milliseconds;

const PeerKeys kKeys{{PeerKey{1, "secret-secret-secret"}}};

class UdpSocketTest : public testing::Test {
 protected:
  void SetUp() override {
    UdpOptions options;
    options.listen = Endpoint{"127.0.0.1", 0};
    options.keys = kKeys;
    options.self = MemberId{1};
    this->socket =
        UdpSocket::Open(options, this->counters, [this](PeerDatagram datagram) {
          const std::lock_guard lock(this->mutex);
          this->received.push_back(std::move(datagram));
          if (this->received.back().body == "throw") {
            throw std::runtime_error("fault of a handler");
          }
        });
    ASSERT_TRUE(this->socket);
    this->raw = UniqueFd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  }

  void SendRaw(std::string_view bytes) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->socket->LocalEndpoint().port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ASSERT_EQ(
        sendto(this->raw.Get(), bytes.data(), bytes.size(), 0,
               reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
        static_cast<ssize_t>(bytes.size()));
  }

  static std::string Seal(uint64_t sequence,
                          std::string body = "hello",
                          MessageType type = MessageType::kPing,
                          MemberId sender = MemberId{2}) {
    Envelope envelope;
    envelope.type = type;
    envelope.sender = sender;
    envelope.sequence = sequence;
    envelope.body = std::move(body);
    return SealEnvelope(kKeys, envelope).value();
  }

  int64_t Dropped(ResultCode code) {
    const std::string name(GetResultInfo(code).name);
    return this->counters
        .Get("peer_datagrams_dropped_total", "code=\"" + name + "\"")
        .Get();
  }

  /** Waits until the receive thread has taken this many datagrams. */
  void WaitForTotal(int64_t total) {
    Counter& taken = this->counters.Get("peer_datagrams_received_total");
    for (int i = 0; i < 500 && taken.Get() < total; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    ASSERT_EQ(taken.Get(), total);
    std::this_thread::sleep_for(milliseconds(50));
  }

  size_t ReceivedCount() {
    const std::lock_guard lock(this->mutex);
    return this->received.size();
  }

  CounterRegistry counters;
  std::mutex mutex;
  std::vector<PeerDatagram> received;
  std::unique_ptr<UdpSocket> socket;
  UniqueFd raw;
};

TEST_F(UdpSocketTest, DeliversWithSenderAndAddress) {
  CounterRegistry other_counters;
  UdpOptions options;
  options.listen = Endpoint{"127.0.0.1", 0};
  options.keys = kKeys;
  options.self = MemberId{5};
  const auto other =
      UdpSocket::Open(options, other_counters, [](const PeerDatagram&) {});
  other->SetIncarnation(4);
  ASSERT_TRUE(
      other->Send(this->socket->LocalEndpoint(), MessageType::kAck, "text"));
  this->WaitForTotal(1);
  ASSERT_EQ(this->ReceivedCount(), 1U);
  EXPECT_EQ(this->received[0].sender, MemberId{5});
  EXPECT_EQ(this->received[0].incarnation, 4U);
  EXPECT_EQ(this->received[0].type, MessageType::kAck);
  EXPECT_EQ(this->received[0].body, "text");
  EXPECT_EQ(this->received[0].from, other->LocalEndpoint());
}

// Guards against a bad datagram that is handled, counted under another code,
// or that keeps the socket from receiving the next good one.
TEST_F(UdpSocketTest, CountsEachBadCaseAndGoesOn) {
  const std::string good = Seal(1);
  std::string flipped = Seal(2);
  flipped.back() = static_cast<char>(flipped.back() ^ 1);
  Envelope unsigned_envelope;
  unsigned_envelope.sender = MemberId{2};
  this->SendRaw(good);
  this->SendRaw(good);
  this->SendRaw(flipped);
  this->SendRaw("");
  this->SendRaw(std::string(kMaxDatagramBytes + 500, 'x'));
  this->SendRaw(Seal(3, "body", static_cast<MessageType>(999)));
  this->SendRaw(Seal(4, "own", MessageType::kPing, MemberId{1}));
  const PeerKeys other{{PeerKey{9, "other-secret-other-secret"}}};
  this->SendRaw(SealEnvelope(other, unsigned_envelope).value());
  this->SendRaw(Seal(5, "throw"));
  this->SendRaw(Seal(6, "last"));
  this->WaitForTotal(10);
  EXPECT_EQ(this->ReceivedCount(), 3U);
  EXPECT_EQ(this->received.back().body, "last");
  EXPECT_EQ(this->Dropped(ResultCode::kPeerReplayed), 2);
  EXPECT_EQ(this->Dropped(ResultCode::kPeerBadMac), 1);
  EXPECT_EQ(this->Dropped(ResultCode::kPeerTruncated), 1);
  EXPECT_EQ(this->Dropped(ResultCode::kPeerTooLarge), 1);
  EXPECT_EQ(this->Dropped(ResultCode::kPeerUnknownType), 1);
  EXPECT_EQ(this->Dropped(ResultCode::kPeerUnknownKey), 1);
  EXPECT_EQ(this->Dropped(ResultCode::kInternal), 1);
}

// Guards against a datagram cut at any length that reaches the handler.
TEST_F(UdpSocketTest, DropsEveryTruncatedDatagram) {
  const std::string good = Seal(1);
  for (size_t length = 0; length < good.size(); ++length) {
    this->SendRaw(std::string_view{good}.substr(0, length));
  }
  this->SendRaw(good);
  this->WaitForTotal(static_cast<int64_t>(good.size()) + 1);
  EXPECT_EQ(this->ReceivedCount(), 1U);
  EXPECT_EQ(this->Dropped(ResultCode::kPeerTruncated) +
                this->Dropped(ResultCode::kPeerBadMac),
            static_cast<int64_t>(good.size()));
}

TEST_F(UdpSocketTest, RefusesToSendOversizeAndBadAddress) {
  const std::string body(kMaxDatagramBytes, 'x');
  EXPECT_FALSE(this->socket->Send(this->socket->LocalEndpoint(),
                                  MessageType::kPing, body));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerTooLarge);
  EXPECT_FALSE(
      this->socket->Send(Endpoint{"name", 1}, MessageType::kPing, "x"));
  EXPECT_EQ(LastReason().code, ResultCode::kInvalidField);
}

// Guards against an ICMP error, caused by a peer that is gone, that stops the
// receive thread or makes later sends fail.
TEST_F(UdpSocketTest, GoesOnAfterSendingToAClosedPort) {
  Endpoint closed;
  {
    CounterRegistry other_counters;
    UdpOptions options;
    options.listen = Endpoint{"127.0.0.1", 0};
    options.keys = kKeys;
    const auto other =
        UdpSocket::Open(options, other_counters, [](const PeerDatagram&) {});
    closed = other->LocalEndpoint();
  }
  for (int i = 0; i < 3; ++i) {
    this->socket->Send(closed, MessageType::kPing, "x");
  }
  this->SendRaw(Seal(1));
  this->WaitForTotal(1);
  EXPECT_EQ(this->ReceivedCount(), 1U);
}

}  // namespace
}  // namespace boragewharf
