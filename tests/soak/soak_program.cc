/**
 * @file soak_program.cc
 * Command line of the soak programs.
 */
#include "soak_program.h"

#include <popt.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <sstream>

namespace boragewharf::soak {

int RunSoakProgram(int argc,
                   const char** argv,
                   const char* name,
                   const SoakFunction& run) {
  char* program = nullptr;
  char* seeds = nullptr;
  int fault_phase_length = 10;
  const poptOption table[] = {
      {"node", 0, POPT_ARG_STRING, &program, 0, "path of boragewharf-node",
       "FILE"},
      {"seeds", 0, POPT_ARG_STRING, &seeds, 0,
       "comma-separated seeds, one for each run", "N,..."},
      {"seconds", 0, POPT_ARG_INT, &fault_phase_length, 0,
       "time in which faults are injected", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(name, argc, argv, table, 0), &poptFreeContext);
  if (poptGetNextOpt(context.get()) < -1 || program == nullptr ||
      seeds == nullptr) {
    std::fprintf(stderr, "usage: %s --node FILE --seeds N,...\n", name);
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  size_t failed = 0;
  size_t passed = 0;
  std::istringstream seed_list(seeds);
  for (std::string seed; std::getline(seed_list, seed, ',');) {
    const auto violations = run(std::stoull(seed), program,
                                std::chrono::seconds(fault_phase_length));
    const size_t shown_count = std::min<size_t>(violations.size(), 5);
    for (size_t i = 0; i < shown_count; ++i) {
      std::printf("  VIOLATION: %s\n", violations[i].c_str());
    }
    std::fflush(stdout);
    (violations.empty() ? passed : failed) += 1;
  }
  std::printf("%zu passed, %zu failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}

}  // namespace boragewharf::soak
