/**
 * @file node_test.cc
 * Tests settings, peer messages and loop delays, also with invalid input.
 */
#include <gtest/gtest.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <sstream>
#include <string>

#include "node/loop_delay_base.h"
#include "node/node_settings.h"
#include "node/peer_codec.h"

namespace boragewharf::node {
namespace {

constexpr char kValidSettings[] = R"({
  "node": "n1", "ip": "10.0.0.1", "zone": "a", "region": "r",
  "zoneRegions": {"a": "r"},
  "listen": {"clients": "10.0.0.1:80", "format": 1},
  "metrics": "10.0.0.1:81", "peerPort": 82, "seeds": ["10.0.0.2:83"],
  "store": "10.0.0.3:84", "duties": ["usage"], "later": true,
  "bounds": {"graceS": 8, "leaseMs": 3000, "format": 1}})";

TEST(NodeSettingsTest, UnknownKeysAreIgnored) {
  std::vector<JsonFault> faults;
  const auto settings = ParseNodeSettings(kValidSettings, faults);
  ASSERT_TRUE(settings) << ToString(faults);
  EXPECT_EQ(settings->clients->port, 80);
  EXPECT_FALSE(settings->cloud);
  EXPECT_EQ(settings->bounds.grace, std::chrono::seconds(8));
}

TEST(NodeSettingsTest, AllFaultsAreReportedInOneRun) {
  std::vector<JsonFault> faults;
  EXPECT_FALSE(ParseNodeSettings(
      R"({"node": 5, "ip": "", "peerPort": 99999, "store": "nowhere",
          "bounds": {"graceS": -1}})",
      faults));
  EXPECT_GE(faults.size(), 6U);
  faults.clear();
  EXPECT_FALSE(ParseNodeSettings("{", faults));
  EXPECT_FALSE(faults.empty());
}

/** Encodes the message without the tail that a later version added. */
std::string EncodeWithoutTail(const serving::PeerMessage& message) {
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  return stream.str();
}

/** Encodes the message with the tail, but without the evidence on crashes that
 * a later version added after it. */
std::string EncodeWithoutEvidence(const serving::PeerMessage& message) {
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message, serving::PeerMessageTail{message.report.leaving,
                                              message.report.prefill_speeds});
  }
  return stream.str();
}

/** Encodes the message with that evidence, but without the crashes under
 * requests that a later version added after it. */
std::string EncodeWithoutSuspects(const serving::PeerMessage& message) {
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message,
            serving::PeerMessageTail{message.report.leaving,
                                     message.report.prefill_speeds},
            message.report.crash_evidence);
  }
  return stream.str();
}

/** Encodes the message without the extensions that a later version added. */
std::string EncodeWithoutExtensions(serving::PeerMessage message) {
  message.report.extensions.clear();
  return EncodePeerMessage(message);
}

TEST(PeerCodecTest, MessagesRoundTripAndTruncationIsDetected) {
  serving::PeerMessage message;
  message.format = serving::kPeerFormat;
  message.status.ip = "10.0.0.1";
  message.report.usage = {{7, {{1, 2}}}};
  message.known_ips = {1, 2, 3};
  message.report.leaving = {{5, 6, 7, {}}};
  message.report.crash_evidence = {{{1, 2, 3, {4, 5}, 6, {}}},
                                   {{{7, 8}, 9, {}}},
                                   {{{10, 11}, 12, 13, {}}},
                                   {{14, 15, 16, {}}}};
  message.report.suspects = {{{17, 18, 19, {}}}, {{20, 21, {}}}};
  message.report.extensions = {{2, "room", {}}, {999, "later", {}}};
  const std::string bytes = EncodePeerMessage(message);
  const auto decoded = DecodePeerMessage(bytes);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->status.ip, "10.0.0.1");
  EXPECT_EQ(decoded->report.usage.at(7).at(1), 2U);
  ASSERT_EQ(decoded->report.leaving.size(), 1U);
  EXPECT_EQ(decoded->report.leaving[0].server, 5U);
  const serving::CrashEvidence& evidence = decoded->report.crash_evidence;
  ASSERT_EQ(evidence.crashes.size(), 1U);
  EXPECT_EQ(evidence.crashes[0].parts, (std::vector<uint64_t>{4, 5}));
  EXPECT_EQ(evidence.crashes[0].age_ms, 6U);
  ASSERT_EQ(evidence.successes.size(), 1U);
  EXPECT_EQ(evidence.successes[0].key, (serving::PartKey{7, 8}));
  ASSERT_EQ(evidence.blocked.size(), 1U);
  EXPECT_EQ(evidence.blocked[0].times, 12U);
  ASSERT_EQ(evidence.other_crashes.size(), 1U);
  EXPECT_EQ(evidence.other_crashes[0].age_ms, 16U);
  ASSERT_TRUE(decoded->report.suspects);
  ASSERT_EQ(decoded->report.suspects->crashes.size(), 1U);
  EXPECT_EQ(decoded->report.suspects->crashes[0].id, 18U);
  ASSERT_EQ(decoded->report.suspects->answers.size(), 1U);
  EXPECT_EQ(decoded->report.suspects->answers[0].age_ms, 21U);
  ASSERT_EQ(decoded->report.extensions.size(), 2U);
  EXPECT_EQ(decoded->report.extensions[1].kind, 999U);
  EXPECT_EQ(decoded->report.extensions[1].payload, "later");
  // Only the messages of the four earlier versions are complete.
  const size_t without_tail = EncodeWithoutTail(message).size();
  const size_t without_evidence = EncodeWithoutEvidence(message).size();
  const size_t without_suspects = EncodeWithoutSuspects(message).size();
  const size_t without_extensions = EncodeWithoutExtensions(message).size();
  for (size_t cut = 0; cut < bytes.size(); ++cut) {
    const auto part = DecodePeerMessage(bytes.substr(0, cut));
    EXPECT_EQ(part.has_value(),
              cut == without_tail || cut == without_evidence ||
                  cut == without_suspects || cut == without_extensions)
        << cut;
  }
}

