/**
 * @file trial_cases.h
 * The cases of the review that are scripts.
 */
#pragma once

#include <string>

#include "trial_base.h"

namespace boragewharf::review {

/** Replicas of a new software version crash soon after they registered. */
int RunVersionCrash(const std::string& record_path);

/** A node is killed while short streams of two software versions run. */
int RunShortStreams(const std::string& record_path);

/** A route is removed while streams of it wait to be taken up. */
int RunRemovedRoute(const std::string& record_path);

/** A tenant sends many times its usual, among it HEAD requests. */
int RunRefusedHead(const std::string& record_path);

}  // namespace boragewharf::review
