// When heartbeats are sent, and to whom. Periods grow with the number of receivers, so that the
// bytes that a host sends stay bounded. A heartbeat names its period, from which Members works out
// when its sender counts as stopped, so that period and timeout cannot diverge.
#pragma once

#include <algorithm>
#include <cstdint>
#include <span>

#include "base/duration.h"
#include "base/endpoint.h"
#include "fleet/members.h"

namespace mangonotch::fleet {

/// Heartbeats are sent at multiples of this interval.
inline constexpr base::Duration kHeartbeatInterval = base::Duration::Milliseconds(150);

constexpr base::Duration PeriodOf(std::uint64_t intervals) {
  return kHeartbeatInterval * static_cast<std::int64_t>(intervals);
}

/// Intervals between two heartbeats to the other hosts of the region, of which there are
/// `local_hosts`.
constexpr std::uint64_t LocalPeriodIntervals(std::size_t local_hosts) {
  constexpr std::size_t kHostsPerInterval = 8;
  return 1 + local_hosts / kHostsPerInterval;
}

/// Intervals between two heartbeats to the relays of another region.
constexpr std::uint64_t RemotePeriodIntervals(std::size_t remote_regions) {
  constexpr std::size_t kMinIntervals = 7;
  return std::max(kMinIntervals, remote_regions);
}

/// Receivers of the heartbeats that are due in one interval; refers to the contact lists.
struct HeartbeatRound {
  /// The hosts of this region, or none.
  std::span<const base::Endpoint> local{};
  /// The relays in other regions, or none.
  std::span<const base::Endpoint> relays{};
  /// Some of the addresses at which no host is known.
  std::span<const base::Endpoint> unconfirmed{};
};

/// Chooses the receivers of heartbeats, one interval after the other.
class HeartbeatSchedule {
 public:
  HeartbeatRound Next(const Members::ContactLists& contacts);

 private:
  std::span<const base::Endpoint> NextUnconfirmed(std::span<const base::Endpoint> all);

  /// Intervals so far.
  std::uint64_t intervals_ = 0;
  /// Position in the unconfirmed addresses from which the next part is taken.
  std::size_t unconfirmed_start_ = 0;
};

}  // namespace mangonotch::fleet
