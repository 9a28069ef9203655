/**
 * @file main.cc
 * boragewharfctl, the operator program.
 */
#include <iostream>

#include "base/result_func.h"
#include "ctl/command_func.h"
#include "ctl/options_func.h"

namespace boragewharf::ctl {

namespace {

ExitCode Run(std::span<const char* const> arguments) {
  const std::optional<Options> options = ParseCommandLine(arguments);
  if (!options) {
    std::cerr << "error: " << LastReason().detail << "\n"
              << "next: see boragewharfctl --help\n";
    return ExitCode::kUsage;
  }
  return RunCommand(*options, std::cout, std::cerr);
}

}  // namespace

}  // namespace boragewharf::ctl

int main(int argc, char** argv) {
  const std::span<const char* const> arguments(argv, static_cast<size_t>(argc));
  return static_cast<int>(boragewharf::ctl::Run(arguments));
}
