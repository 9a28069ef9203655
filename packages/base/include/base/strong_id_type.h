/**
 * @file strong_id_type.h
 * Typed identifiers, so that ids of different kinds cannot be mixed up.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace boragewharf {

/** An integer id that only compares with ids of the same tag. */
template <class Tag, class Rep>
struct StrongId {
  Rep value{};  ///< The raw number.

  auto operator<=>(const StrongId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->value);
  }
};

/** A daemon process; random per start, so a restart is a new member. */
using MemberId = StrongId<struct MemberIdTag, uint64_t>;
/** Rises by one with each accepted or staged ticket. */
using ConfigRevision = StrongId<struct ConfigRevisionTag, uint64_t>;
/** The number an operator gave a change ticket. */
using TicketNumber = StrongId<struct TicketNumberTag, uint64_t>;
/** Index of a ledger shard. */
using ShardId = StrongId<struct ShardIdTag, uint32_t>;
/** Rises each time a duty lease changes its holder. */
using FencingNumber = StrongId<struct FencingNumberTag, uint64_t>;

}  // namespace boragewharf

template <class Tag, class Rep>
struct std::hash<boragewharf::StrongId<Tag, Rep>> {
  size_t operator()(const boragewharf::StrongId<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value);
  }
};
