/**
 * @file fault_proxy_main.cc
 * Proxy for TCP and UDP that injects faults. Runs until SIGTERM or SIGINT.
 */
#include <httplib.h>
#include <popt.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <thread>

#include "fault_proxy.h"

int main(int argc, const char** argv) {
  int control_port = 0;
  long long seed = 1;
  const poptOption options[] = {
      {"control-port", 'c', POPT_ARG_INT, &control_port, 0, "control port",
       "PORT"},
      {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of drops", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  poptContext context = poptGetContext("fault_proxy", argc, argv, options, 0);
  poptSetOtherOptionHelp(context,
                         "NAME=tcp|udp:PORT:TARGET_IP:TARGET_PORT ...");
  if (poptGetNextOpt(context) != -1) {
    poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    return 2;
  }
  boragewharf::standin::FaultProxy proxy;
  while (const char* listener = poptGetArg(context)) {
    if (!proxy.Add(listener, static_cast<uint64_t>(seed++))) {
      std::fprintf(stderr, "fault_proxy: invalid listener %s\n", listener);
      poptFreeContext(context);
      return 2;
    }
  }
  poptFreeContext(context);

  using httplib::Request;
  using httplib::Response;
  httplib::Server control;
  control.Post("/control", [&](const Request& request, Response& response) {
    response.status = proxy.Control(request.body) ? 200 : 400;
    response.set_content(proxy.Describe(), "application/json");
  });
  control.Get("/control", [&](const Request&, Response& response) {
    response.set_content(proxy.Describe(), "application/json");
  });
  if (control_port == 0) {
    control_port = control.bind_to_any_port("127.0.0.1");
  } else if (!control.bind_to_port("127.0.0.1", control_port)) {
    std::fprintf(stderr, "fault_proxy: cannot bind to port %d\n", control_port);
    return 1;
  }
  std::thread server([&control] { control.listen_after_bind(); });
  // The library ignores stop() until its server runs.
  httplib::Client("127.0.0.1", control_port).Get("/control");
  std::printf("control 127.0.0.1:%d %s\n", control_port,
              proxy.Describe().c_str());
  std::fflush(stdout);
  int received = 0;
  sigwait(&signals, &received);
  control.stop();
  server.join();
  return 0;
}
