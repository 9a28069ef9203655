/**
 * @file soak_program.h
 * Command line of the soak programs.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace boragewharf::soak {

/**
 * Makes a run with a seed, a node program and the length of its planned events.
 * @return Descriptions of violated guarantees, empty if there were none.
 */
using SoakFunction =
    std::function<std::vector<std::string>(uint64_t,
                                           const std::string&,
                                           std::chrono::seconds)>;

/**
 * Runs a soak for each seed on the command line and prints the violations.
 * @return Exit code of the program.
 */
int RunSoakProgram(int argc,
                   const char** argv,
                   const char* name,
                   const SoakFunction& run);

}  // namespace boragewharf::soak
