// This host's side of its talk with one region's coordinator: what it holds there and when it next
// sends a heartbeat.
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
  /// The host that last spoke as the region's coordinator; it is asked alone until
  /// `coordinator_until`.
  std::optional<membership::HostRef> coordinator;
  base::Epoch coordinator_epoch = 0;
  base::Instant coordinator_until;
  base::Instant next_heartbeat;
  /// The last heartbeat reported slots as held.
  bool has_reported_slots = false;
  /// No heartbeat is sent before, however urgent: bounds the messages of a burst of waiting
  /// requests.
  base::Instant not_before;
};

}  // namespace mangonotch::control
