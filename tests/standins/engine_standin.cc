/**
 * @file engine_standin.cc
 * Program around the engine stand-in.
 */
#include <popt.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "standins/engine_standin_base.h"

int main(int argc, const char** argv) {
  using boragewharf::standins::EngineControl;
  using boragewharf::standins::EngineStandin;
  constexpr int kCrashStatus = 134;
  int port = 0;
  int token_us = 1000;
  int first_token_us = 2000;
  int block_us = 0;
  int batch = 64;
  int cache_blocks = 1024;
  int load_lag_ms = 0;
  int ignore_fencing = 0;
  char* crash_marker = nullptr;
  const poptOption options[] = {
      {"port", 'p', POPT_ARG_INT, &port, 0, "Port, 0 for any", "PORT"},
      {"token-us", 0, POPT_ARG_INT, &token_us, 0, "Time per token", "US"},
      {"first-token-us", 0, POPT_ARG_INT, &first_token_us, 0,
       "Time to first token", "US"},
      {"block-us", 0, POPT_ARG_INT, &block_us, 0,
       "Time per uncached prompt block of 256 bytes", "US"},
      {"batch", 0, POPT_ARG_INT, &batch, 0, "Requests run at once", "N"},
      {"cache-blocks", 0, POPT_ARG_INT, &cache_blocks, 0,
       "Prompt blocks kept in the prefix cache", "N"},
      {"load-lag-ms", 0, POPT_ARG_INT, &load_lag_ms, 0, "Age of load reports",
       "MS"},
      {"ignore-fencing", 0, POPT_ARG_NONE, &ignore_fencing, 0,
       "Accept orders with old fencing numbers", nullptr},
      {"crash-marker", 0, POPT_ARG_STRING, &crash_marker, 0,
       "End the process when a prompt contains this", "TEXT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext(nullptr, argc, argv, options, POPT_CONTEXT_NO_EXEC);
  const int parsed = poptGetNextOpt(context);
  if (parsed < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0),
                 poptStrerror(parsed));
    return EXIT_FAILURE;
  }
  EngineControl control;
  control.token_time = std::chrono::microseconds(token_us);
  control.first_token_time = std::chrono::microseconds(first_token_us);
  control.block_time = std::chrono::microseconds(block_us);
  control.batch_limit = static_cast<uint32_t>(batch);
  control.cache_blocks = static_cast<uint32_t>(cache_blocks);
  control.load_lag = std::chrono::milliseconds(load_lag_ms);
  control.check_fencing = ignore_fencing == 0;
  control.crash_marker = crash_marker == nullptr ? "" : crash_marker;
  std::free(crash_marker);
  poptFreeContext(context);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  EngineStandin engine(control);
  engine.on_crash = [] { _exit(kCrashStatus); };
  const uint16_t bound = engine.Start(static_cast<uint16_t>(port));
  if (bound == 0) {
    std::fprintf(stderr, "cannot bind to port %d\n", port);
    return EXIT_FAILURE;
  }
  std::printf("port %u\n", bound);
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  return EXIT_SUCCESS;
}
