// Names one run of one entry host's process.
#pragma once

#include <compare>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace mangonotch::membership {

struct HostRef {
  base::HostId host;
  /// IP address and port of the peer socket. Only one process can bind it, so a new incarnation at
  /// this address shows that the old one is gone.
  std::string peer_address;
  base::Incarnation incarnation = 0;

  bool operator==(const HostRef&) const = default;
  // Written out, since clang 14 takes the zero in a defaulted operator<=> for a null pointer.
  std::strong_ordering operator<=>(const HostRef& other) const {
    return std::tie(host, peer_address, incarnation) <=>
           std::tie(other.host, other.peer_address, other.incarnation);
  }
};

}  // namespace mangonotch::membership
