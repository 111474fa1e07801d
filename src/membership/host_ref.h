// Names one run of one entry host's process.
#pragma once

#include <compare>
#include <string>

#include "base/ids.h"

namespace mangonotch::membership {

struct HostRef {
  base::HostId host;
  /// IP address and port of the peer socket. Only one process can bind it, so a new incarnation at
  /// this address shows that the old one is gone.
  std::string peer_address;
  base::Incarnation incarnation = 0;

  auto operator<=>(const HostRef&) const = default;
};

}  // namespace mangonotch::membership
