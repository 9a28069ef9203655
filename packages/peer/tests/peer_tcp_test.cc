/**
 * @file peer_tcp_test.cc
 * Tests of PeerServer and PeerClient over the loopback interface.
 */
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <cstring>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "base/result_func.h"
#include "base/scope_guard.h"
#include "peer/envelope_func.h"
#include "peer/peer_client_base.h"
#include "peer/peer_server_base.h"

namespace boragewharf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PeerKeys kKeys{{PeerKey{1, "secret-secret-secret"}}};

// A raw TCP connection that speaks frames, right or wrong ones.
class RawConnection {
 public:
  explicit RawConnection(const Endpoint& to)
      : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    const int result =
        connect(this->socket.Get(), reinterpret_cast<const sockaddr*>(&address),
                sizeof(address));
    EXPECT_EQ(result, 0);
    const auto hello =
        OpenEnvelope(kKeys, EnvelopeKind::kHello, this->ReadFrame());
    this->challenge = hello ? hello->challenge : 0;
  }

  explicit RawConnection(UniqueFd accepted) : socket(std::move(accepted)) {}

  void Send(std::string_view bytes) {
    send(this->socket.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  std::string ReadFrame() {
    const std::string head = this->Read(4);
    uint32_t length = 0;
    if (head.size() == sizeof(length)) {
      std::memcpy(&length, head.data(), sizeof(length));
    }
    return this->Read(length);
  }

  /** Whether the server closes the connection within 3 s. */
  bool IsClosed() {
    pollfd wait{this->socket.Get(), POLLIN, 0};
    poll(&wait, 1, 3000);
    char byte = 0;
    return recv(this->socket.Get(), &byte, 1, MSG_DONTWAIT) == 0;
  }

  std::string Frame(uint64_t sequence, uint64_t for_challenge) const {
    Envelope request;
    request.kind = EnvelopeKind::kRequest;
    request.type = MessageType::kClaim;
    request.sender = MemberId{2};
    request.sequence = sequence;
    request.challenge = for_challenge;
    request.nonce = 4;
    request.body = "count";
    return WithLength(SealEnvelope(kKeys, request).value());
  }

  static std::string WithLength(const std::string& bytes) {
    const auto length = static_cast<uint32_t>(bytes.size());
    std::string frame(sizeof(length), '\0');
    std::memcpy(frame.data(), &length, sizeof(length));
    return frame + bytes;
  }

  uint64_t challenge = 0;

 private:
  std::string Read(size_t size) {
    std::string bytes(size, '\0');
    const ssize_t got =
        recv(this->socket.Get(), bytes.data(), size, MSG_WAITALL);
    bytes.resize(got < 0 ? 0 : static_cast<size_t>(got));
    return bytes;
  }

  UniqueFd socket;
};

class PeerTcpTest : public testing::Test {
 protected:
  void SetUp() override { this->StartServer({}); }

  void StartServer(PeerServerOptions options) {
    this->server.reset();
    options.listen.host = "127.0.0.1";
    options.keys = kKeys;
    options.self = MemberId{1};
    std::map<MessageType, PeerHandler> handlers;
    handlers[MessageType::kJoin] = [](const PeerRequest& request,
                                      const PeerResponder& respond) {
      respond(PeerAnswer{ResultCode::kOk, "echo " + request.body});
    };
    handlers[MessageType::kClaim] = [this](const PeerRequest&,
                                           const PeerResponder& respond) {
      ++this->handled;
      respond(PeerAnswer{ResultCode::kLedgerFull, "shard 3"});
    };
    handlers[MessageType::kOutcomeReport] =
        [this](const PeerRequest&, const PeerResponder& respond) {
          const std::lock_guard lock(this->mutex);
          this->held_back.push_back(respond);
        };
    handlers[MessageType::kStreamHandover] = [](const PeerRequest& request,
                                                const PeerResponder&) {
      if (request.body == "throw") {
        throw std::runtime_error("fault of a handler");
      }
    };
    this->server = PeerServer::Open(options, handlers, this->counters);
    ASSERT_TRUE(this->server);
  }

  std::unique_ptr<PeerClient> MakeClient(PeerClientOptions options = {}) {
    if (options.keys.keys.empty()) {
      options.keys = kKeys;
    }
    options.self = MemberId{7};
    return std::make_unique<PeerClient>(options, this->counters);
  }

  int64_t Dropped(ResultCode code) {
    const std::string name(GetResultInfo(code).name);
    return this->counters
        .Get("peer_frames_dropped_total", "code=\"" + name + "\"")
        .Get();
  }

  CounterRegistry counters;
  std::atomic<int> handled{0};
  std::mutex mutex;
  std::vector<PeerResponder> held_back;
  std::unique_ptr<PeerServer> server;
};

TEST_F(PeerTcpTest, AnswersAndRefusesWithTheServersCode) {
  const auto client = this->MakeClient();
  const Endpoint to = this->server->LocalEndpoint();
  const auto reply = client->Call(to, MessageType::kJoin, "a", seconds(5));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->body, "echo a");
  EXPECT_EQ(reply->sender, MemberId{1});
  EXPECT_FALSE(client->Call(to, MessageType::kClaim, "a", seconds(5)));
  EXPECT_EQ(LastReason().code, ResultCode::kLedgerFull);
  EXPECT_EQ(LastReason().detail, "shard 3");
  EXPECT_FALSE(client->Call(to, MessageType::kFetchDocument, "a", seconds(5)));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerUnknownType);
  EXPECT_FALSE(
      client->Call(to, MessageType::kStreamHandover, "throw", seconds(5)));
  EXPECT_EQ(LastReason().code, ResultCode::kInternal);
  EXPECT_FALSE(
      client->Call(to, MessageType::kStreamHandover, "drop", seconds(5)));
  EXPECT_EQ(LastReason().code, ResultCode::kInternal);
}

