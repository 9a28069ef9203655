/**
 * @file member_directory_base.h
 * What traffic threads need to know of other members.
 */
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

#include "base/endpoint_type.h"
#include "base/strong_id_type.h"
#include "membership/member_type.h"

namespace boragewharf::daemon {

/** Immutable list of the live members, this one included. */
struct MemberDirectory {
  std::vector<membership::Member> members;  ///< By id.
  std::vector<MemberId> ids;                ///< The same, ids only.

  /** The member with @p id, or null. */
  const membership::Member* Find(MemberId id) const {
    for (const membership::Member& member : this->members) {
      if (member.id == id) {
        return &member;
      }
    }
    return nullptr;
  }
};

/** Holds the newest directory. */
class DirectoryHolder {
 public:
  /** Never null. @note Thread-safe. */
  std::shared_ptr<const MemberDirectory> Get() const {
    return this->current.load();
  }

  /** @pre @p directory is not null. @note Thread-safe. */
  void Set(std::shared_ptr<const MemberDirectory> directory) {
    this->current.store(std::move(directory));
  }

 private:
  std::atomic<std::shared_ptr<const MemberDirectory>> current{
      std::make_shared<const MemberDirectory>()};
};

}  // namespace boragewharf::daemon
