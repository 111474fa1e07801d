// Connects the health of targets with the slot table: turns ended and overdue requests into
// observations, and verdicts into availability.
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

  void OnListed(TargetPosition position, bool is_cold, base::Instant now);
  /// True when a target should be considered for ejection now.
  bool OnEnded(const SlotRecord& record, const Outcome& outcome, base::Instant now);
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
  /// Evaluations out of turn are spaced, since each is linear in the targets.
  base::Instant next_evaluation_;
};

}  // namespace mangonotch::admission
