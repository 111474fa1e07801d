// An evaluation walks over the targets and the slots in use once.
#include "admission/pool_health.h"

#include <algorithm>

namespace mangonotch::admission {
namespace {

/// Evaluations that an ended request asks for are at least this far apart for each target of the
/// pool: an evaluation takes about 40 ns a target, so this bounds them to 1% of a core.
constexpr base::Duration kIntervalPerTarget = base::Duration::Microseconds(4);

}  // namespace

void PoolHealth::OnListed(TargetPosition position, bool is_cold, base::Instant now) {
  if (position >= members_.size()) {
    members_.resize(position + 1);
    health_.Resize(position + 1);
  }
  health_.Reset(position, is_cold, now);
}

bool PoolHealth::OnEnded(const SlotRecord& record, const Outcome& outcome, base::Instant now) {
  bool is_suspect = false;
  if (outcome.result == Result::kFailed) is_suspect = health_.OnFailed(record.target);
  if (outcome.result == Result::kAnswered && !record.is_overdue) {
    is_suspect = health_.OnAnswered(record.target, record.work_class, outcome.latency);
  }
  return is_suspect && now >= next_evaluation_;
}

void PoolHealth::Evaluate(SlotTable& slots, std::array<std::size_t, base::kWorkClasses> waiting,
                          base::Instant now) {
  next_evaluation_ = now + kIntervalPerTarget * static_cast<std::int64_t>(members_.size());
  ObserveOverdue(slots, now);
  FillMembers(slots, now);
  health_.Evaluate(members_, waiting, now);
  for (TargetPosition i = 0; i < members_.size(); ++i) {
    const TargetState& state = slots.targets()[i];
    const auto verdict = health_.VerdictFor(i, state.target.region, now);
    // A limit on slots depends on the grant, too.
    const bool has_changed = verdict != state.verdict || verdict.limits_slots;
    if (has_changed) slots.SetVerdict(i, verdict, now);
  }
}

void PoolHealth::ObserveOverdue(SlotTable& slots, base::Instant now) {
  for (std::uint32_t i = 0; i < slots.slots().size(); ++i) {
    const SlotRecord& record = slots.slots()[i];
    if (!record.is_live || record.is_overdue) continue;
    if (!health_.IsOverdue(record.work_class, now - record.started)) continue;
    health_.OnOverdue(record.target, record.work_class);
    slots.MarkOverdue(i);
  }
}

void PoolHealth::FillMembers(const SlotTable& slots, base::Instant now) {
  for (TargetPosition i = 0; i < members_.size(); ++i) {
    const TargetState& state = slots.targets()[i];
    placement::PoolMember& member = members_[i];
    member.region = state.target.region;
    member.is_open = state.is_listed && !state.is_leaving;
    for (std::size_t j = 0; j < base::kWorkClasses; ++j) {
      const ClassState& of_class = state.classes[j];
      member.slots[j] = now < of_class.grant_deadline ? of_class.granted : std::uint16_t{0};
      member.in_use[j] = of_class.in_use;
    }
  }
}

}  // namespace mangonotch::admission
