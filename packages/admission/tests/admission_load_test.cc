/**
 * @file admission_load_test.cc
 * Demand above the capacity in virtual time, with several nodes that know each
 * other from messages of 0.4 s.
 */
#include "admission_world.h"

namespace boragewharf::admission {
namespace {

constexpr uint32_t kUrgencies = 3;
constexpr uint32_t kCustomers = 4;  ///< Per urgency, each within its quota.

/** Group of the customers of an urgency; the last one is the heavy customer. */
size_t GroupOf(uint32_t urgency, uint32_t customer) {
  return size_t{urgency} * kCustomers + customer;
}
constexpr size_t kHeavyGroup = size_t{kUrgencies} * kCustomers;

struct LoadResult {
  std::vector<double> served;   ///< Share, by urgency.
  std::vector<double> in_time;  ///< Share, by urgency.
  double utilization = 0;
  double fairness = 1;  ///< Least Jain index of the customers of an urgency.
  double heavy = 0;     ///< Served share of the heavy customer.
  double twice = 0;     ///< Rejected twice per rejected.
  double all_in_time = 0;
  double held = 0;
  uint64_t rejections = 0;
  Duration vain{};
};

double JainIndex(const std::vector<double>& values) {
  double sum = 0;
  double squares = 0;
  for (const double value : values) {
    sum += value;
    squares += value * value;
  }
  return squares > 0
             ? sum * sum / (static_cast<double>(values.size()) * squares)
             : 1;
}

/** 10 s of usual load, then 10 s in which servers are lost and one customer of
 * the middle urgency sends 7.5 times its usual load, so that the demand is @p
 * factor times the capacity. */
LoadResult RunLoad(const WorldOptions& options, double factor) {
  World world(options);
  const double usual = 0.8 * world.Capacity() / (kHeavyGroup + 1);
  const double demand = usual * (kHeavyGroup + 7.5) / world.Capacity();
  const auto left =
      static_cast<uint32_t>(std::lround(options.servers * demand / factor));
  const TimePoint begin = world.now;
  const TimePoint overload = begin + seconds(10);
  const TimePoint end = overload + seconds(10);
  const double heavy = 7.5 * usual;
  const double others = usual;
  world.At(overload, [&world, left] { world.SetAvailable(left); });
  const std::vector<uint32_t> lengths = {800, 2400, 40000};
  for (uint32_t urgency = 0; urgency < kUrgencies; ++urgency) {
    for (uint32_t customer = 0; customer < kCustomers; ++customer) {
      const size_t group = GroupOf(urgency, customer);
      for (const uint32_t tokens : lengths) {
        RequestProfile profile;
        profile.customer = "c" + std::to_string(group);
        profile.urgency = urgency;
        profile.tokens = tokens;
        world.AddSource(usual / 3, profile, group, begin, overload);
        world.AddSource(others / 3, profile, group, overload, end);
      }
    }
  }
  RequestProfile profile;
  profile.customer = "heavy";
  profile.urgency = 1;
  profile.tokens = 2400;
  world.AddSource(usual, profile, kHeavyGroup, begin, overload);
  world.AddSource(heavy, profile, kHeavyGroup, overload, end);
  world.RunUntil(overload);
  world.ResetMeasures();
  world.RunUntil(end);
  LoadResult result;
  result.utilization = world.Utilization();
  world.RunUntil(end + seconds(10));
  double refused = 0;
  double offered = 0;
  for (uint32_t urgency = 0; urgency < kUrgencies; ++urgency) {
    GroupResult sum;
    std::vector<double> tokens;
    for (uint32_t customer = 0; customer < kCustomers; ++customer) {
      const GroupResult& group = world.groups[GroupOf(urgency, customer)];
      sum.offered += group.offered;
      sum.served += group.served;
      sum.in_time += group.in_time;
      tokens.push_back(group.tokens);
    }
    result.served.push_back(sum.served / sum.offered);
    result.in_time.push_back(sum.in_time / sum.offered);
    result.fairness = std::min(result.fairness, JainIndex(tokens));
  }
  const GroupResult& heavy_group = world.groups[kHeavyGroup];
  result.heavy = heavy_group.served / heavy_group.offered;
  for (const GroupResult& group : world.groups) {
    refused += group.refused;
    result.twice += group.refused_twice;
    result.all_in_time += group.in_time;
    offered += group.offered;
  }
  result.twice /= std::max(1.0, refused);
  result.all_in_time /= offered;
  result.rejections = world.server_rejections;
  result.vain = world.longest_vain_wait;
  result.held = world.held_in_vain / offered;
  for (const auto& request : world.requests) {
    EXPECT_TRUE(request->ended);
  }
  EXPECT_EQ(world.WaitingCount(), 0U);
  return result;
}

void Print(const char* name, double factor, const LoadResult& result) {
  std::printf(
      "%s x%.1f: served %.2f %.2f %.2f, in time %.2f %.2f %.2f (all %.3f), "
      "utilization %.3f, fairness %.3f, heavy %.2f, rejected twice %.3f, "
      "rejected by servers %lu, longest vain wait %ld ms, held in vain "
      "%.3f\n",
      name, factor, result.served[0], result.served[1], result.served[2],
      result.in_time[0], result.in_time[1], result.in_time[2],
      result.all_in_time, result.utilization, result.fairness, result.heavy,
      result.twice, result.rejections, result.vain.count() / 1000, result.held);
}

class AdmissionLoadTest : public testing::TestWithParam<double> {};

// Guards against idle slots while requests wait, a wrong order of urgency,
// unequal shares of customers of one urgency, and a queue that costs more than
// it serves. Rejections of those that return are printed, not checked: see
// docs/design/admission.md.
TEST_P(AdmissionLoadTest, EngineServersUnderOverload) {
  WorldOptions options;
  options.invites = false;
  const LoadResult with = RunLoad(options, GetParam());
  Print("queue on ", GetParam(), with);
  options.invites = true;
  const LoadResult inviting = RunLoad(options, GetParam());
  Print("queue on, always Retry-After", GetParam(), inviting);
  options.queue = false;
  const LoadResult without = RunLoad(options, GetParam());
  Print("queue off", GetParam(), without);
  for (const LoadResult& result : {with, inviting}) {
    EXPECT_GE(result.utilization, 0.9);
    EXPECT_GE(result.fairness, 0.95);
    EXPECT_GE(result.served[0], result.served[1]);
    EXPECT_GE(result.served[1], result.served[2]);
    EXPECT_LE(result.heavy, result.served[1]);
    EXPECT_LE(result.held, 0.05);
  }
  EXPECT_GE(with.all_in_time, 1.2 * without.all_in_time);
}

// The same for servers that reject what exceeds their slots, of which the nodes
// assume 2.5 times as many.
TEST_P(AdmissionLoadTest, PlainServersUnderOverload) {
  WorldOptions options;
  options.slots = 6;
  options.real_limit = 6;
  options.mean_ms = 20;
  options.objective = milliseconds(150);
  options.patience = milliseconds(1500);
  const LoadResult with = RunLoad(options, GetParam());
  options.queue = false;
  const LoadResult without = RunLoad(options, GetParam());
  Print("plain, queue on ", GetParam(), with);
  Print("plain, queue off", GetParam(), without);
  EXPECT_GE(with.fairness, 0.95);
  EXPECT_GE(with.all_in_time, 0.95 * without.all_in_time);
}

INSTANTIATE_TEST_SUITE_P(Factors,
                         AdmissionLoadTest,
                         testing::Values(1.5, 2.0, 4.0));

}  // namespace
}  // namespace boragewharf::admission
