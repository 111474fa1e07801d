// Connects target health with the slot table: reports completed and overdue requests as
// observations, and applies the resulting verdicts to the availability of targets.
#pragma once

#include <array>
#include <vector>

#include "admission/slot_table.h"
#include "admission/types.h"
#include "placement/target_health.h"

namespace mangonotch::admission {

class PoolHealth {
 public:
  explicit PoolHealth(const placement::HealthSettings& settings) : health_(settings) {}

  void OnTargetAdded(TargetPosition position, bool is_cold, base::Instant now);
  /// Returns true if the pool should be evaluated now because the target may have to be ejected.
  bool OnRequestEnded(const SlotRecord& record, const Outcome& outcome, base::Instant now);
  void Evaluate(SlotTable& slots, std::array<std::size_t, base::kWorkClasses> waiting,
                base::Instant now);

  float NeededSlots(base::RegionIndex region, base::WorkClass work_class) const {
    return health_.NeededSlots(region, work_class);
  }

 private:
  void ObserveOverdue(SlotTable& slots, base::Instant now);
  void FillMembers(const SlotTable& slots, base::Instant now);

  placement::TargetHealth health_;
  std::vector<placement::PoolMember> members_;
  /// Earliest time of an evaluation outside the regular schedule. These are rate limited, since
  /// each is linear in the number of targets.
  base::Instant next_evaluation_;
};

}  // namespace mangonotch::admission
