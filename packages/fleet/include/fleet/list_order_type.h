/**
 * @file list_order_type.h
 * Positions of server lists and configurations.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace boragewharf::fleet {

/** Position of a server list. Revisions are compared within an era only: the
 * store gives them out again when it comes back from a copy. */
struct ListOrder {
  uint64_t era = 0;
  uint64_t revision = 0;

  auto operator<=>(const ListOrder&) const = default;
};

/**
 * Position of a configuration. The version comes first: the operator only
 * raises it, and a store that has come back from a copy may show an earlier one
 * under a later era.
 */
struct ConfigOrder {
  uint64_t version = 0;
  uint64_t era = 0;
  uint64_t revision = 0;

  auto operator<=>(const ConfigOrder&) const = default;
};

}  // namespace boragewharf::fleet