// Guards against responses that reach the wrong caller, lost wake-ups and
// data races; 16 threads share one client.
TEST_F(PeerTcpTest, ConcurrentCallsGetTheirOwnAnswers) {
  const auto client = this->MakeClient();
  const Endpoint to = this->server->LocalEndpoint();
  std::atomic<int> right{0};
  std::vector<std::thread> threads;
  threads.reserve(16);
  for (int thread = 0; thread < 16; ++thread) {
    threads.emplace_back([&, thread] {
      for (int i = 0; i < 100; ++i) {
        const std::string body = std::to_string(thread) + "/" +
                                 std::to_string(i) +
                                 std::string(static_cast<size_t>(i) * 500, '.');
        const auto reply =
            client->Call(to, MessageType::kJoin, body, seconds(20));
        right += reply && reply->body == "echo " + body ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(right, 1600);
}

TEST_F(PeerTcpTest, CarriesTheLargestDocumentAndRefusesLarger) {
  const auto client = this->MakeClient();
  const Endpoint to = this->server->LocalEndpoint();
  std::string body(size_t{1024} * 1024, 'd');
  const auto reply = client->Call(to, MessageType::kJoin, body, seconds(20));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->body.size(), body.size() + 5);
  // Fits as a request; the longer answer does not fit.
  body.resize(kMaxFrameBytes - kFrameHeaderBytes - kMacBytes, 'd');
  EXPECT_FALSE(client->Call(to, MessageType::kJoin, body, seconds(20)));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerTooLarge);
  body += 'd';
  EXPECT_FALSE(client->Call(to, MessageType::kJoin, body, seconds(20)));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerTooLarge);
}

// Guards against a call without a time limit, and against a connection that
// is used again while an old answer can still arrive on it.
TEST_F(PeerTcpTest, SilentHandlerTimesOutAndItsLateAnswerIsLost) {
  const auto client = this->MakeClient();
  const Endpoint to = this->server->LocalEndpoint();
  const TimePoint start = BootClock::now();
  EXPECT_FALSE(
      client->Call(to, MessageType::kOutcomeReport, "a", milliseconds(200)));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerNoAnswer);
  EXPECT_LT(BootClock::now() - start, seconds(2));
  {
    const std::lock_guard lock(this->mutex);
    ASSERT_EQ(this->held_back.size(), 1U);
    this->held_back[0](PeerAnswer{ResultCode::kOk, "late"});
  }
  const auto reply = client->Call(to, MessageType::kJoin, "b", seconds(5));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->body, "echo b");
}

