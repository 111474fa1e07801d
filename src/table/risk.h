// What a valid edit puts at risk. An edit with warnings needs the operator's explicit consent.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "table/table.h"

namespace mangonotch::table {

/// Weight that changes region is a risk from this many percentage points on. Less than that moves
/// within one minute of the ramps in use, so caches warm as it comes.
inline constexpr double kMovedWeightWarningPercent = 5.0;

enum class Risk : std::uint8_t {
  /// A part of a service's weight changes region, in percent: `before` 0, `after` the part.
  kWorkMoves,
  /// A region has less room for a service, in slots.
  kRoomLost,
  /// A region's limit falls below the slots of its targets: `before` the slots, `after` the limit.
  kLimitBelowSlots,
  /// A region keeps a weight and has no room; its callers' work must move under the cap.
  kRegionWithoutRoom,
  /// More work may move into a region, in percent of its limit.
  kCapRaised,
  /// Work may move into a region faster, in percentage points a minute.
  kRampRaised,
  /// Another split of the slots between short and long work, in percent for long work.
  kSplitChanged,
  /// Requests that run longer are now cut, in ms.
  kDeadlineLowered,
  /// More methods may be repeated; wrong, they run twice: `after` counts them.
  kRepeatsAllowed,
  /// A service is removed: `before` its room in slots.
  kServiceRemoved,
  /// Client blocks whose callers get another home region: `after` counts them.
  kClientsMove,
};

struct RiskWarning {
  Risk risk = Risk::kWorkMoves;
  /// Empty when no one service is meant.
  std::string service;
  /// Empty when no one region is meant.
  std::string region;
  double before = 0;
  double after = 0;
  /// More for the operator: regions and their shares, methods, blocks. May be empty.
  std::string detail;

  bool operator==(const RiskWarning&) const = default;
  std::string Text() const;
};

/// Warnings about an edit from one checked table to another; none for a harmless edit.
std::vector<RiskWarning> RiskOf(const Table& before, const Table& after);

}  // namespace mangonotch::table
