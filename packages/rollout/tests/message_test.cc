/**
 * @file message_test.cc
 * Messages on roll-outs: any bytes, and their largest size.
 */
#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "rollout/evidence_base.h"
#include "rollout/exposure_base.h"
#include "rollout/rollout_func.h"
#include "rollout/version_test_base.h"
#include "serving/peer_extension_type.h"

namespace boragewharf::rollout {
namespace {

DecisionList ManyDecisions() {
  RolloutDecision decision;
  decision.service = std::string(kMaxNameBytes, 's');
  decision.target = std::string(kMaxNameBytes, 't');
  decision.banned.assign(kMaxBanned, std::string(kMaxNameBytes, 'b'));
  return DecisionList(kMaxRollouts + 3, decision);
}

EvidenceList ManyRows() {
  RolloutEvidence evidence;
  evidence.service = "llm";
  evidence.target = "v2";
  for (uint32_t i = 0; i < 300; ++i) {
    evidence.failures.push_back({i, 1, 2, 10, 3});
    evidence.times.push_back({i, 1, 2, 10, 50, 300});
  }
  return EvidenceList(3, evidence);
}

/** Guards against messages that SendMessage() would leave out. */
TEST(RolloutMessage, LargestFitIntoAnExtension) {
  EXPECT_LE(EncodeDecisions(ManyDecisions(), {}).size(),
            serving::kMaxExtensionBytes);
  const std::string evidence = EncodeEvidence(ManyRows());
  EXPECT_LE(evidence.size(), serving::kMaxExtensionBytes);
  const auto decoded = DecodeEvidence(evidence);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->size(), 3U);
  EXPECT_GT(decoded->at(0).failures.size(), 10U);
}

/** Guards against crashes and unbounded values from bytes of another node. */
TEST(RolloutMessage, AnyBytesAreReadOrRejected) {
  std::mt19937_64 generator(1);
  const TimePoint now{std::chrono::seconds(1000)};
  const std::string samples[] = {EncodeDecisions(ManyDecisions(), now),
                                 EncodeEvidence(ManyRows())};
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = samples[i % 2];
    const size_t changes = generator() % 4;
    for (size_t change = 0; change < changes; ++change) {
      bytes[generator() % bytes.size()] = static_cast<char>(generator());
    }
    if (generator() % 2 == 0) {
      bytes.resize(generator() % bytes.size());
    }
    if (const auto decisions = DecodeDecisions(bytes, now)) {
      ASSERT_LE(decisions->size(), kMaxRollouts);
      for (const RolloutDecision& decision : *decisions) {
        ASSERT_LE(decision.phase, Phase::kRolledBack);
        ASSERT_LE(decision.banned.size(), kMaxBanned);
        ASSERT_LE(decision.requested, now);
      }
    }
    if (const auto evidence = DecodeEvidence(bytes)) {
      EvidenceSum sum;
      VersionTest test;
      for (const RolloutEvidence& entry : *evidence) {
        sum.Merge(1, entry, now);
      }
      test.Add(sum.TakeNew(), 2);
      ASSERT_FALSE(test.IsBad() && test.Reason().empty());
    }
  }
}

/** Guards against a sum over many nodes with few requests each that is zero or
 * far above the share. */
TEST(ExposureGate, SumOverNodesIsTheShare) {
  std::mt19937_64 generator(7);
  std::uniform_real_distribution<double> uniform(0, 1);
  for (const size_t nodes : {1, 95, 300, 1300}) {
    constexpr int kRequests = 8;
    uint32_t exposed = 0;
    for (size_t node = 0; node < nodes; ++node) {
      ExposureGate gate(0.1, uniform(generator));
      for (int i = 0; i < kRequests; ++i) {
        gate.CountRequest();
        if (gate.Allows(Phase::kLoad, 1, 0)) {
          gate.CountAttempt();
        }
      }
      exposed += gate.Exposed();
    }
    const double requests = static_cast<double>(nodes) * kRequests;
    EXPECT_LE(exposed, 0.1 * requests + 50) << nodes;
    if (nodes > 1) {
      EXPECT_GE(exposed, 0.05 * requests) << nodes;
    }
  }
}

/** Guards against a service whose exposed servers are overloaded, and against a
 * single one that is taken for the version. */
TEST(ExposureGate, SelectsServersWithTheLoadOfOldOnes) {
  EXPECT_EQ(ExposedServers(0.1, 6, 6), 2U);
  EXPECT_EQ(ExposedServers(0.1, 96, 96), 9U);
  EXPECT_EQ(ExposedServers(0.1, 6, 1), 1U);
  constexpr int kServers = 6;
  std::vector<std::string> ids;
  ids.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    ids.push_back("server-" + std::to_string(i));
  }
  std::set<std::string> seen;
  for (int turn = 0; turn < 3; ++turn) {
    for (const std::string& id :
         SelectExposed(ids, 2, std::chrono::seconds(2 * turn))) {
      seen.insert(id);
    }
  }
  EXPECT_EQ(seen.size(), ids.size());
}

}  // namespace
}  // namespace boragewharf::rollout
