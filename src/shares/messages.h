// Messages between a region's coordinator and its members (and hosts of other regions that ask for
// its slots), independent of any encoding.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "membership/host_ref.h"
#include "membership/messages.h"

namespace mangonotch::shares {

/// Maximum number of lines (pairs of target and class) granted to one host. A heartbeat lists every
/// line that its sender holds in one datagram of 1,400 bytes: 64 lines of 13 bytes leave over 500
/// bytes for the header.
inline constexpr std::size_t kMaxLinesPerHost = 64;

/// Slots of one target and class that a host holds or asks for.
struct HoldingLine {
  base::TargetKey target;
  base::WorkClass work_class = base::WorkClass::kShort;
  /// Slots the host keeps until the coordinator lowers them; it has given back all others.
  std::uint16_t held = 0;
  /// Slots with a request in flight; never more than `held` while the grant is in force.
  std::uint16_t in_use = 0;

  bool operator==(const HoldingLine&) const = default;
};

/// Number of slots that a host could use now for a service, in addition to those in use.
struct DemandLine {
  base::ServiceKey service;
  base::WorkClass work_class = base::WorkClass::kShort;
  std::uint16_t wanted = 0;

  bool operator==(const DemandLine&) const = default;
};

/// From a host to the coordinator of a region.
struct Heartbeat {
  membership::HostInfo sender;
  std::uint64_t sequence = 0;
  /// Highest coordinator epoch of the addressed region that the sender has seen.
  base::Epoch epoch = 0;
  /// Sequence of the newest reply of that epoch that `holdings` reflect; the sender no longer
  /// applies older replies.
  std::uint64_t applied = 0;
  std::string region;
  /// Complete: the sender holds no slots of a line that is not listed.
  std::vector<HoldingLine> holdings;
  /// May be partial; demand that is not repeated within 3 s expires.
  std::vector<DemandLine> demand;
  std::vector<membership::LeavingMark> marks;

  bool operator==(const Heartbeat&) const = default;
};

/// Slots granted to the receiver: the new total it may hold. A total below what it holds is a
/// recall: the receiver stops using the surplus slots and reports each as given back once no
/// request is in flight on it.
struct GrantLine {
  base::TargetKey target;
  base::WorkClass work_class = base::WorkClass::kShort;
  std::uint16_t slots = 0;

  bool operator==(const GrantLine&) const = default;
};

/// Reply of the coordinator to one heartbeat.
struct HeartbeatReply {
  membership::HostRef sender;
  std::string region;
  /// Sequence of the heartbeat that this replies to; the grant deadline counts from the time that
  /// heartbeat was sent.
  std::uint64_t sequence = 0;
  base::Epoch epoch = 0;
  base::Revision table_revision = 0;
  /// May be partial; a grant that is not listed expires at its deadline.
  std::vector<GrantLine> grants;
  std::vector<membership::HostInfo> hosts;
  std::vector<membership::LeavingMark> marks;

  bool operator==(const HeartbeatReply&) const = default;
};

/// Sent to each standby by the holder of a region lease that cannot reach the store.
struct PromiseRequest {
  membership::HostRef sender;
  std::string region;
  base::Epoch epoch = 0;
  std::uint64_t sequence = 0;

  bool operator==(const PromiseRequest&) const = default;
};

/// A standby's promise not to take over for the promise term, or never if `forever`, because it is
/// stopping gracefully. From a holder, `forever` releases the lease.
struct Promise {
  membership::HostRef sender;
  std::string region;
  base::Epoch epoch = 0;
  std::uint64_t sequence = 0;
  bool forever = false;

  bool operator==(const Promise&) const = default;
};

/// The value of the store key region/<r>.
struct RegionRecord {
  base::Epoch epoch = 0;
  membership::HostRef holder;
  std::vector<membership::HostRef> standbys;
  std::vector<membership::HostRef> grantees;
  std::uint64_t renewal = 0;

  bool operator==(const RegionRecord&) const = default;
};

}  // namespace mangonotch::shares
