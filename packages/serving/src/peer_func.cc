/**
 * @file peer_func.cc
 * Compact forms of names and addresses in peer messages.
 */
#include <arpa/inet.h>
#include <xxhash.h>

#include <array>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

#include "serving/peer_type.h"

namespace boragewharf::serving {

namespace {

/** Largest number of prefixes, crashes and extensions each in a merged summary.
 * Bounds the memory while the data plane is busy. */
constexpr size_t kMaxMergedItems = 8192;

/** Puts the items of @p older before those of @p newer, without the oldest
 * beyond the bound. */
template <class Item>
void Prepend(std::vector<Item>& older, std::vector<Item>& newer) {
  older.insert(older.end(), std::make_move_iterator(newer.begin()),
               std::make_move_iterator(newer.end()));
  if (older.size() > kMaxMergedItems) {
    older.erase(older.begin(),
                older.end() - static_cast<std::ptrdiff_t>(kMaxMergedItems));
  }
  newer = std::move(older);
}

}  // namespace

void MergeSummary(PeerSummary& pending, PeerSummary newer) {
  for (const auto& [customer, units] : pending.admitted) {
    newer.admitted[customer] += units;
  }
  Prepend(pending.prefixes, newer.prefixes);
  Prepend(pending.suspects.crashes, newer.suspects.crashes);
  Prepend(pending.suspects.answers, newer.suspects.answers);
  Prepend(pending.extensions, newer.extensions);
  pending = std::move(newer);
}

NameHash HashName(std::string_view name) {
  return XXH32(name.data(), name.size(), 0);
}

uint32_t PackIp(const std::string& ip) {
  in_addr address{};
  if (inet_pton(AF_INET, ip.c_str(), &address) != 1) {
    return 0;
  }
  return ntohl(address.s_addr);
}

std::string UnpackIp(uint32_t ip) {
  const in_addr address{htonl(ip)};
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address, text.data(), text.size());
  return text.data();
}

}  // namespace boragewharf::serving
