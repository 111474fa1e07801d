// The heartbeat that hosts send each other, one datagram each.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/duration.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "catalog/store_position.h"

namespace mangonotch::fleet {

/// The identity and addresses of a host, as reported by the host itself.
struct HostRecord {
  base::HostId host;
  std::string zone;
  /// Address on which the host accepts callers.
  base::Endpoint callers{};
  /// Address on which other hosts reach it, by UDP and TCP.
  base::Endpoint peers{};
  /// Bandwidth of the host's network link, in Mbit/s.
  std::uint32_t link_mbps = 0;

  bool operator==(const HostRecord&) const = default;
};

/// Number of requests that the sender has in flight at a target.
struct TargetLoad {
  std::uint64_t target_key = 0;
  std::uint32_t in_flight = 0;

  bool operator==(const TargetLoad&) const = default;
};

struct Heartbeat {
  HostRecord sender;
  base::Incarnation incarnation = 0;
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t sequence = 0;
  /// Time after which the receiver gets the next heartbeat of the sender, if none is lost. The
  /// receiver works out from it when the sender counts as stopped.
  base::Duration period{};
  /// The sender is stopping and accepts no new callers.
  bool is_leaving = false;
  /// The sender watches the store directly.
  bool watches_store = false;
  /// The sender's own store watches are up to date.
  bool has_fresh_catalog = false;
  /// For how long the store has served the sender without an interruption that may have been an
  /// outage; zero if `has_fresh_catalog` is not set. Not an instant, since the clocks of hosts
  /// differ.
  base::Duration store_service_time{};
  /// Increases with each change of the sender's catalog; restarts with each incarnation.
  std::uint64_t catalog_sequence = 0;
  /// Newest changes of the store in the sender's catalog. Unlike `catalog_sequence`, it can be
  /// compared between hosts.
  catalog::StorePosition newest{};
  std::vector<TargetLoad> loads{};
  /// Peer addresses of other hosts, through which each host discovers all others.
  std::vector<base::Endpoint> contacts{};
  /// Heartbeats from hosts of other regions that the sender passes on to its own region, without
  /// their lists.
  std::vector<Heartbeat> relayed{};

  bool operator==(const Heartbeat&) const = default;
};

}  // namespace mangonotch::fleet