// Guards against a tail that one of two versions can't handle while both run.
TEST(PeerCodecTest, MessagesOfEarlierVersionsAreUnderstood) {
  serving::PeerMessage message;
  message.format = serving::kPeerFormat;
  message.status.ip = "10.0.0.1";
  message.report.leaving = {{5, 6, 7, {}}};
  message.report.crash_evidence.blocked = {{{10, 11}, 12, 13, {}}};
  const auto oldest = DecodePeerMessage(EncodeWithoutTail(message));
  ASSERT_TRUE(oldest);
  EXPECT_EQ(oldest->status.ip, "10.0.0.1");
  EXPECT_TRUE(oldest->report.leaving.empty());
  const auto previous = DecodePeerMessage(EncodeWithoutEvidence(message));
  ASSERT_TRUE(previous);
  EXPECT_EQ(previous->report.leaving.size(), 1U);
  EXPECT_TRUE(previous->report.crash_evidence.blocked.empty());
  const auto latest = DecodePeerMessage(EncodeWithoutSuspects(message));
  ASSERT_TRUE(latest);
  EXPECT_EQ(latest->report.crash_evidence.blocked.size(), 1U);
  EXPECT_FALSE(latest->report.suspects);
  // Earlier versions read their own fields and ignore what follows.
  std::istringstream stream(EncodePeerMessage(message), std::ios::binary);
  cereal::PortableBinaryInputArchive archive(stream);
  serving::PeerMessage read;
  serving::PeerMessageTail tail;
  archive(read, tail);
  EXPECT_EQ(read.status.ip, "10.0.0.1");
  EXPECT_EQ(tail.leaving.size(), 1U);
}

// Guards against memory use that a few bytes can ask for.
TEST(PeerCodecTest, LengthsBeyondTheMessageAreRejected) {
  serving::PeerMessage message;
  message.known_ips = {1};
  const std::string bytes = EncodePeerMessage(message);
  for (size_t at = 1; at < bytes.size(); ++at) {
    std::string changed = bytes;
    changed[at] = '\x7f';
    DecodePeerMessage(changed);  // Must neither crash nor allocate gigabytes.
  }
}

TEST(PeerCodecTest, StateContainsOnlyNewerRevisions) {
  fleet::FleetState state{fleet::FleetSettings{}};
  state.config_revision = 5;
  state.config_text = std::string(100000, 'x');
  state.servers_revision = 9;
  state.servers_known = true;
  state.changes_base = 7;
  serving::BackendServer server;
  server.id = "s1";
  state.servers["s1"] = server;
  state.changes = {{8, "s0", std::nullopt}, {9, "s1", server}};
  const auto without_state =
      DecodePeerState(EncodePeerState(MakePeerState(state, {})));
  ASSERT_TRUE(without_state);
  EXPECT_TRUE(without_state->full_list);
  EXPECT_EQ(without_state->servers.size(), 1U);
  EXPECT_LT(without_state->config_text.size(), 2000U) << "must be compressed";
  EXPECT_EQ(Decompress(without_state->config_text), state.config_text);
  const auto slightly_behind = MakePeerState(state, {5, 8});
  EXPECT_TRUE(slightly_behind.config_text.empty());
  EXPECT_FALSE(slightly_behind.full_list);
  EXPECT_EQ(slightly_behind.changes.size(), 1U);
}

