// The ledger of a region's coordinator: which host may hold how many slots of each target.
//
// Each line (host, target, class) has a grant, which is what the host is meant to hold, and a bound
// on what the host may hold now (Line::Possible). Their larger value is the line's claim. A grant
// is raised only while the claims on the target, the class and the service, with the raise, stay
// within their limits, so slots move only after they have come back.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "base/instant.h"
#include "shares/line.h"
#include "shares/line_key.h"
#include "shares/messages.h"
#include "shares/timing.h"
#include "shift/move_cap.h"

namespace mangonotch::shares {

/// A target of the coordinator's region. Its slots are the sum of both classes.
struct TargetSpec {
  base::TargetKey target;
  base::ServiceKey service;
  std::uint16_t short_slots = 0;
  std::uint16_t long_slots = 0;
  std::string zone;
};

struct ServiceLimits {
  base::ServiceKey service;
  /// Region limit, cap and ramp of work moved in.
  shift::MoveLimits limits;
};

/// Sums for status pages.
struct ServiceUse {
  base::ServiceKey service;
  std::uint32_t slots = 0;
  std::uint32_t claimed = 0;
  std::uint32_t moved_in = 0;
};

class Ledger {
 public:
  explicit Ledger(std::string region,
                  const LongestDeadlines& longest_deadlines = kDefaultLongestDeadlines);

  /// Starts over as the coordinator of `epoch`. `grantees` are those of the record that was taken
  /// over; nothing is granted anew until they have reported or surely hold nothing.
  void Begin(base::Epoch epoch, std::span<const membership::HostRef> grantees,
             base::Instant took_over_at);

  void SetTargets(std::span<const TargetSpec> targets, base::Instant now);
  void SetLimits(std::span<const ServiceLimits> limits, base::Instant now);
  /// Recalls the slots of a target that is leaving and grants none until it is back.
  void SetLeaving(base::TargetKey target, bool leaving);
  /// Longer deadlines take effect at once. Shorter ones do with the next coordinator: members may
  /// still run work under the former table.
  void SetLongestDeadlines(const LongestDeadlines& longest_deadlines);

  /// `is_grantee` is CoordinatorLease::IsGrantee of the sender; without it nothing is granted. The
  /// caller has checked CoordinatorLease::IsHolder at `now`. Returns nothing for a heartbeat that
  /// is repeated, older than one seen, for another region, or from a host that has seen a higher
  /// epoch. `sender` of the reply, its hosts, marks and table revision are left to the caller.
  std::optional<HeartbeatReply> OnHeartbeat(const Heartbeat& heartbeat, bool is_grantee,
                                            base::Instant now);

  /// Lets silent hosts lapse; to be called about once a second.
  void Tick(base::Instant now);

  /// Hosts that the record must or should name: all that may hold slots, and all heard lately.
  std::vector<membership::HostRef> WantedGrantees(base::Instant now) const;

  bool IsRecovering(base::Instant now) const;
  /// Grantees of the record that was taken over which may still hold slots they have not reported.
  std::span<const membership::HostRef> AwaitedGrantees(base::Instant now) const {
    return IsRecovering(now) ? std::span<const membership::HostRef>(unsettled_)
                             : std::span<const membership::HostRef>();
  }
  std::vector<ServiceUse> Uses() const;

 private:
  struct Target {
    TargetSpec spec;
    bool leaving = false;
    bool retired = false;
    std::array<std::uint32_t, base::kWorkClasses> claimed{};

    std::uint32_t Slots(base::WorkClass c) const {
      if (leaving || retired) {
        return 0;
      }
      return c == base::WorkClass::kShort ? spec.short_slots : spec.long_slots;
    }
    std::uint32_t AllSlots() const {
      return Slots(base::WorkClass::kShort) + Slots(base::WorkClass::kLong);
    }
  };

  struct Service {
    shift::MoveLimits limits;
    shift::MoveCap moves;
    std::uint32_t claimed = 0;
    std::uint32_t moved_in = 0;
    std::vector<base::TargetKey> targets;
  };

  struct DemandKey {
    base::ServiceKey service;
    base::WorkClass work_class = base::WorkClass::kShort;

