/**
 * @file main.cc
 * Command line of boragewharf-node.
 */
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

#include "base/result_func.h"
#include "node/node_base.h"
#include "platform/platform_func.h"

namespace {

using boragewharf::JsonFault;
using boragewharf::node::NodeSettings;

constexpr char kVersion[] = "0.1.0";

/** Environment variable with the path of the settings file, if the command line
 * has none. */
constexpr char kSettingsVariable[] = "BORAGEWHARF_CONFIG";

/** Exit codes, listed in docs/ERRORS.md. */
enum ExitCode : int {
  kExitOk = 0,
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
       "settings file in JSON; default: $BORAGEWHARF_CONFIG", "FILE"},
      {"check-config", 0, POPT_ARG_NONE, &options.check_only, 0,
       "report every fault of the settings file, then exit", nullptr},
      {"version", 0, POPT_ARG_NONE, &options.version, 0,
       "print the version, then exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(
      poptGetContext("boragewharf-node", argc, argv, table, 0),
      &poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    std::fprintf(stderr, "boragewharf-node: %s: %s\n",
                 poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                 poptStrerror(result));
    return false;
  }
  return poptPeekArg(context.get()) == nullptr;
}

/** Runs the node and ends the process. */
[[noreturn]] void Serve(const NodeSettings& settings, const std::string& path) {
  const auto wire = boragewharf::platform::MakeRequestCodec();
  const auto make_platform = [&](boost::asio::io_context& loop,
                                 boragewharf::EventLog& log,
                                 boragewharf::CounterRegistry& counters) {
    return boragewharf::platform::MakePlatform(
        loop,
        {settings.store, settings.cloud, settings.name,
         settings.bounds.rollout.has_value()},
        log, counters);
  };
  boragewharf::node::Node node(settings, path, make_platform, *wire);
  const bool served = node.Run();
  // Destructors and exit() would wait for the reader of standard output, which
  // may have stalled, beyond the grace period.
  std::_Exit(served ? kExitOk : kExitStart);
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  if (!ParseOptions(argc, argv, options)) {
    return kExitUsage;
  }
  if (options.version != 0) {
    std::printf("boragewharf-node %s\n", kVersion);
    return kExitOk;
  }
  const char* environment_path = std::getenv(kSettingsVariable);
  const char* path =
      options.config_path != nullptr ? options.config_path : environment_path;
  if (path == nullptr) {
    std::fprintf(stderr, "boragewharf-node: --config FILE is required\n");
    return kExitUsage;
  }
  std::vector<JsonFault> faults;
  const auto settings = boragewharf::node::LoadNodeSettings(path, faults);
  if (!settings) {
    std::fprintf(stderr, "boragewharf-node: %s: %s\n", path,
                 boragewharf::LastReason().detail.c_str());
    return kExitSettings;
  }
  if (options.check_only != 0) {
    std::printf("%s: no faults\n", path);
    return kExitOk;
  }
  Serve(*settings, path);
}
