/**
 * @file platform_standin_main.cc
 * Stand-in of the platform: object API, instance list, cloud API and weight
 * store on one port, control on another. Runs until SIGTERM or SIGINT.
 */
#include <popt.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>

#include "platform_server.h"

int main(int argc, const char** argv) {
  int api_port = 0;
  int control_port = 0;
  char* control_patch = nullptr;
  const poptOption options[] = {
      {"port", 'p', POPT_ARG_INT, &api_port, 0, "API port", "PORT"},
      {"control-port", 'c', POPT_ARG_INT, &control_port, 0, "control port",
       "PORT"},
      {"control", 0, POPT_ARG_STRING, &control_patch, 0,
       "initial body of POST /control", "JSON"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("platform_standin", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed != -1) {
    std::fprintf(stderr, "platform_standin: %s\n", poptStrerror(parsed));
    return 2;
  }

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  boragewharf::standin::PlatformServer server(
      static_cast<uint16_t>(api_port), static_cast<uint16_t>(control_port));
  if (control_patch != nullptr && server.Control(control_patch).status != 200) {
    std::fprintf(stderr, "platform_standin: invalid --control\n");
    return 2;
  }
  std::printf("api 127.0.0.1:%d control 127.0.0.1:%d\n", server.ApiPort(),
              server.ControlPort());
  std::fflush(stdout);
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}
