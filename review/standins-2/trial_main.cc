/**
 * @file trial_main.cc
 * Runs one case of the review: review_trial CASE RECORD
 */
#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "trial_cases.h"

int main(int argc, char** argv) {
  using boragewharf::review::kCouldNotRun;
  const std::map<std::string, int (*)(const std::string&)> cases = {
      {"version-crash", boragewharf::review::RunVersionCrash},
      {"short-streams", boragewharf::review::RunShortStreams},
      {"refused-head", boragewharf::review::RunRefusedHead},
      {"removed-route", boragewharf::review::RunRemovedRoute},
  };
  if (argc != 3 || !cases.contains(argv[1])) {
    std::fprintf(stderr, "usage: review_trial CASE RECORD\n");
    return kCouldNotRun;
  }
  try {
    return cases.at(argv[1])(argv[2]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "review_trial: %s\n", error.what());
    return kCouldNotRun;
  }
}
