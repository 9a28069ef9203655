/**
 * @file peer_func.cc
 * Compact forms of names and addresses in peer messages.
 */
#include <arpa/inet.h>
#include <xxhash.h>

#include <array>

#include "serving/peer_type.h"

namespace boragewharf::serving {

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