// Guards against a peer that accepts connections but never says anything.
TEST_F(PeerTcpTest, SilentPeerTimesOutAsNotSent) {
  const UniqueFd listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  socklen_t size = sizeof(address);
  ASSERT_EQ(
      bind(listener.Get(), reinterpret_cast<const sockaddr*>(&address), size),
      0);
  ASSERT_EQ(listen(listener.Get(), 1), 0);
  getsockname(listener.Get(), reinterpret_cast<sockaddr*>(&address), &size);
  const Endpoint to{"127.0.0.1", ntohs(address.sin_port)};
  const auto client = this->MakeClient();
  EXPECT_FALSE(client->Call(to, MessageType::kJoin, "a", milliseconds(200)));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerUnreachable);
}

// A peer that answers each request with what the test makes of it.
class ScriptedPeer {
 public:
  using Script = std::function<Envelope(const Envelope& request)>;

  explicit ScriptedPeer(Script answer)
      : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
        script(std::move(answer)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(this->listener.Get(),
                   reinterpret_cast<const sockaddr*>(&address), size),
              0);
    EXPECT_EQ(listen(this->listener.Get(), 1), 0);
    getsockname(this->listener.Get(), reinterpret_cast<sockaddr*>(&address),
                &size);
    this->local = Endpoint{"127.0.0.1", ntohs(address.sin_port)};
    this->thread = std::thread([this] { this->ServeOne(); });
  }
  ~ScriptedPeer() { this->thread.join(); }
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  Endpoint local;

 private:
  void ServeOne() {
    UniqueFd accepted(
        accept4(this->listener.Get(), nullptr, nullptr, SOCK_CLOEXEC));
    RawConnection connection(std::move(accepted));
    Envelope hello;
    hello.kind = EnvelopeKind::kHello;
    hello.sender = MemberId{1};
    hello.challenge = 55;
    connection.Send(
        RawConnection::WithLength(SealEnvelope(kKeys, hello).value()));
    while (const auto request = OpenEnvelope(kKeys, EnvelopeKind::kRequest,
                                             connection.ReadFrame())) {
      const Envelope response = this->script(*request);
      connection.Send(
          RawConnection::WithLength(SealEnvelope(kKeys, response).value()));
    }
  }

  UniqueFd listener;
  Script script;
  std::thread thread;
};

// Guards against an old response, or one of another process, that answers a
// new request: each field that binds them is changed once.
TEST_F(PeerTcpTest, ResponseToAnotherRequestIsNoAnswer) {
  for (int changed_field = 0; changed_field < 5; ++changed_field) {
    SCOPED_TRACE(changed_field);
    const ScriptedPeer peer([&](const Envelope& request) {
      Envelope response = request;
      response.kind = EnvelopeKind::kResponse;
      response.sender = MemberId{changed_field == 1 ? uint64_t{2} : 1};
      response.sequence += changed_field == 2 ? 1 : 0;
      response.nonce += changed_field == 3 ? 1 : 0;
      response.challenge += changed_field == 4 ? 1 : 0;
      return response;
    });
    const auto client = this->MakeClient();
    const auto reply =
        client->Call(peer.local, MessageType::kJoin, "a", seconds(5));
    EXPECT_EQ(reply.has_value(), changed_field == 0);
    if (!reply) {
      EXPECT_EQ(LastReason().code, ResultCode::kPeerNoAnswer);
    }
  }
}

// Guards against use of a connection to a process that has been replaced.
TEST_F(PeerTcpTest, ReconnectsAfterARestartOfTheServer) {
  const auto client = this->MakeClient();
  const Endpoint to = this->server->LocalEndpoint();
  ASSERT_TRUE(client->Call(to, MessageType::kJoin, "a", seconds(5)));
  PeerServerOptions options;
  options.listen.port = to.port;
  this->StartServer(options);
  EXPECT_TRUE(client->Call(to, MessageType::kJoin, "b", seconds(5)));
  EXPECT_FALSE(
      client->Call(to, MessageType::kClaim, "c", seconds(5), MemberId{99}));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerNotMember);
  EXPECT_EQ(this->handled, 0);
  this->server.reset();
  EXPECT_FALSE(client->Call(to, MessageType::kJoin, "d", seconds(5)));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerUnreachable);
}

TEST_F(PeerTcpTest, WrongKeyIsRefused) {
  PeerClientOptions options;
  options.keys = PeerKeys{{PeerKey{1, "wrong-wrong-wrong-wrong"}}};
  const auto client = this->MakeClient(options);
  EXPECT_FALSE(client->Call(this->server->LocalEndpoint(), MessageType::kJoin,
                            "a", seconds(5)));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerBadMac);
}

