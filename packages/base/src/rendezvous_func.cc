/**
 * @file rendezvous_func.cc
 * Rendezvous hashing with xxHash.
 */
#include "base/rendezvous_func.h"

#include "base/digest_func.h"

namespace boragewharf {

std::optional<MemberId> RendezvousOwner(std::string_view duty,
                                        std::span<const MemberId> members) {
  std::optional<MemberId> owner;
  uint64_t highest = 0;
  for (MemberId member : members) {
    const uint64_t rank = Hash64(duty, member.value);
    if (owner && (rank < highest || (rank == highest && member < *owner))) {
      continue;
    }
    owner = member;
    highest = rank;
  }
  return owner;
}

}  // namespace boragewharf
