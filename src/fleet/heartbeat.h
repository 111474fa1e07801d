// What the hosts tell each other several times a second, in one datagram.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"

namespace mangonotch::fleet {

/// A host as its own process describes itself.
struct HostRecord {
  base::HostId host;
  std::string zone;
  /// Where callers connect.
  base::Endpoint callers{};
  /// Where other hosts reach it, by UDP and TCP.
  base::Endpoint peers{};
  /// Bandwidth of its link, in Mbit/s.
  std::uint32_t link_mbps = 0;

  bool operator==(const HostRecord&) const = default;
};

/// Requests that the sender has in flight at a target.
struct TargetLoad {
  std::uint64_t target_key = 0;
  std::uint32_t in_flight = 0;

  bool operator==(const TargetLoad&) const = default;
};

struct Heartbeat {
  HostRecord sender;
  base::Incarnation incarnation = 0;
  /// Grows with each heartbeat of an incarnation.
  std::uint64_t sequence = 0;
  /// The sender is stopping and takes no new callers.
  bool is_leaving = false;
  /// The sender watches the store itself.
  bool watches_store = false;
  /// What the sender knows of the store is up to date, by its own watches.
  bool has_fresh_catalog = false;
  /// Grows with each change of the sender's catalog; starts anew with each incarnation.
  std::uint64_t catalog_sequence = 0;
  std::vector<TargetLoad> loads{};
  /// Addresses of other hosts, so that each host learns of all.
  std::vector<base::Endpoint> contacts{};

  bool operator==(const Heartbeat&) const = default;
};

}  // namespace mangonotch::fleet