// Guards against a recorded request that runs twice: on its own connection,
// or on a new one.
TEST_F(PeerTcpTest, RecordedRequestRunsOnce) {
  const Endpoint to = this->server->LocalEndpoint();
  RawConnection first(to);
  const std::string recorded = first.Frame(1, first.challenge);
  first.Send(recorded);
  EXPECT_FALSE(first.ReadFrame().empty());
  EXPECT_EQ(this->handled, 1);
  first.Send(recorded);
  EXPECT_TRUE(first.IsClosed());
  RawConnection second(to);
  EXPECT_NE(second.challenge, first.challenge);
  second.Send(recorded);
  EXPECT_TRUE(second.IsClosed());
  EXPECT_EQ(this->handled, 1);
  EXPECT_EQ(this->Dropped(ResultCode::kPeerReplayed), 2);
}

// Guards against bad frames that reach a handler or end the server.
TEST_F(PeerTcpTest, BadFramesCloseTheirConnectionOnly) {
  const Endpoint to = this->server->LocalEndpoint();
  RawConnection oversize(to);
  oversize.Send(std::string(8, '\x7f'));
  EXPECT_TRUE(oversize.IsClosed());
  EXPECT_EQ(this->Dropped(ResultCode::kPeerTooLarge), 1);
  RawConnection empty(to);
  empty.Send(std::string(4, '\0'));
  EXPECT_TRUE(empty.IsClosed());
  EXPECT_EQ(this->Dropped(ResultCode::kPeerTruncated), 1);
  RawConnection forged(to);
  std::string frame = forged.Frame(1, forged.challenge);
  frame.back() = static_cast<char>(frame.back() ^ 1);
  forged.Send(frame);
  EXPECT_TRUE(forged.IsClosed());
  EXPECT_EQ(this->Dropped(ResultCode::kPeerBadMac), 1);
  for (size_t length = 1; length < frame.size(); length += 7) {
    RawConnection cut(to);
    cut.Send(std::string_view{frame}.substr(0, length));
  }
  EXPECT_EQ(this->handled, 0);
  EXPECT_TRUE(
      this->MakeClient()->Call(to, MessageType::kJoin, "a", seconds(5)));
}

// Guards against connections that hold a place without a valid request.
TEST_F(PeerTcpTest, ClosesSilentAndSurplusConnections) {
  PeerServerOptions options;
  options.max_connections = 2;
  options.frame_timeout = milliseconds(300);
  this->StartServer(options);
  const Endpoint to = this->server->LocalEndpoint();
  RawConnection silent(to);
  RawConnection partial(to);
  partial.Send("ab");
  RawConnection surplus(to);
  EXPECT_TRUE(surplus.IsClosed());
  EXPECT_EQ(this->Dropped(ResultCode::kTooManyConnections), 1);
  EXPECT_TRUE(silent.IsClosed());
  EXPECT_TRUE(partial.IsClosed());
  EXPECT_TRUE(
      this->MakeClient()->Call(to, MessageType::kJoin, "a", seconds(5)));
}

// Guards against an answer that arrives when the server is gone.
TEST_F(PeerTcpTest, ResponderOutlivesTheServer) {
  const auto client = this->MakeClient();
  EXPECT_FALSE(client->Call(this->server->LocalEndpoint(),
                            MessageType::kOutcomeReport, "a",
                            milliseconds(200)));
  this->server.reset();
  const std::lock_guard lock(this->mutex);
  ASSERT_EQ(this->held_back.size(), 1U);
  this->held_back[0](PeerAnswer{ResultCode::kOk, "late"});
}

// Guards against unbounded work: with all workers and the queue taken,
// further requests are refused at once.
TEST_F(PeerTcpTest, FullQueueRefuses) {
  PeerServerOptions options;
  options.worker_threads = 0;
  options.max_queued_requests = 1;
  this->StartServer(options);
  const auto client = this->MakeClient();
  const Endpoint to = this->server->LocalEndpoint();
  EXPECT_FALSE(client->Call(to, MessageType::kJoin, "a", milliseconds(200)));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerNoAnswer);
  EXPECT_FALSE(client->Call(to, MessageType::kJoin, "b", seconds(5)));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerRefused);
}

}  // namespace
}  // namespace boragewharf
