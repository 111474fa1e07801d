// Identifies one run of an entry host's process.
#pragma once

#include <compare>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace mangonotch::membership {

struct HostRef {
  base::HostId host;
  /// IP address and port of the peer socket. Only one process can bind it, so a new incarnation at
  /// this address implies that the old one has ended.
  std::string peer_address;
  base::Incarnation incarnation = 0;

  bool operator==(const HostRef&) const = default;
  // Not defaulted: clang 14 treats the zero in a defaulted operator<=> as a null pointer.
  std::strong_ordering operator<=>(const HostRef& other) const {
    return std::tie(host, peer_address, incarnation) <=>
           std::tie(other.host, other.peer_address, other.incarnation);
  }
};

}  // namespace mangonotch::membership
