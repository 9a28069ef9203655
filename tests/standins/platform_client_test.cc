/**
 * @file platform_client_test.cc
 * The platform's HTTP clients against the stand-in and against a server that
 * sends prepared bytes.
 */
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <thread>
#include <vector>

#include "base/counter_base.h"
#include "base/result_func.h"
#include "base/scope_guard.h"
#include "platform_server.h"
#include "standins/endless_standin_base.h"
#include "store/http_cloud_api_base.h"
#include "store/http_object_store_base.h"
#include "store/store_instance_list_base.h"

namespace boragewharf {
namespace {

using standin::PlatformServer;
using std::chrono::milliseconds;

constexpr Duration kTimeout = milliseconds(300);
// Allowance for scheduling on a busy machine.
constexpr Duration kMargin = milliseconds(700);

// Enough for the connections of one test; more make a start slow under the
// thread sanitizer.
constexpr size_t kServerThreads = 16;

HttpChannelOptions OptionsFor(uint16_t port) {
  HttpChannelOptions options;
  options.endpoint = {"127.0.0.1", port};
  options.timeout = kTimeout;
  return options;
}

class PlatformClientTest : public testing::Test {
 protected:
  /** Expects a call to fail with @p code within the time bound. */
  template <class Call>
  void ExpectFailure(ResultCode code, const Call& call) {
    const TimePoint start = BootClock::now();
    EXPECT_FALSE(call());
    EXPECT_EQ(GetResultInfo(LastReason().code).name, GetResultInfo(code).name)
        << LastReason().detail;
    EXPECT_LT(BootClock::now() - start, kTimeout + kMargin);
  }

