/**
 * @file main.cc
 * The daemon's command line, signals and exit codes.
 */
#include <popt.h>
#include <pthread.h>
#include <signal.h>

#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/result_func.h"
#include "daemon/daemon_base.h"
#include "daemon/log_func.h"
#include "settings/settings_func.h"

namespace {

using boragewharf::JsonFault;
using boragewharf::LastReason;
using boragewharf::Settings;
using boragewharf::daemon::Daemon;

constexpr char kVersion[] = "0.1.0";

/** Exit codes; docs/ERRORS.md has the table. */
enum ExitCode : int {
  kExitOk = 0,
  kExitWorkLeft = 1,
  kExitUsage = 2,
  kExitSettings = 3,
  kExitStart = 4,
};

struct Options {
  char* config_path = nullptr;
  int check_only = 0;
  int version = 0;
};

using PoptContext = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

/** @return False if the command line is not valid. */
bool ParseOptions(int argc, const char** argv, Options& options) {
  const poptOption table[] = {
      {"config", 'c', POPT_ARG_STRING, &options.config_path, 0,
       "settings file in JSON; docs/CONFIG.md lists the keys", "FILE"},
      {"check-config", 0, POPT_ARG_NONE, &options.check_only, 0,
       "report every fault of the settings file, then exit", nullptr},
      {"version", 0, POPT_ARG_NONE, &options.version, 0,
       "print the version, then exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(poptGetContext("boragewharf", argc, argv, table, 0),
                            &poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    std::fprintf(stderr, "boragewharf: %s: %s\n",
                 poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                 poptStrerror(result));
    return false;
  }
  return poptPeekArg(context.get()) == nullptr;
}

std::optional<Settings> ReadSettings(const char* path) {
  std::vector<JsonFault> faults;
  std::optional<Settings> settings = boragewharf::LoadSettings(path, faults);
  if (settings) {
    return settings;
  }
  for (const JsonFault& fault : faults) {
    std::fprintf(stderr, "%s\n", ToString(fault).c_str());
  }
  const auto& info = boragewharf::GetResultInfo(LastReason().code);
  std::fprintf(stderr, "boragewharf: %d %.*s %s %.*s\n",
               static_cast<int>(info.code),
               static_cast<int>(info.sentence.size()), info.sentence.data(),
               LastReason().detail.c_str(),
               static_cast<int>(info.next_step.size()), info.next_step.data());
  return std::nullopt;
}

/** Blocks SIGTERM and SIGINT in this and all later threads. */
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Serve(const Settings& settings) {
  const sigset_t signals = BlockStopSignals();
  boragewharf::daemon::ConfigureLog(settings.log);
  Daemon daemon(settings);
  if (!daemon.Start()) {
    boragewharf::daemon::LogFault("cannot start: " + LastReason().detail);
    return kExitStart;
  }
  // Ends with the process; it may wait for a signal that never comes.
  std::thread([signals, &daemon] {
    int number = 0;
    sigwait(&signals, &number);
    daemon.RequestDrain();
  }).detach();
  daemon.WaitForDrainRequest();
  const bool finished = daemon.DrainAndStop();
  std::fflush(nullptr);
  _exit(finished ? kExitOk : kExitWorkLeft);
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  if (!ParseOptions(argc, argv, options)) {
    return kExitUsage;
  }
  if (options.version != 0) {
    std::printf("boragewharf %s\n", kVersion);
    return kExitOk;
  }
  if (options.config_path == nullptr) {
    std::fprintf(stderr, "boragewharf: --config FILE is required\n");
    return kExitUsage;
  }
  const std::optional<Settings> settings = ReadSettings(options.config_path);
  if (!settings) {
    return kExitSettings;
  }
  if (options.check_only != 0) {
    std::printf("%s: no faults\n", options.config_path);
    return kExitOk;
  }
  return Serve(*settings);
}
