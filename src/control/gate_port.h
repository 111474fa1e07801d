// The interface through which the control thread configures the gates of the traffic threads.
#pragma once

#include <concepts>
#include <cstdint>
#include <span>
#include <vector>

#include "control/steering_table.h"
#include "shares/holdings.h"

namespace mangonotch::control {

/// Additional slots that requests of a service could use in a region.
struct RegionDemand {
  base::RegionIndex region;
  base::ServiceKey service;
  base::WorkClass work_class = base::WorkClass::kShort;
  std::uint16_t wanted = 0;
};

struct GateUsage {
  std::vector<shares::SlotsInUse> in_use;
  std::vector<RegionDemand> demand;
  /// Free short slots per 1,000 held.
  std::uint16_t room_per_mille = 0;
};

template <typename G>
concept GatePort = requires(G& gates, const SteeringTable& table,
                            std::span<const shares::Grant> grants, base::TargetKey target) {
  gates.Configure(table);
  gates.SetGrants(table, grants);
  gates.SetLeaving(table, target, true);
  gates.ReportLoad(table, target, std::uint16_t{});
  { gates.Usage(table) } -> std::same_as<GateUsage>;
  gates.Tick();
};

}  // namespace mangonotch::control