  PlatformServer server{0, 0, kServerThreads};
  CounterRegistry counters;
  HttpObjectStore store{OptionsFor(server.ApiPort()), counters, 3};
  HttpCloudApi cloud{OptionsFor(server.ApiPort()), counters};
  const ObjectKey key{"leases", "placement"};
};

TEST_F(PlatformClientTest, ConditionalWrites) {
  ExpectFailure(ResultCode::kStoreNotFound, [&] { return store.Read(key); });
  const auto created = store.Create(key, R"({"z":1,"a":18446744073709551615})");
  ASSERT_TRUE(created) << LastReason().detail;
  ExpectFailure(ResultCode::kStoreConflict,
                [&] { return store.Create(key, "{}"); });
  const auto object = store.Read(key);
  ASSERT_TRUE(object);
  EXPECT_EQ(object->body, R"({"z":1,"a":18446744073709551615})");
  EXPECT_EQ(object->version, *created);
  const auto updated = store.Update(key, *created, R"({"z":2})");
  ASSERT_TRUE(updated);
  ExpectFailure(ResultCode::kStoreConflict,
                [&] { return store.Update(key, *created, "{}"); });
  ExpectFailure(ResultCode::kStoreConflict,
                [&] { return store.Remove(key, *created); });
  EXPECT_TRUE(store.Remove(key, *updated));
  ExpectFailure(ResultCode::kStoreNotFound,
                [&] { return store.Update(key, *updated, "{}"); });
  EXPECT_NE(
      counters.RenderText().find(
          R"(store_calls_total{call="update",result="store_conflict"} 1)"),
      std::string::npos);
}

// Guards against a lost answer that is reported as "not applied": the write
// has taken effect, and the caller finds it by reading back.
TEST_F(PlatformClientTest, LostAnswerIsUnknownAndReadBackFindsTheWrite) {
  server.Control(R"({"drop_write_answers":1})");
  ExpectFailure(ResultCode::kStoreUnknown,
                [&] { return store.Create(key, R"({"id":7})"); });
  const auto object = store.Read(key);
  ASSERT_TRUE(object);
  EXPECT_EQ(object->body, R"({"id":7})");
}

// Guards against "unknown" where nothing can have been written, which would
// make callers read back during every outage.
TEST_F(PlatformClientTest, RefusedConnectionIsNotApplied) {
  ASSERT_TRUE(store.Create(key, "{}"));
  server.Control(R"({"outage":"refuse"})");
  ExpectFailure(ResultCode::kStoreUnavailable, [&] {
    return store.Create({"leases", "b"}, "{}");
  });
  ExpectFailure(ResultCode::kStoreUnavailable, [&] { return store.Read(key); });
  server.Control(R"({"outage":"unavailable"})");
  ExpectFailure(ResultCode::kStoreUnavailable, [&] {
    return store.Create({"leases", "b"}, "{}");
  });
  server.Control(R"({"outage":"none"})");
  EXPECT_TRUE(store.Read(key));
  ExpectFailure(ResultCode::kStoreNotFound, [&] {
    return store.Read({"leases", "b"});
  });
}

// Guards against a call without bound, and against calls that later fail on
// the connections that went silent.
TEST_F(PlatformClientTest, HangingCallIsBounded) {
  ASSERT_TRUE(store.Create(key, "{}"));
  server.Control(R"({"outage":"hang"})");
  ExpectFailure(ResultCode::kStoreUnknown, [&] {
    return store.Create({"leases", "b"}, "{}");
  });
  ExpectFailure(ResultCode::kStoreUnavailable, [&] { return store.Read(key); });
  server.Control(R"({"outage":"none"})");
  EXPECT_TRUE(store.Read(key));
}

TEST_F(PlatformClientTest, RateLimitIsNotApplied) {
  server.Control(R"({"writes_per_second":0,"reads_per_second":0})");
  ExpectFailure(ResultCode::kStoreBusy,
                [&] { return store.Create(key, "{}"); });
  ExpectFailure(ResultCode::kStoreBusy, [&] { return store.Read(key); });
  server.Control(R"({"reads_per_second":100})");
  ExpectFailure(ResultCode::kStoreNotFound, [&] { return store.Read(key); });
}

TEST_F(PlatformClientTest, UnusableAnswers) {
  ASSERT_TRUE(store.Create(key, R"({"a":1})"));
  server.Control(R"({"answers":"malformed"})");
  ExpectFailure(ResultCode::kStoreMalformed, [&] { return store.Read(key); });
  ExpectFailure(ResultCode::kStoreMalformed,
                [&] { return store.List("leases"); });
  ExpectFailure(ResultCode::kStoreUnknown, [&] {
    return store.Create({"leases", "b"}, "{}");
  });
  server.Control(R"({"answers":"newer"})");
  ExpectFailure(ResultCode::kNewerFormat, [&] { return store.Read(key); });
  ExpectFailure(ResultCode::kNewerFormat, [&] { return store.List("leases"); });
}

TEST_F(PlatformClientTest, RefusesBeforeSending) {
  const std::string large = '"' + std::string(kMaxObjectBytes, 'x') + '"';
  ExpectFailure(ResultCode::kBodyTooLarge,
                [&] { return store.Create(key, large); });
  ExpectFailure(ResultCode::kMalformedJson,
                [&] { return store.Create(key, R"({"a":)"); });
  ExpectFailure(ResultCode::kInvalidField, [&] {
    return store.Read({"leases", "../configs/current"});
  });
  EXPECT_EQ(server.State().CallCounts()["calls"], standin::Json::object());
  EXPECT_NE(
      counters.RenderText().find(R"(call="create",result="body_too_large"} 1)"),
      std::string::npos);
}

// Guards against instances that disappear because a page was lost or a record
// is malformed.
TEST_F(PlatformClientTest, InstanceListIsCompleteOrFails) {
  const std::string entry =
      R"({"role":"entry","zone":"z","region":"r","machineClass":"m",
      "pricePerHour":1.5,"leaving":true,"callerAddress":"127.0.0.1:1",
      "peerAddress":"127.0.0.1:2"})";
  for (int i = 0; i < 7; ++i) {
    const ObjectKey instance{"instances", "i" + std::to_string(i)};
    ASSERT_TRUE(store.Create(instance, i == 4 ? "{}" : entry));
  }
  StoreInstanceList list(store);
  const auto records = list.Read();
  ASSERT_TRUE(records) << LastReason().detail;
  ASSERT_EQ(records->size(), 7U);
  EXPECT_FALSE((*records)[4].readable);
  EXPECT_EQ((*records)[4].name, "i4");
  EXPECT_TRUE((*records)[6].readable);
  EXPECT_TRUE((*records)[6].leaving);
  EXPECT_EQ((*records)[6].peer_address, (Endpoint{"127.0.0.1", 2}));
  server.Control(R"({"drop_pages":1})");
  ExpectFailure(ResultCode::kStoreUnavailable, [&] { return list.Read(); });
}

