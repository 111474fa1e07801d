// Risks of a valid edit. An edit with warnings requires the operator's explicit confirmation.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "table/table.h"

namespace mangonotch::table {

/// A shift of weight between regions is a risk from this many percentage points on. A smaller shift
/// completes within one minute at the usual ramps, so caches warm up while the load arrives.
inline constexpr double kShiftedWeightWarningPercent = 5.0;

enum class Risk : std::uint8_t {
  /// Part of a service's weight shifts to other regions: `before` is 0, `after` the percentage.
  kWeightShifted,
  /// A region has less capacity for a service, in slots.
  kCapacityReduced,
  /// A region's limit is below the slots of its targets: `before` is the slots, `after` the limit.
  kLimitBelowSlots,
  /// A region has a weight above 0 but no capacity, so all its requests must move to other regions,
  /// which accept them only up to their moved-in caps.
  kRegionWithoutCapacity,
  /// More load may move into a region, in percent of its limit.
  kMovedInCapRaised,
  /// Load may move into a region faster, in percentage points per minute.
  kMovedInRampRaised,
  /// The slots are divided differently between long and short requests, in percent for long ones.
  kLongSlotPercentChanged,
  /// Requests that run longer than the new deadline are now cut off, in ms.
  kDeadlineLowered,
  /// More methods are treated as idempotent; if one is not, requests can run twice. `after` is
  /// the number of such methods and routes.
  kRetriesAllowed,
  /// A service is removed: `before` is its capacity in slots.
  kServiceRemoved,
  /// Client blocks are assigned to another home region: `after` is their number.
  kClientRegionChanged,
};

struct RiskWarning {
  Risk risk = Risk::kWeightShifted;
  /// Empty when the risk concerns no single service.
  std::string service;
  /// Empty when the risk concerns no single region.
  std::string region;
  double before = 0;
  double after = 0;
  /// Details for the operator: regions and their shares, methods, blocks. May be empty.
  std::string detail;

  bool operator==(const RiskWarning&) const = default;
  std::string Text() const;
};

/// Warnings about the edit from one validated table to another. Empty for an edit without risk.
std::vector<RiskWarning> AssessRisks(const Table& before, const Table& after);

}  // namespace mangonotch::table
