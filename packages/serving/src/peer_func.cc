/**
 * @file peer_func.cc
 * Names in messages.
 */
#include <xxhash.h>

#include "serving/peer_type.h"

namespace boragewharf::serving {

NameHash HashName(std::string_view name) {
  return XXH32(name.data(), name.size(), 0);
}

}  // namespace boragewharf::serving
