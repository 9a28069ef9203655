/**
 * @file varied_load.cc
 * Traits of the requests of a soak run.
 */
#include "varied_load.h"

#include <algorithm>
#include <random>

namespace boragewharf::soak {
namespace {

using std::chrono::milliseconds;

/** Limits of the length of a response. The maximum is shorter than the grace
 * period of a node, which thus has time to finish each stream. */
constexpr milliseconds kMinLength(100);
constexpr milliseconds kMaxLength(2500);

/** The gap goal of the routes; streams are not slower. */
constexpr milliseconds kMaxGap(250);

/** Maximum time to the first byte. Below the 1 s after which a node tries
 * another server for a silent stream, so that the sum of the tries is shorter
 * than the grace period, too. */
constexpr milliseconds kMaxStartDelay(800);

/** Output limit of applications that state the same for all requests. */
constexpr uint32_t kCommonTokenLimit = 300;

/** FNV-1a; std::hash may differ between builds, and a seed must not. */
uint64_t HashOf(const std::string& text) {
  uint64_t hash = 14695981039346656037U;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  }
  return hash;
}

}  // namespace

RequestTraits VariedLoad::Draw(const std::string& id) {
  std::mt19937_64 generator(this->seed ^ HashOf(id));
  const auto draw = [&](uint64_t from, uint64_t to) {
    return from + generator() % (to - from + 1);
  };
  const bool is_long = draw(1, 100) <= this->pace.long_percent;
  const milliseconds length =
      is_long ? kMaxLength
              : std::clamp<milliseconds>(this->pace.usual * draw(70, 130) / 100,
                                         kMinLength, kMaxLength);
  const auto min_events = static_cast<uint64_t>(length / kMaxGap) + 1;
  standins::ResponseShape shape;
  shape.events = static_cast<uint32_t>(draw(min_events + 2, min_events + 17));
  if (draw(1, 2) == 1) {
    shape.start_delay =
        std::min<milliseconds>(length * draw(0, 100) / 100, kMaxStartDelay);
  }
  shape.gap = (length - shape.start_delay) / shape.events;
  this->shapes[id] = shape;

  RequestTraits traits;
  traits.stream_events = shape.events;
  if (draw(1, 4) == 1) {
    traits.deadline = milliseconds(draw(1000, 2000));
  }
  const std::string prompt = std::to_string(draw(10, 200));
  switch (draw(0, 2)) {
    case 0:
      break;
    case 1:
      traits.token_counts = prompt + "," + std::to_string(kCommonTokenLimit);
      break;
    default:
      traits.token_counts =
          prompt + "," + std::to_string(shape.events * draw(1, 3));
      break;
  }
  return traits;
}

standins::ResponseShape VariedLoad::ShapeOf(const std::string& id) const {
  const auto found = this->shapes.find(id);
  return found == this->shapes.end() ? standins::ResponseShape{}
                                     : found->second;
}

}  // namespace boragewharf::soak