// Guards against a node that takes a server for a listed one that the sender
// only keeps in case it returns.
TEST(PeerCodecTest, ListTellsWhichServersHaveLapsed) {
  fleet::FleetState state{fleet::FleetSettings{}};
  state.servers_known = true;
  state.servers["s1"].id = "s1";
  state.servers["s2"].id = "s2";
  state.lapsed_servers["s1"] = {};
  state.following = true;
  const auto followed =
      DecodePeerState(EncodePeerState(MakePeerState(state, {})));
  ASSERT_TRUE(followed);
  EXPECT_EQ(followed->servers.size(), 2U);
  EXPECT_EQ(followed->lapsed, std::set<std::string>{"s1"});
  state.following = false;
  const auto told = DecodePeerState(EncodePeerState(MakePeerState(state, {})));
  ASSERT_TRUE(told);
  EXPECT_EQ(told->servers.size(), 1U);
  EXPECT_TRUE(told->lapsed.empty());
}

// Guards against an extension that takes more memory than its bound, or keeps
// the rest of the message from being read.
TEST(PeerCodecTest, OversizedExtensionsAreDropped) {
  serving::PeerMessage message;
  message.report.extensions.resize(2 * serving::kMaxExtensions);
  message.report.extensions[0].payload =
      std::string(serving::kMaxExtensionBytes + 1, 'x');
  const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->report.extensions.size(), serving::kMaxExtensions);
  EXPECT_TRUE(decoded->report.extensions[0].payload.empty());
}

// Guards against nodes of which one build sends or expects server details that
// the other one doesn't know.
TEST(PeerCodecTest, ServerDetailsAreOptional) {
  PeerState state;
  state.servers.resize(2);
  state.servers[0].id = "s0";
  state.servers[0].version = "v2";
  state.servers[0].cold_left_ms = 700;
  state.servers[1].id = "s1";
  state.servers[1].version = "v1";
  state.changes = {{8, "s2", std::nullopt}, {9, "s0", state.servers[0]}};
  const std::string bytes = EncodePeerState(state);
  const auto decoded = DecodePeerState(bytes);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->servers, state.servers);
  EXPECT_EQ(decoded->changes[1].server, state.servers[0]);
  std::vector<PeerState> complete;
  for (size_t cut = 0; cut < bytes.size(); ++cut) {
    const auto earlier = DecodePeerState(bytes.substr(0, cut));
    if (!earlier) {
      continue;
    }
    complete.push_back(*earlier);
    ASSERT_EQ(earlier->servers.size(), 2U);
    EXPECT_EQ(earlier->servers[0].id, "s0");
  }
  // The states as the three earlier versions send them.
  ASSERT_EQ(complete.size(), 3U);
  EXPECT_TRUE(complete[0].servers[0].version.empty());
  EXPECT_EQ(complete[1].servers, state.servers) << "without eras";
  EXPECT_EQ(complete[2].servers, state.servers) << "without lapsed servers";
}

TEST(DecompressTest, CorruptInputIsRejected) {
  EXPECT_FALSE(Decompress("not compressed"));
  EXPECT_FALSE(Decompress(""));
  const std::string compressed = Compress("hello hello hello hello");
  EXPECT_FALSE(Decompress(std::string_view(compressed).substr(0, 5)));
}

/** Counts the log lines of each event. */
class CountingLog : public EventLog {
 public:
  void Write(EventLevel,
             std::string_view event,
             std::initializer_list<EventField>) override {
    this->lines[std::string(event)] += 1;
  }

  std::map<std::string, uint32_t> lines;
};

// Guards against event loop delays that are not visible in metrics or logs,
// while requests and client disconnects are read too late.
TEST(LoopDelayTest, DelaysAreRecordedAndLongOnesLogged) {
  CountingLog log;
  CounterRegistry counters;
  LoopDelayMonitor monitor("traffic", log, counters);
  const TimePoint start = BootClock::now();
  monitor.Observe(start);
  EXPECT_EQ(counters.Get("traffic_loop_delay_ms_count").Get(), 0)
      << "nothing was due";
  monitor.SetDue(start);
  monitor.Observe(start + std::chrono::milliseconds(3));
  EXPECT_EQ(log.lines["loop_delayed"], 0U);
  monitor.SetDue(start);
  monitor.Observe(start + std::chrono::milliseconds(600));
  EXPECT_EQ(log.lines["loop_delayed"], 1U);
  EXPECT_EQ(counters.Get("traffic_loop_delay_ms_count").Get(), 2);
  EXPECT_EQ(counters.Get("traffic_loop_delay_ms_bucket", "le=\"5\"").Get(), 1);
}

}  // namespace
}  // namespace boragewharf::node
