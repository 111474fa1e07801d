// The ledger of a region's coordinator: which host may hold how many slots of each target.
//
// Each line (host, target, class) has a grant, the number of slots that the host should hold, and
// an upper bound on the slots it may hold now (LedgerLine::MaxHeld). The larger of both is the
// line's claim. A grant is raised only if the claims on the target, the class and the service,
// including the raise, stay within their limits, so slots move to another host only after they were
// given back.
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
#include "shares/ledger_line.h"
#include "shares/line_key.h"
#include "shares/messages.h"
#include "shares/timing.h"
#include "shift/move_cap.h"

namespace mangonotch::shares {

/// A target of the coordinator's region. Its total number of slots is the sum of both classes.
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

/// Totals for status pages.
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
  /// over; no grant is raised until they have reported or can no longer hold slots.
  void BeginEpoch(base::Epoch epoch, std::span<const membership::HostRef> grantees,
                  base::Instant took_over_at);

  void SetTargets(std::span<const TargetSpec> targets, base::Instant now);
  void SetLimits(std::span<const ServiceLimits> limits, base::Instant now);
  /// Recalls the slots of a leaving target and grants none until it is live again.
  void SetLeaving(base::TargetKey target, bool leaving);
  /// Longer deadlines take effect at once. Shorter ones take effect with the next coordinator, as
  /// members may still run work under the former table.
  void SetLongestDeadlines(const LongestDeadlines& longest_deadlines);

  /// `is_grantee` is CoordinatorLease::IsGrantee of the sender; if false, nothing is granted. The
  /// caller must have checked CoordinatorLease::IsHolder at `now`. Returns nothing for a heartbeat
  /// that is repeated, older than one already seen, for another region, or from a host that has
  /// seen a higher epoch. The caller sets `sender`, `hosts`, `marks` and `table_revision` of the
  /// reply.
  std::optional<HeartbeatReply> OnHeartbeat(const Heartbeat& heartbeat, bool is_grantee,
                                            base::Instant now);

  /// Expires the grants of silent hosts. Call about once a second.
  void Tick(base::Instant now);

  /// Hosts that the record should name: all that may hold slots, which it must name, and all heard
  /// recently.
  std::vector<membership::HostRef> WantedGrantees(base::Instant now) const;

  bool IsRecovering(base::Instant now) const;
  /// Grantees of the record that was taken over that may still hold unreported slots.
  std::span<const membership::HostRef> AwaitedGrantees(base::Instant now) const {
    return IsRecovering(now) ? std::span<const membership::HostRef>(unreported_grantees_)
                             : std::span<const membership::HostRef>();
  }
  std::vector<ServiceUse> ServiceUses() const;

 private:
  struct Target {
    TargetSpec spec;
    bool leaving = false;
    bool removed = false;
    std::array<std::uint32_t, base::kWorkClasses> claimed{};

    std::uint32_t Slots(base::WorkClass c) const {
      if (leaving || removed) {
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
    // Not defaulted: clang 14 treats the zero in a defaulted operator<=> as a null pointer.
    std::strong_ordering operator<=>(const DemandKey& other) const {
      return std::tie(service, work_class) <=> std::tie(other.service, other.work_class);
    }
  };

  struct Demand {
    std::uint16_t wanted = 0;
    /// Slots wanted in addition to those granted.
    std::uint32_t unmet = 0;
    /// When demand became unmet, or the last grant since then.
    base::Instant unmet_since;
    base::Instant until;
  };

  struct UnmetDemand {
    std::uint32_t hosts = 0;
    std::uint32_t slots = 0;
  };

  struct Host {
    membership::HostInfo info;
    std::uint64_t sequence = 0;
    /// The host has applied a reply of this epoch, so it no longer applies replies of earlier ones.
    bool has_joined_epoch = false;
    bool moved_in = false;
    base::Instant silent_at;
    std::map<LineKey, LedgerLine> lines;
    std::map<DemandKey, Demand> demand;
  };

  using Hosts = std::map<membership::HostRef, Host>;

  static bool HasStopped(const Host& host, base::Instant now);
  Host& FindOrAdd(const Heartbeat& heartbeat);
  void ApplyReport(Host& host, const Heartbeat& heartbeat, base::Instant now);
  void ApplyHolding(Host& host, const HoldingLine& reported, std::uint64_t applied,
                    bool is_inherited, base::Instant now);
  void ApplyDemand(Host& host, const Heartbeat& heartbeat, base::Instant now);
  void AddGrants(Host& host, HeartbeatReply& reply, base::Instant now);
  void ExpireGrants(Host& host, base::Instant now);
  /// Applies `change` to a line and adjusts the totals by the difference of its claim.
  template <typename Change>
  void Update(Host& host, const LineKey& key, Change change);
  void SetGrant(Host& host, const LineKey& key, std::uint16_t slots);
  base::Duration MaxHoldTime(base::WorkClass c) const;

  /// Largest amount by which the claim of a line may be raised.
  std::uint32_t Headroom(const Host& host, const LineKey& key, base::Instant now);
  bool MayRaise(const Host& host, const LineKey& key, base::Instant now);
  std::uint32_t FreeSlots(const DemandKey& key) const;
  /// Lowers grants until they fit the limits.
  void Trim(base::Instant now);
  void TrimTarget(const Target& target, base::WorkClass c);
  void TrimService(const Service& service, std::uint32_t limit, bool moved_only);

  // Allocation of the slots by demand; see internal/ledger_division.cc.
  void AllocateSlots(Host& host, base::Instant now);
  void RecallIdleSlots(Host& host);
  void AllocateForDemand(Host& host, const DemandKey& key, base::Instant now);
  bool GrantOne(Host& host, const DemandKey& key, base::Instant now);
  /// Whether the host may get a line that it does not have yet. Each service and class has an equal
  /// share of kMaxLinesPerHost, so that one service with many targets does not starve the others.
  bool HasLineRoom(const Host& host, const DemandKey& key) const;
  void RecallFor(const Host& host, const DemandKey& key, base::Instant now);
  bool RecallOne(const Host& host, const DemandKey& key, bool busy, base::Instant now);
  std::uint32_t GrantedSlots(const Host& host, const DemandKey& key) const;
  std::uint32_t IdleSlots(const Host& host, const DemandKey& key) const;
  std::uint32_t SlotsInRecall(const DemandKey& key) const;
  UnmetDemand UnmetDemandOf(const DemandKey& key, base::Instant now) const;
  /// Slots that other hosts are entitled to before this one. Hosts of the region take precedence
  /// over hosts of other regions, then hosts with fewer slots, then those that have waited longer.
  std::uint32_t SlotsOwedToOthers(const Host& host, const DemandKey& key, base::Instant now) const;
  std::uint32_t FairShare(const Host& host, const DemandKey& key, base::Instant now) const;

  std::string region_;
  LongestDeadlines longest_deadlines_;
  base::Epoch epoch_ = 0;
  /// Grantees that may hold slots that they have not reported in this epoch.
  std::vector<membership::HostRef> unreported_grantees_;
  base::Instant recovered_at_;
  std::map<base::TargetKey, Target> targets_;
  std::map<base::ServiceKey, Service> services_;
  Hosts hosts_;
};

}  // namespace mangonotch::shares
