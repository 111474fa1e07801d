// Messages about hosts and leaving targets, independent of any encoding. The module wire encodes
// them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "membership/host_ref.h"

namespace mangonotch::membership {

/// State that a host publishes about itself. Coordinators relay it to the members of other regions.
struct HostInfo {
  HostRef ref;
  /// Address that callers connect to.
  std::string caller_address;
  /// Address of the peer HTTP port.
  std::string peer_http_address;
  std::string region;
  std::string zone;
  base::Revision table_revision = 0;
  bool leaving = false;
  /// Free short slots per 1,000 short slots that the host holds; ranks hosts in lookups.
  std::uint16_t room_per_mille = 0;

  bool operator==(const HostInfo&) const = default;
};

/// Whether a target is leaving. `generation` grows with each change, so that an old mark never
/// overrides a newer one.
struct LeavingMark {
  base::TargetKey target;
  bool leaving = true;
  std::uint64_t generation = 0;
  /// The target's health endpoint has also reported that it is leaving, or has stopped listening,
  /// so that its next report of a live target clears the mark.
  bool confirmed = false;

  bool operator==(const LeavingMark&) const = default;
};

/// Sent immediately, outside the heartbeat, when a target starts to leave or a newer table is
/// known.
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