TEST_F(PlatformClientTest, StaleReadsAndLag) {
  server.Control(R"({"stale_ms":300,"instance_lag_ms":300})");
  const auto version = store.Create(key, "{}");
  ASSERT_TRUE(version);
  ASSERT_TRUE(store.Create({"instances", "i"}, "{}"));
  ExpectFailure(ResultCode::kStoreNotFound, [&] { return store.Read(key); });
  EXPECT_EQ(store.List("instances")->size(), 0U);
  // Writes are checked against the latest version.
  EXPECT_TRUE(store.Update(key, *version, "{}"));
  std::this_thread::sleep_for(milliseconds(400));
  EXPECT_TRUE(store.Read(key));
  EXPECT_EQ(store.List("instances")->size(), 1U);
}

TEST_F(PlatformClientTest, CloudOrders) {
  const StartOrder order{"new-1", "wharf-llm", "okh-a", "a100", true};
  server.Control(R"({"refuse_starts":1,
      "notices":[{"instance":"i1","deadline":1700000000123}]})");
  ExpectFailure(ResultCode::kCloudRefused, [&] { return cloud.Start(order); });
  server.Control(R"({"drop_write_answers":1})");
  ExpectFailure(ResultCode::kStoreUnknown, [&] { return cloud.Start(order); });
  EXPECT_TRUE(cloud.Start(order)) << "a repeat under the same name";
  EXPECT_EQ(server.State().Orders().size(), 1U);
  EXPECT_TRUE(cloud.Delete("unknown"));
  const auto notices = cloud.ReadNotices();
  ASSERT_TRUE(notices);
  ASSERT_EQ(notices->size(), 1U);
  EXPECT_EQ(notices->front().deadline,
            WallTime(milliseconds(1'700'000'000'123)));
}

// Guards against races between workers and against answers that reach
// another caller.
TEST_F(PlatformClientTest, ManyThreads) {
  server.Control(R"({"writes_per_second":100000,"reads_per_second":100000})");
  std::atomic<int> wrong{0};
  std::vector<std::jthread> workers;
  workers.reserve(8);
  for (int worker = 0; worker < 8; ++worker) {
    workers.emplace_back([this, worker, &wrong] {
      const ObjectKey own{"leases", "w" + std::to_string(worker)};
      auto version = store.Create(own, "0");
      for (int i = 1; i <= 100 && version; ++i) {
        version = store.Update(own, *version, std::to_string(i));
        const auto object = store.Read(own);
        wrong += !object || object->body != std::to_string(i);
      }
      wrong += !version;
    });
  }
  for (std::jthread& worker : workers) {
    worker.join();
  }
  EXPECT_EQ(wrong, 0);
}

