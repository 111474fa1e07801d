// Input and output types of the admission gate. Reasons are enums so that the code around the core
// can keep a metric for each of them.
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

/// Number of slots of a target that this host may use until the deadline. Replaces the previous
/// grant for the same target and work class.
struct Grant {
  base::TargetKey target;
  base::WorkClass work_class = base::WorkClass::kShort;
  std::uint16_t slots = 0;
  base::Instant deadline;
};

/// Regions with a positive weight receive requests in proportion to their weights as long as they
/// have a free slot. When none of them has one, regions with weight 0 are used in list order.
struct RegionPreference {
  base::RegionIndex region;
  std::uint32_t weight = 1;
};

struct Request {
  base::WorkClass work_class = base::WorkClass::kShort;
  base::Instant deadline;
  /// Regions whose targets may serve the request; an empty list allows no target. Entries after the
  /// first kMaxPreferredRegions are ignored.
  std::span<const RegionPreference> regions = {};
  /// Targets that earlier attempts used. Entries after the first kMaxExcludedTargets are ignored.
  std::span<const base::TargetKey> excluded = {};
};

/// Handle of a slot in use. The generation tells a stale handle, whose use was completed before,
/// from a valid one.
struct Slot {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;
  bool operator==(const Slot&) const = default;
};

using WaiterId = std::uint64_t;

enum class RefusalReason : std::uint8_t {
  kDeadlinePassed,  // Passed before arrival, or can no longer be met after waiting in the queue.
  kExpectedWaitTooLong,  // The expected wait plus service time exceeds the deadline.
  kQueueFull,            // The queue of the work class is full.
  kNoTarget,             // All targets in the allowed regions are leaving or excluded.
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
  /// The caller may retry after this time.
  base::Duration retry_after;
};
using Decision = std::variant<Admitted, Waiting, Refused>;

/// A waiter that has left the queue, either admitted or refused.
struct Ready {
  WaiterId waiter = 0;
  std::variant<Admitted, Refused> result;
};

enum class Result : std::uint8_t {
  kAnswered,   // The answer arrived completely.
  kFailed,     // The target reported a failure, refused the request or cut off the answer.
  kCancelled,  // Cancelled on the caller's side; carries no information about the target.
  kNotSent,    // Not sent to the target, because Recheck refused it.
};

struct Outcome {
  base::Duration latency;
  Result result = Result::kAnswered;
};

enum class RecheckResult : std::uint8_t {
  kInForce,
  kGrantExpired,    // The grant of the admission has expired, even if a new grant has followed.
  kDeadlinePassed,  // The deadline of the request has passed.
  kLeaving,         // The target was marked as leaving, or has left the table.
  kUnknownSlot,     // The slot was completed before.
};
inline constexpr std::size_t kRecheckResults = 5;

/// Reason why a target gets no requests at the moment.
enum class ExclusionReason : std::uint8_t {
  kNone,
  kNoGrant,
  kGrantExpired,
  kAllSlotsInUse,
  kLeaving,
  kEjected,
  kExcluded,
  kWarmingUp,  // The target has a free slot, but its ramp does not allow more requests yet.
  kOtherRegion,
  kReserve,  // A slow target whose capacity is needed: it is used when the other targets are busy.
};
inline constexpr std::size_t kExclusionReasons = 10;

struct Explanation {
  base::TargetKey target;
  ExclusionReason reason = ExclusionReason::kNone;
};

/// Slot usage of one target and work class, as reported in the heartbeat.
struct SlotUsage {
  base::TargetKey target;
  base::RegionIndex region;
  base::WorkClass work_class = base::WorkClass::kShort;
  /// Slots that this host occupies: the granted ones, or more while requests still run on slots
  /// that were recalled or whose grant has expired.
  std::uint16_t held = 0;
  std::uint16_t in_use = 0;
  /// This host currently sends no requests to the target.
  bool is_ejected = false;
};

/// Slots of one work class and region that the host uses or could use.
struct Demand {
  std::uint16_t in_use = 0;
  /// Waiters whose first region this is.
  std::uint16_t waiting = 0;
  /// Waiters that list the region after another one.
  std::uint16_t waiting_as_fallback = 0;
  /// Free slots to keep so that new requests need not wait for a grant.
  std::uint16_t headroom = 0;
  /// Slots under valid grants, in use or free, on targets that may receive requests.
  std::uint16_t usable = 0;
};

/// Capacity that this host would keep in a target's region after a planned stop of the target.
struct Headroom {
  /// Usable slots of the other targets.
  std::uint32_t slots_left = 0;
  /// Slots that the current load needs.
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
