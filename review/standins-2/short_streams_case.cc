/**
 * @file short_streams_case.cc
 * A node is killed while short streams of two software versions run.
 */
#include <signal.h>

#include "trial_cases.h"
#include "trial_load.h"

namespace boragewharf::review {
namespace {

constexpr int kNodes = 6;

/** 12 replicas, half of them of each version. */
constexpr int kReplicas = 12;

/** As "grade-tag" of kbtc-wharf: 5 events, each within the pause of 400 ms. */
constexpr uint32_t kEvents = 5;
constexpr milliseconds kFirstEvent(150);
constexpr milliseconds kEventGap(50);

constexpr milliseconds kStreamPeriod(4);

/** One of 6 nodes is a share of 0.16; three of them, one after the other. */
constexpr size_t kKills = 3;
constexpr milliseconds kKillPeriod(8000);
constexpr milliseconds kDownTime(1000);

/** Streams taken up below which the rule does not apply. */
constexpr uint32_t kLeastTakenUp = 12;

}  // namespace

int RunShortStreams(const std::string& record_path) {
  const bool trouble = WithTrouble();
  Trial trial(record_path);
  for (int i = 0; i < kNodes; ++i) {
    trial.AddNode(kZones[i / 2]);
  }
  trial.WriteConfig(WharfConfig(3));
  for (int i = 0; i < kReplicas; ++i) {
    Replica& replica = trial.AddReplica(
        {"llm-" + std::to_string(i), "wharf-llm", i % 2 == 0 ? "1.0" : "2.0",
         kZones[i % kZones.size()]});
    replica.SetStream(kEvents, kFirstEvent, kEventGap);
    replica.Register();
  }
  if (!trial.StartNodes()) {
    return kCouldNotRun;
  }
  trial.RunFor(milliseconds(5000));

  StreamLoad load(trial, kStreamPeriod);
  load.Start();
  trial.RunFor(milliseconds(6000));
  for (size_t kill_number = 0; kill_number < kKills; ++kill_number) {
    TrialNode& node = trial.Node(2 * kill_number + 1);
    if (trouble) {
      trial.Note("SIGKILL to " + node.Name());
      node.Signal(SIGKILL);
      trial.CallAfter(kDownTime, [&trial, &node] {
        trial.Note(node.Name() + " starts again");
        node.Start(false);
      });
    }
    trial.RunFor(kKillPeriod);
  }
  load.Stop();
  trial.RunFor(milliseconds(4000));
  load.NoteSums();
  const double begun = load.ShareBegun();
  const double went_on = load.ShareWentOn();
  trial.Note("share of new streams that begin " + std::to_string(begun) +
             ", of those taken up that go on " + std::to_string(went_on));
  const bool broken = load.TakenUp() >= kLeastTakenUp && went_on < begun / 2;
  return broken ? kBroken : kHeld;
}

}  // namespace boragewharf::review