// Guards the stand-in itself: watches stream changes of their kind only, the
// weight store keeps its rate, and a control body with a typing error is
// refused as a whole.
TEST_F(PlatformClientTest, StandinWatchWeightsAndControl) {
  std::string lines;
  std::jthread watcher([&] {
    httplib::Client client("127.0.0.1", server.ApiPort());
    client.Get(
        "/apis/boragewharf.dev/v1/namespaces/default/leases"
        "?watch=true&timeoutSeconds=1&resourceVersion=0",
        [&lines](const char* data, size_t length) {
          lines.append(data, length);
          return true;
        });
  });
  const auto version = store.Create(key, "1");
  ASSERT_TRUE(version);
  ASSERT_TRUE(store.Create({"configs", "current"}, "2"));
  EXPECT_TRUE(store.Remove(key, *version));
  watcher.join();
  EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 2) << lines;
  EXPECT_NE(lines.find("\"DELETED\""), std::string::npos);

  EXPECT_EQ(server.Control(R"({"slow_ms":5,"outage":7})").status, 400);
  EXPECT_EQ(server.State().GetFaults().slow_ms, 0);
  server.Control(R"({"weight_bytes_per_second":1000000})");
  const TimePoint start = BootClock::now();
  httplib::Client client("127.0.0.1", server.ApiPort());
  const auto weights = client.Get("/weights/model-a?bytes=200000");
  ASSERT_TRUE(weights);
  EXPECT_EQ(weights->body.size(), 200'000U);
  EXPECT_GE(BootClock::now() - start, milliseconds(200));
}

// Guards against a process that keeps what a store, or whatever answers in its
// place, sends without end.
TEST_F(PlatformClientTest, ResponseFramingWithoutEndIsBounded) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& start :
       {std::string("HTTP/1.1 200 OK\r\nX: "), chunked, chunked + "1;a="}) {
    standins::EndlessStandin endless(start, std::string(1000, '0'));
    HttpChannelOptions options = OptionsFor(endless.Port());
    options.timeout = std::chrono::seconds(10);
    HttpObjectStore client(options, this->counters, 1);
    ExpectFailure(ResultCode::kStoreUnavailable,
                  [&] { return client.Read(this->key); });
    EXPECT_LE(endless.SentBytes(), size_t{8} * 1024 * 1024);
  }
}

