/**
 * @file base_test.cc
 * Tests of the base package.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "base/counter_base.h"
#include "base/digest_func.h"
#include "base/endpoint_type.h"
#include "base/rendezvous_func.h"
#include "base/result_func.h"
#include "base/scope_guard.h"

namespace boragewharf {
namespace {

// Guards against a code that GetResultInfo() cannot find: its binary search
// needs a sorted table, and two rows of one name would make codes ambiguous.
TEST(ResultTableTest, IsSortedAndUnique) {
  std::set<std::string_view> names;
  ResultCode previous = ResultCode::kOk;
  for (const ResultInfo& row : AllResultInfos()) {
    EXPECT_LE(previous, row.code);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
    EXPECT_EQ(GetResultInfo(row.code).name, row.name);
    EXPECT_EQ(FindResultCode(row.name), row.code);
    previous = row.code;
  }
}

// Guards against a reason that leaks between calls.
TEST(LastReasonTest, KeepsTheLatest) {
  std::optional<int> empty = Fail(ResultCode::kStoreConflict, "version 3");
  EXPECT_FALSE(empty);
  EXPECT_EQ(LastReason().code, ResultCode::kStoreConflict);
  empty = Fail(ResultCode::kStoreBusy);
  EXPECT_EQ(LastReason().detail, "");
}

// Guards against equal digests for different splits of the same bytes.
TEST(DigestTest, SeparatesParts) {
  const std::string_view split_early[] = {"a", "bc"};
  const std::string_view split_late[] = {"ab", "c"};
  EXPECT_NE(Sha256(split_early), Sha256(split_late));
  EXPECT_EQ(HexEncode(AsView(Sha256("abc"))).substr(0, 8), "ba7816bf");
}

TEST(DigestTest, HexRoundTripAndRefusal) {
  EXPECT_EQ(HexDecode(HexEncode("\x01\xff z")), "\x01\xff z");
  EXPECT_FALSE(HexDecode("abc"));
  EXPECT_FALSE(HexDecode("zz"));
}

TEST(DigestTest, ConstantTimeEqualComparesContent) {
  EXPECT_TRUE(ConstantTimeEqual("same", "same"));
  EXPECT_FALSE(ConstantTimeEqual("same", "sama"));
  EXPECT_FALSE(ConstantTimeEqual("same", "same "));
}

TEST(EndpointTest, RefusesAnythingButNumbers) {
  EXPECT_EQ(ParseEndpoint("127.0.0.1:80"), (Endpoint{"127.0.0.1", 80}));
  for (const char* text : {"", "127.0.0.1", "host:80", "127.0.0.1:70000",
                           "127.0.0.1:8x", "127.0.0.1:"}) {
    EXPECT_FALSE(ParseEndpoint(text)) << text;
  }
}

TEST(CounterTest, RendersTextExposition) {
  CounterRegistry registry;
  registry.Get("requests_total", "code=\"ok\"").Add(2);
  registry.Get("streams", {}, MetricKind::kGauge).Set(3);
  EXPECT_EQ(registry.RenderText(),
            "# TYPE boragewharf_requests_total counter\n"
            "boragewharf_requests_total{code=\"ok\"} 2\n"
            "# TYPE boragewharf_streams gauge\n"
            "boragewharf_streams 3\n");
}

// Guards against a departure that moves duties between the remaining members.
TEST(RendezvousTest, DepartureMovesOnlyItsOwnDuties) {
  std::vector<MemberId> members;
  for (uint64_t i = 1; i <= 6; ++i) {
    members.push_back(MemberId{i * 7919});
  }
  const std::vector<MemberId> remaining(members.begin() + 1, members.end());
  for (int shard = 0; shard < 64; ++shard) {
    const std::string duty = "shard-" + std::to_string(shard);
    const auto before = RendezvousOwner(duty, members);
    if (before == members.front()) {
      continue;
    }
    EXPECT_EQ(RendezvousOwner(duty, remaining), before);
  }
  EXPECT_FALSE(RendezvousOwner("duty", {}));
}

TEST(ScopeGuardTest, RunsUnlessDismissed) {
  int runs = 0;
  {
    const ScopeGuard guard([&runs] { ++runs; });
  }
  {
    ScopeGuard guard([&runs] { ++runs; });
    guard.Dismiss();
  }
  EXPECT_EQ(runs, 1);
}

}  // namespace
}  // namespace boragewharf
