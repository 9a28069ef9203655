/**
 * @file header_func.h
 * Which headers of plain calls are passed on.
 */
#pragma once

#include <httplib.h>

namespace boragewharf::traffic {

/**
 * Headers of a caller's request for the backend server: without those of the
 * connection, the caller's token and what the library adds.
 * @note Thread-safe.
 */
httplib::Headers RequestHeaders(const httplib::Headers& headers);

/**
 * Headers of a backend server's answer for the caller, without Content-Type.
 * @note Thread-safe.
 */
httplib::Headers AnswerHeaders(const httplib::Headers& headers);

}  // namespace boragewharf::traffic
