/**
 * @file latency_probe.cc
 * Measures what a daemon adds to the latency of an idempotent call: alternates
 * calls to a service directly and through the daemon on kept connections, and
 * prints percentiles of both as JSON.
 */
#include <httplib.h>
#include <popt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace {

using Microseconds = std::chrono::duration<double, std::micro>;

/** Calls before the measurement, which open connections and fill caches. */
constexpr int kWarmUpCalls = 200;

struct Target {
  std::unique_ptr<httplib::Client> client;
  std::string path;
  httplib::Headers headers;
  std::vector<double> samples;
};

std::unique_ptr<httplib::Client> MakeClient(const std::string& address) {
  auto client = std::make_unique<httplib::Client>("http://" + address);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

/** One call. @return False if it failed. */
bool Call(Target& target, bool is_measured) {
  const auto start = std::chrono::steady_clock::now();
  const auto result = target.client->Get(target.path, target.headers);
  const Microseconds elapsed = std::chrono::steady_clock::now() - start;
  if (!result || result->status != 200) {
    return false;
  }
  if (is_measured) {
    target.samples.push_back(elapsed.count());
  }
  return true;
}

double Percentile(std::vector<double>& samples, double share) {
  std::ranges::sort(samples);
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<size_t>(last * share)];
}

}  // namespace

int main(int argc, const char** argv) {
  char* direct = nullptr;
  char* daemon = nullptr;
  char* token = nullptr;
  char* service = nullptr;
  int calls = 5000;
  const poptOption options[] = {
      {"direct", 0, POPT_ARG_STRING, &direct, 0, "service", "IP:PORT"},
      {"daemon", 0, POPT_ARG_STRING, &daemon, 0, "daemon", "IP:PORT"},
      {"token", 0, POPT_ARG_STRING, &token, 0, "caller token", "TOKEN"},
      {"service", 0, POPT_ARG_STRING, &service, 0, "service name", "NAME"},
      {"calls", 0, POPT_ARG_INT, &calls, 0, "measured calls each", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed != -1 || direct == nullptr || daemon == nullptr ||
      token == nullptr || service == nullptr || calls < 1) {
    std::fprintf(stderr, "latency_probe: see --help\n");
    return 2;
  }
  Target targets[] = {{MakeClient(direct), "/probe", {}, {}},
                      {MakeClient(daemon),
                       "/services/" + std::string(service) + "/probe",
                       {{"Authorization", "Bearer " + std::string(token)}},
                       {}}};
  for (int i = -kWarmUpCalls; i < calls; ++i) {
    for (Target& target : targets) {
      if (!Call(target, i >= 0)) {
        std::fprintf(stderr, "latency_probe: a call failed\n");
        return 1;
      }
    }
  }
  const double direct_p50 = Percentile(targets[0].samples, 0.5);
  const double daemon_p50 = Percentile(targets[1].samples, 0.5);
  const double direct_p99 = Percentile(targets[0].samples, 0.99);
  const double daemon_p99 = Percentile(targets[1].samples, 0.99);
  std::printf(
      "{\"calls\":%d,\"direct_p50_us\":%.0f,\"daemon_p50_us\":%.0f,"
      "\"added_p50_us\":%.0f,\"direct_p99_us\":%.0f,\"daemon_p99_us\":%.0f,"
      "\"added_p99_us\":%.0f}\n",
      calls, direct_p50, daemon_p50, daemon_p50 - direct_p50, direct_p99,
      daemon_p99, daemon_p99 - direct_p99);
  return 0;
}
