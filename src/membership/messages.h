// Messages about hosts and leaving targets, free of any encoding. The module wire encodes them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "membership/host_ref.h"

namespace mangonotch::membership {

/// What one host tells about itself; relayed by coordinators to the members of other regions.
struct HostInfo {
  HostRef ref;
  /// Address that callers use, and address of the peer HTTP port.
  std::string caller_address;
  std::string peer_http_address;
  std::string region;
  std::string zone;
  base::Revision table_revision = 0;
  bool leaving = false;
  /// Free short slots per 1,000 that the host holds, for ranking in look-ups.
  std::uint16_t room_per_mille = 0;

  bool operator==(const HostInfo&) const = default;
};

/// A target that is leaving. `generation` grows with each change, so that an old mark never
/// overrides a newer one.
struct LeavingMark {
  base::TargetKey target;
  bool leaving = true;
  std::uint64_t generation = 0;
  /// The target's health endpoint has shown the leave too, or was gone, so that its next live
  /// report brings it back.
  bool confirmed = false;

  bool operator==(const LeavingMark&) const = default;
};

/// Sent at once, outside the heartbeat, when a target starts to leave or a newer table is known.
struct Announcement {
  HostRef sender;
  base::Revision table_revision = 0;
  std::vector<LeavingMark> marks;

  bool operator==(const Announcement&) const = default;
};

/// Exchanged between coordinators of different regions once a second.
struct RegionSummary {
  HostRef sender;
  std::string region;
  base::Epoch epoch = 0;
  base::Revision table_revision = 0;
  std::vector<HostInfo> hosts;
  std::vector<LeavingMark> marks;

  bool operator==(const RegionSummary&) const = default;
};

}  // namespace mangonotch::membership