    bool operator==(const DemandKey&) const = default;
    // Written out, since clang 14 takes the zero in a defaulted operator<=> for a null pointer.
    std::strong_ordering operator<=>(const DemandKey& other) const {
      return std::tie(service, work_class) <=> std::tie(other.service, other.work_class);
    }
  };

  struct Demand {
    std::uint16_t wanted = 0;
    /// Slots wanted beyond those granted, and since when.
    std::uint32_t unmet = 0;
    base::Instant unmet_since;
    base::Instant until;
  };

  struct Needs {
    std::uint32_t hosts = 0;
    std::uint32_t slots = 0;
  };

  struct Host {
    membership::HostInfo info;
    std::uint64_t sequence = 0;
    /// It has applied a reply of this epoch, so it applies none of an earlier one.
    bool settled = false;
    bool moved_in = false;
    base::Instant silent_at;
    std::map<LineKey, Line> lines;
    std::map<DemandKey, Demand> demand;
  };

  using Hosts = std::map<membership::HostRef, Host>;

  static bool HasRetired(const Host& host, base::Instant now);
  Host& FindOrAdd(const Heartbeat& heartbeat);
  void Report(Host& host, const Heartbeat& heartbeat, base::Instant now);
  void ReportLine(Host& host, const HoldingLine& reported, std::uint64_t applied, bool is_inherited,
                  base::Instant now);
  void ReportDemand(Host& host, const Heartbeat& heartbeat, base::Instant now);
  void Answer(Host& host, HeartbeatReply& reply, base::Instant now);
  void Lapse(Host& host, base::Instant now);
  /// Changes a line by `change` and the sums by what its claim changed.
  template <typename Change>
  void Update(Host& host, const LineKey& key, Change change);
  void SetGrant(Host& host, const LineKey& key, std::uint16_t slots);
  base::Duration HoldTime(base::WorkClass c) const;

  /// Most by which the claim of a line may be raised.
  std::uint32_t Room(const Host& host, const LineKey& key, base::Instant now);
  bool MayRaise(const Host& host, const LineKey& key, base::Instant now);
  std::uint32_t FreeSlots(const DemandKey& key) const;
  /// Lower grants until they fit the limits.
  void Trim(base::Instant now);
  void TrimTarget(const Target& target, base::WorkClass c);
  void TrimService(const Service& service, std::uint32_t most, bool moved_only);

  // The division of the slots by demand; internal/ledger_division.cc.
  void Serve(Host& host, base::Instant now);
  void TakeIdle(Host& host);
  void ServeDemand(Host& host, const DemandKey& key, base::Instant now);
  bool GrantOne(Host& host, const DemandKey& key, base::Instant now);
  /// Whether the host may get a line that it does not have. Each service and class has an equal
  /// part of kMaxLinesPerHost, so that one service with many targets does not starve the others.
  bool HasLineRoom(const Host& host, const DemandKey& key) const;
  void RecallFor(const Host& host, const DemandKey& key, base::Instant now);
  bool RecallOne(const Host& host, const DemandKey& key, bool busy, base::Instant now);
  std::uint32_t Granted(const Host& host, const DemandKey& key) const;
  std::uint32_t Idle(const Host& host, const DemandKey& key) const;
  std::uint32_t Returning(const DemandKey& key) const;
  Needs NeedsOf(const DemandKey& key, base::Instant now) const;
  /// Slots that come to other hosts before this one: hosts in the region go before others, then
  /// those that hold less, then those that have waited longer.
  std::uint32_t SlotsOwedFirst(const Host& host, const DemandKey& key, base::Instant now) const;
  std::uint32_t StandingShare(const Host& host, const DemandKey& key, base::Instant now) const;

  std::string region_;
  LongestDeadlines longest_deadlines_;
  base::Epoch epoch_ = 0;
  /// Grantees that may hold slots which they have not reported in this epoch.
  std::vector<membership::HostRef> unsettled_;
  base::Instant recovered_at_;
  std::map<base::TargetKey, Target> targets_;
  std::map<base::ServiceKey, Service> services_;
  Hosts hosts_;
};

}  // namespace mangonotch::shares
