/**
 * @file varied_load.h
 * Requests whose deadlines, token limits and stream lengths vary.
 */
#pragma once

#include <map>
#include <string>

#include "platform_standin.h"
#include "soak_client.h"

namespace boragewharf::soak {

/** How long the responses to new requests take. */
struct StreamPace {
  std::chrono::milliseconds usual{200};
  uint32_t long_percent = 0;  ///< Share of responses of the maximum length.
};

/**
 * Traits of requests and shapes of their responses. Both depend only on the
 * seed, the id of the request and the pace at its time. Not thread-safe.
 */
class VariedLoad {
 public:
  explicit VariedLoad(uint64_t run_seed) : seed(run_seed) {}

  /** Sets the pace of requests that are drawn from now on. */
  void SetPace(StreamPace new_pace) { this->pace = new_pace; }

  /** Draws the traits of a new request, and the shape of its response. */
  RequestTraits Draw(const std::string& id);

  /** @return Shape of the response to a drawn request. */
  standins::ResponseShape ShapeOf(const std::string& id) const;

 private:
  uint64_t seed;
  StreamPace pace;
  std::map<std::string, standins::ResponseShape> shapes;  ///< By request id.
};

}  // namespace boragewharf::soak
