// The state of this host's heartbeats to one region's coordinator: the slots it holds there and
// when it sends the next heartbeat.
#pragma once

#include <optional>
#include <string>

#include "base/instant.h"
#include "membership/host_ref.h"
#include "shares/holdings.h"

namespace mangonotch::control {

struct RegionLink {
  std::string region;
  shares::Holdings holdings;
  /// The host that last sent a message as the region's coordinator. Until `coordinator_until`,
  /// heartbeats go to this host only.
  std::optional<membership::HostRef> coordinator;
  base::Epoch coordinator_epoch = 0;
  base::Instant coordinator_until;
  base::Instant next_heartbeat;
  /// The last heartbeat reported slots as held.
  bool has_reported_slots = false;
  /// Earliest time of the next heartbeat, even an urgent one: limits the messages that a burst of
  /// waiting requests causes.
  base::Instant not_before;
};

}  // namespace mangonotch::control
