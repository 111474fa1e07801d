// What the control thread needs of the gates that traffic threads use.
#pragma once

#include <concepts>
#include <cstdint>
#include <span>
#include <vector>

#include "control/steering_table.h"
#include "shares/holdings.h"

namespace mangonotch::control {

/// Slots that work of a service could use in a region beyond those in use.
struct RegionDemand {
  base::RegionIndex region;
  base::ServiceKey service;
  base::WorkClass work_class = base::WorkClass::kShort;
  std::uint16_t wanted = 0;
};

struct GateUsage {
  std::vector<shares::InUse> in_use;
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
