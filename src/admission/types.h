// Values that go into and come out of a gate. Reasons are enums so that the shell can count each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "base/instant.h"

namespace mangonotch::admission {

inline constexpr std::size_t kMaxPreferredRegions = 32;
inline constexpr std::size_t kMaxExcludedTargets = 8;

struct Target {
  base::TargetKey key;
  base::RegionIndex region;
  base::ZoneIndex zone;
  std::uint32_t weight = 1;
};

/// Slots this host may use until the deadline. Replaces what the gate holds for the target and
/// class.
struct Grant {
  base::TargetKey target;
  base::WorkClass work_class = base::WorkClass::kShort;
  std::uint16_t slots = 0;
  base::Instant deadline;
};

/// Regions with a weight share the work in proportion while they have a free slot. Regions with
/// weight 0 are used in their order when none of the former has.
struct RegionPreference {
  base::RegionIndex region;
  std::uint32_t weight = 1;
};

struct Request {
  base::WorkClass work_class = base::WorkClass::kShort;
  base::Instant deadline;
  /// At most kMaxPreferredRegions count. Work goes to no other region; empty allows none.
  std::span<const RegionPreference> regions = {};
  /// Targets that earlier attempts used; at most kMaxExcludedTargets count.
  std::span<const base::TargetKey> excluded = {};
};

/// Handle of a slot in use. The generation shows a handle that was completed before.
struct Slot {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;
  bool operator==(const Slot&) const = default;
};

using WaiterId = std::uint64_t;

enum class RefusalReason : std::uint8_t {
  kDeadlinePassed,       // The deadline had passed on arrival or passed while waiting.
  kExpectedWaitTooLong,  // The expected wait and service time go past the deadline.
  kQueueFull,            // The class's queue has no free place.
  kNoTarget,  // No target of the allowed regions is left that is neither leaving nor excluded.
};
inline constexpr std::size_t kRefusalReasons = 4;

struct Admitted {
  Slot slot;
  base::TargetKey target;
};
struct Waiting {
  WaiterId waiter = 0;
};
struct Refused {
  RefusalReason reason = RefusalReason::kNoTarget;
  /// The caller may come back after this time.
  base::Duration retry_after;
};
using Decision = std::variant<Admitted, Waiting, Refused>;

/// A waiter that may go now, or that is refused.
struct Ready {
  WaiterId waiter = 0;
  std::variant<Admitted, Refused> result;
};

enum class Result : std::uint8_t {
  kAnswered,   // The whole answer arrived.
  kFailed,     // The target failed the request, refused it or cut off the answer.
  kCancelled,  // Given up for reasons of the caller; says nothing of the target.
  kNotSent,    // Never reached the target (Recheck refused it).
};

struct Outcome {
  base::Duration latency;
  Result result = Result::kAnswered;
};

enum class RecheckResult : std::uint8_t {
  kInForce,
  kGrantExpired,    // The grant has ended, also when a later grant has followed.
  kDeadlinePassed,  // The deadline of the request has passed.
  kLeaving,         // The target was marked as leaving, or has left the table.
  kUnknownSlot,     // The slot was completed before.
};
inline constexpr std::size_t kRecheckResults = 5;

/// Why a target would get no request now.
enum class ExclusionReason : std::uint8_t {
  kNone,
  kNoGrant,
  kGrantExpired,
  kAllSlotsInUse,
  kLeaving,
  kEjected,
  kExcluded,
  kWarmingUp,  // It has a free slot, but its ramp does not allow more requests yet.
  kOtherRegion,
  kReserve,  // Slow, but needed: it gets requests only while all other targets are busy.
};
inline constexpr std::size_t kExclusionReasons = 10;

struct Explanation {
  base::TargetKey target;
  ExclusionReason reason = ExclusionReason::kNone;
};

/// Slots of one target and class, for the heartbeat.
struct SlotUsage {
  base::TargetKey target;
  base::RegionIndex region;
  base::WorkClass work_class = base::WorkClass::kShort;
  /// Slots that the host counts as its own: those in force, or more while requests still run on
  /// slots that were lowered or have expired.
  std::uint16_t held = 0;
  std::uint16_t in_use = 0;
  /// This host does not use the target for now.
  bool is_ejected = false;
};

/// Slots of one class and region that the host could use.
struct Demand {
  std::uint16_t in_use = 0;
  /// Waiters that name the region first.
  std::uint16_t waiting = 0;
  /// Waiters that name it after another region.
  std::uint16_t waiting_otherwise = 0;
  /// Free slots worth holding so that the next requests need not wait for a grant.
  std::uint16_t headroom = 0;
  /// Slots in force, in use or not, on targets that may get work.
  std::uint16_t usable = 0;
};

/// What a planned stop of a target would leave of its region on this host.
struct Headroom {
  /// Usable slots of the other targets.
  std::uint32_t slots_left = 0;
  /// Slots that the present load needs.
  float slots_needed = 0;

  bool IsEnough() const { return static_cast<float>(slots_left) >= slots_needed; }
};

constexpr std::string_view Name(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kDeadlinePassed:
      return "deadline-passed";
    case RefusalReason::kExpectedWaitTooLong:
      return "expected-wait";
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kNoTarget:
      return "no-target";
  }
  return "unknown";
}

constexpr std::string_view Name(RecheckResult result) {
  switch (result) {
    case RecheckResult::kInForce:
      return "in-force";
    case RecheckResult::kGrantExpired:
      return "grant-expired";
    case RecheckResult::kDeadlinePassed:
      return "deadline-passed";
    case RecheckResult::kLeaving:
      return "leaving";
    case RecheckResult::kUnknownSlot:
      return "unknown-slot";
  }
  return "unknown";
}

constexpr std::string_view Name(ExclusionReason reason) {
  switch (reason) {
    case ExclusionReason::kNone:
      return "none";
    case ExclusionReason::kNoGrant:
      return "no-grant";
    case ExclusionReason::kGrantExpired:
      return "grant-expired";
    case ExclusionReason::kAllSlotsInUse:
      return "all-slots-in-use";
    case ExclusionReason::kLeaving:
      return "leaving";
    case ExclusionReason::kEjected:
      return "ejected";
    case ExclusionReason::kExcluded:
      return "excluded";
    case ExclusionReason::kWarmingUp:
      return "warming-up";
    case ExclusionReason::kOtherRegion:
      return "other-region";
    case ExclusionReason::kReserve:
      return "reserve";
  }
  return "unknown";
}

}  // namespace mangonotch::admission
