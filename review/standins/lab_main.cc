/**
 * @file lab_main.cc
 * Command line: review_lab CASE RECORD DIRECTORY. Environment: TROUBLE=0 leaves
 * out the disturbance.
 */
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string_view>

#include "lab_case.h"

int main(int argc, char** argv) {
  using boragewharf::review::CaseOptions;
  using boragewharf::review::CaseResult;
  const std::map<std::string_view, CaseResult (*)(const CaseOptions&)> cases = {
      {"moved-stream", boragewharf::review::RunMovedStream},
      {"latin-attempt-id", boragewharf::review::RunLatinAttemptId},
      {"deadly-request", boragewharf::review::RunDeadlyRequest},
      {"paged-list", boragewharf::review::RunPagedList},
      {"stopped-stream", boragewharf::review::RunStoppedStream},
  };
  constexpr int kArguments = 4;
  const auto found = argc == kArguments ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) {
    std::cerr << "usage: review_lab CASE RECORD DIRECTORY\n";
    return boragewharf::review::kNotRun;
  }
  const auto is_set = [](const char* name, std::string_view value) {
    const char* text = std::getenv(name);
    return text != nullptr && text == value;
  };
  CaseOptions options;
  options.program = "target/bin/boragewharf-node";
  options.record = argv[2];
  options.directory = argv[3];
  options.trouble = !is_set("TROUBLE", "0");
  options.framed = is_set("FRAMED", "1");
  try {
    const CaseResult result = found->second(options);
    std::cout << found->first
              << (result == boragewharf::review::kBroken ? ": broken\n"
                  : result == boragewharf::review::kHeld ? ": held\n"
                                                         : ": not run\n");
    return result;
  } catch (const std::exception& error) {
    std::cerr << "cannot run: " << error.what() << "\n";
    return boragewharf::review::kNotRun;
  }
}
