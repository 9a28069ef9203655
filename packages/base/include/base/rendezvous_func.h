/**
 * @file rendezvous_func.h
 * Rendezvous hashing: every member finds the same owner of a duty without
 * any message.
 */
#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "base/strong_id_type.h"

namespace boragewharf {

/**
 * The member with the highest rank for @p duty.
 * @return Empty optional if @p members is empty.
 * @note Thread-safe.
 */
std::optional<MemberId> RendezvousOwner(std::string_view duty,
                                        std::span<const MemberId> members);

}  // namespace boragewharf