/** Answers every request with prepared bytes, optionally one at a time. */
class RawServer {
 public:
  RawServer(std::string bytes, milliseconds per_byte)
      : answer(std::move(bytes)), pace(per_byte) {
    // It serves one request per connection; a client that is not told so can
    // send the next one on a connection that is being closed.
    const size_t line_end = this->answer.find("\r\n");
    if (this->answer.starts_with("HTTP/")) {
      this->answer.insert(line_end, "\r\nConnection: close");
    }
    this->listener = UniqueFd(socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(this->listener.Get(), generic, length), 0);
    EXPECT_EQ(listen(this->listener.Get(), 8), 0);
    EXPECT_EQ(getsockname(this->listener.Get(), generic, &length), 0);
    this->port = ntohs(address.sin_port);
    this->thread = std::thread([this] { this->Run(); });
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer() {
    shutdown(this->listener.Get(), SHUT_RDWR);
    this->thread.join();
  }

  uint16_t Port() const { return this->port; }

 private:
  void Run() {
    while (true) {
      const UniqueFd connection(accept(this->listener.Get(), nullptr, nullptr));
      if (!connection) {
        return;
      }
      char request[65536];
      recv(connection.Get(), request, sizeof(request), 0);
      for (const char& byte : this->answer) {
        if (send(connection.Get(), &byte, 1, MSG_NOSIGNAL) != 1) {
          break;
        }
        std::this_thread::sleep_for(this->pace);
      }
    }
  }

  std::string answer;
  const milliseconds pace;
  UniqueFd listener;
  uint16_t port = 0;
  std::thread thread;
};

// Guards against orders that count as carried out because something else than
// the cloud API has answered.
TEST(PlatformRawAnswerTest, ForeignAnswerToOrder) {
  for (const char* status : {"200 OK", "404 Not Found", "409 Conflict"}) {
    SCOPED_TRACE(status);
    RawServer server(std::string("HTTP/1.1 ") + status +
                         "\r\nContent-Length: 6\r\n\r\n<html>",
                     milliseconds(0));
    CounterRegistry counters;
    HttpCloudApi cloud(OptionsFor(server.Port()), counters);
    EXPECT_FALSE(cloud.Start({"new-1", "wharf-llm", "okh-a", "a100", true}));
    EXPECT_FALSE(cloud.Delete("old-1"));
  }
}

struct RawCase {
  const char* name;
  const char* answer;
  ResultCode read_code;
  ResultCode write_code;
};

// Guards against conclusions from answers that do not come from the object
// API or are cut off: a 404 of something else must not look like an object
// that does not exist, and such an answer says nothing about a write.
TEST(PlatformRawAnswerTest, ForeignAndTruncatedAnswers) {
  const RawCase cases[] = {
      {"closed without answer", "", ResultCode::kStoreUnavailable,
       ResultCode::kStoreUnknown},
      {"no HTTP", "hello\r\n\r\n", ResultCode::kStoreUnavailable,
       ResultCode::kStoreUnknown},
      {"headers cut", "HTTP/1.1 200 OK\r\nContent-Le",
       ResultCode::kStoreUnavailable, ResultCode::kStoreUnknown},
      {"body cut", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"kind\"",
       ResultCode::kStoreUnavailable, ResultCode::kStoreUnknown},
      {"chunk cut",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"ki",
       ResultCode::kStoreUnavailable, ResultCode::kStoreUnknown},
      {"foreign 404", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
       ResultCode::kStoreMalformed, ResultCode::kStoreUnknown},
      {"foreign 409", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
       ResultCode::kStoreMalformed, ResultCode::kStoreUnknown},
      {"foreign 503", "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
       ResultCode::kStoreMalformed, ResultCode::kStoreUnknown},
      {"server error",
       "HTTP/1.1 500 Error\r\nContent-Length: 17\r\n\r\n"
       "{\"kind\":\"Status\"}",
       ResultCode::kStoreUnavailable, ResultCode::kStoreUnknown},
      {"wrong types",
       "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n"
       "{\"metadata\":[],\"items\":{\"a\":1}}",
       ResultCode::kStoreMalformed, ResultCode::kStoreUnknown},
  };
  for (const RawCase& row : cases) {
    SCOPED_TRACE(row.name);
    RawServer server(row.answer, milliseconds(0));
    CounterRegistry counters;
    HttpObjectStore store(OptionsFor(server.Port()), counters);
    EXPECT_FALSE(store.Read({"configs", "current"}));
    EXPECT_EQ(LastReason().code, row.read_code);
    EXPECT_FALSE(store.List("configs"));
    EXPECT_EQ(LastReason().code, row.read_code);
    EXPECT_FALSE(store.Create({"configs", "current"}, "{}"));
    EXPECT_EQ(LastReason().code, row.write_code);
    EXPECT_FALSE(store.Remove({"configs", "current"}, {"1"}));
    EXPECT_EQ(LastReason().code, row.write_code);
    HttpCloudApi cloud(OptionsFor(server.Port()), counters);
    EXPECT_FALSE(cloud.ReadNotices());
  }
}

// Guards against a server that sends single bytes and so keeps each read
// within its own bound.
TEST(PlatformRawAnswerTest, TrickledAnswerIsBounded) {
  RawServer server("HTTP/1.1 200 OK\r\nX-Filler: " + std::string(200, 'x'),
                   milliseconds(50));
  CounterRegistry counters;
  HttpObjectStore store(OptionsFor(server.Port()), counters);
  const TimePoint start = BootClock::now();
  EXPECT_FALSE(store.Create({"configs", "current"}, "{}"));
  EXPECT_EQ(LastReason().code, ResultCode::kStoreUnknown);
  EXPECT_LT(BootClock::now() - start, kTimeout + kMargin);
}

}  // namespace
}  // namespace boragewharf
