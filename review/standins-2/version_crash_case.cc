/**
 * @file version_crash_case.cc
 * Replicas of a new software version crash at their first requests.
 */
#include "trial_cases.h"
#include "trial_load.h"

namespace boragewharf::review {
namespace {

constexpr int kNodes = 6;

/** Model services, whose new versions are released one after the other. */
constexpr int kServices = 4;

/** 12 replicas each, as ascb-wharf has; 2 of them, a share of 0.17, crash. */
constexpr int kOldReplicas = 10;
constexpr int kNewReplicas = 2;

constexpr uint32_t kEvents = 40;
constexpr milliseconds kFirstEvent(40);
constexpr milliseconds kEventGap(25);

constexpr milliseconds kStreamPeriod(4);

/** Time from the first request of a new replica to its crash, and until it is
 * back. */
constexpr milliseconds kUntilCrash(120);
constexpr milliseconds kDownTime(4500);

/** Time that the streams go to a service before and after its release. */
constexpr milliseconds kBeforeRelease(2500);
constexpr milliseconds kAfterRelease(1500);

/** Streams with events of two versions that the rule allows. */
constexpr uint32_t kMostMixed = 2;

std::string PrefixOf(int service) {
  return "/model-" + std::to_string(service + 1) + "/stream/";
}

}  // namespace

int RunVersionCrash(const std::string& record_path) {
  const bool trouble = WithTrouble();
  Trial trial(record_path);
  for (int i = 0; i < kNodes; ++i) {
    trial.AddNode(kZones[i / 2]);
  }
  standins::Json config = WharfConfig(3);
  std::vector<std::vector<Replica*>> fresh(kServices);
  for (int service = 0; service < kServices; ++service) {
    const std::string name = "wharf-llm-" + std::to_string(service + 1);
    AddModelService(config, name, PrefixOf(service));
    for (int i = 0; i < kOldReplicas + kNewReplicas; ++i) {
      const bool is_new = i >= kOldReplicas;
      Replica& replica =
          trial.AddReplica({name + "-" + std::to_string(i), name,
                            is_new ? "2.0" : "1.0", kZones[i % kZones.size()]});
      replica.SetStream(kEvents, kFirstEvent, kEventGap);
      if (is_new) {
        fresh[service].push_back(&replica);
      } else {
        replica.Register();
      }
    }
  }
  trial.WriteConfig(config);
  if (!trial.StartNodes()) {
    return kCouldNotRun;
  }
  trial.RunFor(milliseconds(5000));

  StreamLoad load(trial, kStreamPeriod);
  load.SetPrefix(PrefixOf(0));
  load.Start();
  for (int service = 0; service < kServices; ++service) {
    load.SetPrefix(PrefixOf(service));
    trial.RunFor(kBeforeRelease);
    for (Replica* replica : fresh[service]) {
      trial.Note("replica " + replica->Entry().id + " of 2.0 registers");
      if (trouble) {
        replica->OnFirstRun([&trial, replica] {
          trial.CallAfter(kUntilCrash, [&trial, replica] {
            trial.Note("replica " + replica->Entry().id + " crashes after " +
                       std::to_string(replica->Runs().size()) + " requests");
            replica->Crash(kDownTime);
          });
        });
      }
      replica->Register();
    }
    trial.RunFor(kAfterRelease);
  }
  load.Stop();
  trial.RunFor(milliseconds(3000));
  load.NoteSums();
  return load.Mixed() > kMostMixed ? kBroken : kHeld;
}

}  // namespace boragewharf::review
