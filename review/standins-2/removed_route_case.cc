/**
 * @file removed_route_case.cc
 * A configuration removes a route while streams of it wait to be taken up.
 */
#include <signal.h>

#include "trial_cases.h"
#include "trial_stream.h"

namespace boragewharf::review {
namespace {

constexpr int kNodes = 6;
constexpr int kModelReplicas = 6;
constexpr int kDeskReplicas = 3;

constexpr uint32_t kEvents = 120;
constexpr milliseconds kFirstEvent(40);
constexpr milliseconds kEventGap(25);

/** Streams at the node that is killed, and the time between their starts. */
constexpr int kStreams = 12;
constexpr milliseconds kStreamPeriod(5);

/** Time from the last start to the kill, and from there to the new
 * configuration. */
constexpr milliseconds kUntilKill(45);
constexpr milliseconds kUntilConfig(250);

/** timeout_ms of the route of the bookings, and the time that the rule allows
 * beyond. */
constexpr milliseconds kBookingTimeout(2500);
constexpr milliseconds kBeyondTimeout(500);

}  // namespace

int RunRemovedRoute(const std::string& record_path) {
  const bool trouble = WithTrouble();
  Trial trial(record_path);
  for (int i = 0; i < kNodes; ++i) {
    trial.AddNode(kZones[i / 2]);
  }
  standins::Json config = WharfConfig(3);
  // Five tenants, as ascb-wharf has; the first one sends.
  for (int i = 2; i <= 5; ++i) {
    standins::Json tenant = config["tenants"][0];
    tenant["name"] = "club-" + std::to_string(i);
    tenant["api_keys"] = {"key-" + std::to_string(i)};
    config["tenants"].push_back(tenant);
  }
  trial.WriteConfig(config);
  for (int i = 0; i < kModelReplicas; ++i) {
    Replica& replica = trial.AddReplica(
        {"llm-" + std::to_string(i), "wharf-llm", i % 2 == 0 ? "1.0" : "2.0",
         kZones[i % kZones.size()]});
    replica.SetStream(kEvents, kFirstEvent, kEventGap);
    replica.Register();
  }
  for (int i = 0; i < kDeskReplicas; ++i) {
    trial
        .AddReplica({"desk-" + std::to_string(i), "drying-desk", "1.0",
                     kZones[i % kZones.size()]})
        .Register();
  }
  if (!trial.StartNodes()) {
    return kCouldNotRun;
  }
  trial.RunFor(milliseconds(6000));

  constexpr size_t kKilled = 1;
  uint32_t answered = 0;
  uint32_t late = 0;
  uint32_t unanswered = 0;
  for (int i = 0; i < kStreams; ++i) {
    const auto pick = [&trial](size_t broken_at) {
      const size_t step = 1 + trial.Generator()() % (kNodes - 1);
      return (broken_at + step) % kNodes;
    };
    const auto client = std::make_shared<StreamClient>(
        trial, "s" + std::to_string(i + 1), kStreamPrefix, pick,
        [&](const StreamResult& result) {
          trial.Note(result.Text());
          if (!result.booking) {
            return;
          }
          const Booking& booking = *result.booking;
          const bool in_time =
              booking.status != 0 && booking.answered_after < kBookingTimeout;
          const bool soon_after =
              booking.status != 0 &&
              booking.answered_after < kBookingTimeout + kBeyondTimeout;
          answered += in_time ? 1 : 0;
          late += !in_time && soon_after ? 1 : 0;
          unanswered += soon_after ? 0 : 1;
          trial.Note(booking.id + " on the same channel: " +
                     (booking.status == 0
                          ? "no answer within its time budget"
                          : "status " + std::to_string(booking.status) +
                                " after " +
                                std::to_string(booking.answered_after.count()) +
                                " ms"));
        });
    client->BookAfterwards();
    client->Start(kKilled);
    trial.RunFor(kStreamPeriod);
  }
  trial.RunFor(kUntilKill);
  if (trouble) {
    trial.Note("SIGKILL to " + trial.Node(kKilled).Name());
    trial.Node(kKilled).Signal(SIGKILL);
  }
  trial.RunFor(kUntilConfig);
  config["version"] = 7;
  config["routes"].erase(0);
  trial.WriteConfig(config);
  trial.RunFor(milliseconds(12000));
  for (size_t i = 0; i < trial.NodeCount(); ++i) {
    trial.Note(trial.Node(i).Name() +
               (trial.Node(i).IsRunning() ? " runs" : " does not run"));
  }
  trial.Note("bookings answered within 2500 ms " + std::to_string(answered) +
             ", within 500 ms more " + std::to_string(late) +
             ", without an answer then " + std::to_string(unanswered));
  // CONFIG: more than half of those that were unanswered at the timeout.
  return unanswered > late ? kBroken : kHeld;
}

}  // namespace boragewharf::review
