/**
 * @file plain_standin.cc
 * Program around the plain stand-in.
 */
#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "standins/plain_standin_base.h"

int main(int argc, const char** argv) {
  int port = 0;
  int delay_ms = 0;
  const poptOption options[] = {
      {"port", 'p', POPT_ARG_INT, &port, 0, "Port, 0 for any", "PORT"},
      {"delay-ms", 0, POPT_ARG_INT, &delay_ms, 0, "Time before the answer",
       "MS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext(nullptr, argc, argv, options, POPT_CONTEXT_NO_EXEC);
  const int parsed = poptGetNextOpt(context);
  if (parsed < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0),
                 poptStrerror(parsed));
    return EXIT_FAILURE;
  }
  poptFreeContext(context);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  boragewharf::standins::PlainStandin service{
      std::chrono::milliseconds(delay_ms)};
  const uint16_t bound = service.Start(static_cast<uint16_t>(port));
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
