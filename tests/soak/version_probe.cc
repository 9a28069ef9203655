/**
 * @file version_probe.cc
 * Requests that tell the configuration in force, and what is checked of it.
 */
#include "version_probe.h"

#include <algorithm>

namespace boragewharf::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbePeriod(40);

/** Time after a start until a node must have the newest version
 * (contact_ms of the deployments). */
constexpr milliseconds kContactTime(4000);

/** A request sent later than this after a newer version was seen must not be
 * handled by an older one (rollback_slack_ms of the deployments). */
constexpr milliseconds kRollbackSlack(250);

}  // namespace

standins::Json VersionedConfig(uint64_t version) {
  auto config = standins::ExampleConfig(version);
  auto route = config["routes"].back();
  route["name"] = "v" + std::to_string(version);
  route["path_prefix"] = "/v" + std::to_string(version) + "/";
  config["routes"].push_back(route);
  return config;
}

VersionProbe::VersionProbe(boost::asio::io_context& loop,
                           const Endpoint& node,
                           GetNewest newest,
                           RunRecord& run)
    : address(node),
      get_newest(std::move(newest)),
      record(run),
      channel(loop, node),
      timer(loop) {}

void VersionProbe::Start() {
  this->SendNext();
}

void VersionProbe::Stop() {
  this->stopped = true;
  this->timer.cancel();
  this->channel.CancelAll();
}

void VersionProbe::BeginLifetime() {
  ++this->lifetime;
  this->lifetime_began = Clock::now();
  this->highest = 0;
}

void VersionProbe::SendNext() {
  if (this->stopped) {
    return;
  }
  this->timer.expires_after(kProbePeriod);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (error || this->stopped) {
      return;
    }
    const NewestVersion newest = this->get_newest();
    // In turn the newest version and the two before it.
    const uint64_t back =
        std::min<uint64_t>(++this->requests % 3, newest.version - 1);
    const uint64_t version = newest.version - back;
    httpio::HttpCall call;
    call.method = "GET";
    call.target = "/v" + std::to_string(version) + "/1";
    call.fields = {
        {"Host", standins::kExampleHost},
        {"Boragewharf-Attempt-Id",
         "probe-" + this->address.host + "-" + std::to_string(this->requests)},
        {"Boragewharf-Deadline-Ms", "1000"},
        {"Authorization", std::string("Bearer ") + standins::kExampleApiKey}};
    call.timeout = milliseconds(1500);
    this->channel.Call(std::move(call), [this, version, newest,
                                         sent = Clock::now(),
                                         sent_lifetime = this->lifetime](
                                            const httpio::HttpResult& result) {
      if (!this->stopped && result.head && sent_lifetime == this->lifetime) {
        this->OnResponse(version, newest, sent, result.head->status);
      }
      this->SendNext();
    });
  });
}

void VersionProbe::OnResponse(uint64_t version,
                              const NewestVersion& newest,
                              Clock::time_point sent,
                              uint32_t status) {
  const auto now = Clock::now();
  if (status == 200 && version > this->highest) {
    this->highest = version;
    this->highest_seen = now;
  }
  // A version may be older than one that the store has lost only in a new
  // lifetime, which has not seen the latter.
  if (status == 200 && version < this->highest &&
      sent > this->highest_seen + kRollbackSlack) {
    this->AddViolation("went back from version " +
                       std::to_string(this->highest) + " to " +
                       std::to_string(version));
  }
  if (version == newest.version && sent >= newest.due &&
      sent >= this->lifetime_began + kContactTime) {
    ++this->checks;
    if (status == 404) {
      this->AddViolation("version " + std::to_string(version) +
                         " is not in force in time");
    }
  }
}

void VersionProbe::AddViolation(const std::string& text) {
  this->record.violations.push_back(this->address.host + " " + text);
}

}  // namespace boragewharf::soak
