// The lists of available targets are updated on every change, so that an admission decision does
// not have to scan all targets.
#include "admission/slot_table.h"

#include <algorithm>
#include <cmath>

namespace mangonotch::admission {
namespace {

constexpr std::size_t ClassIndex(base::WorkClass work_class) {
  return static_cast<std::size_t>(work_class);
}

/// Lower bound of the ramp share, so that the weight of a target stays above zero.
constexpr float kMinShare = 0.01F;

constexpr std::array kClasses = {base::WorkClass::kShort, base::WorkClass::kLong};

Tier TierOf(const TargetState& state) {
  return state.verdict.is_reserve ? Tier::kReserve : Tier::kPrimary;
}

bool IsInUse(const TargetState& state) {
  return state.classes[0].in_use > 0 || state.classes[1].in_use > 0;
}

}  // namespace

void SlotTable::BeginTargetUpdate() {
  for (TargetState& state : targets_) state.is_listed = false;
}

SlotTable::UpsertResult SlotTable::UpsertTarget(const Target& target, base::Instant now) {
  const auto it = positions_.find(target.key);
  const bool is_new = it == positions_.end();
  if (!is_new) {
    for (const auto work_class : kClasses) RemoveAvailable(it->second, work_class);
  }
  TargetPosition position = is_new ? 0 : it->second;
  if (is_new && free_positions_.empty()) {
    position = static_cast<TargetPosition>(targets_.size());
    targets_.emplace_back();
    loads_.emplace_back();
  } else if (is_new) {
    position = free_positions_.back();
    free_positions_.pop_back();
  }
  TargetState& state = targets_[position];
  if (is_new) {
    const auto previous_epochs =
        std::array{state.classes[0].grant_epoch, state.classes[1].grant_epoch};
    state = TargetState{};
    state.ramp_limits.fill(kNoRampLimit);
    for (const auto work_class : kClasses) {
      ClassState& class_state = state.classes[ClassIndex(work_class)];
      class_state.list_index = kNotAvailable;
      class_state.grant_epoch = previous_epochs[ClassIndex(work_class)] + 1;
    }
    positions_.emplace(target.key, position);
  }
  state.target = target;
  state.is_listed = true;
  loads_[position].weight = static_cast<float>(std::max(target.weight, 1U));
  for (auto& tiers : available_) {
    for (Lists& lists : tiers) {
      if (lists.size() <= target.region.value) lists.resize(target.region.value + 1);
    }
  }
  for (const auto work_class : kClasses) Refresh(position, work_class, now);
  return {position, is_new};
}

void SlotTable::FinishTargetUpdate(base::Instant now) {
  for (auto it = positions_.begin(); it != positions_.end();) {
    TargetState& state = targets_[it->second];
    for (const auto work_class : kClasses) Refresh(it->second, work_class, now);
    if (state.is_listed || IsInUse(state)) {
      ++it;
      continue;
    }
    free_positions_.push_back(it->second);
    it = positions_.erase(it);
  }
  std::vector<std::size_t> sizes(regions());
  for (const TargetState& state : targets_) ++sizes[state.target.region.value];
  for (auto& tiers : available_) {
    for (Lists& lists : tiers) {
      for (std::size_t i = 0; i < lists.size(); ++i) lists[i].reserve(sizes[i]);
    }
  }
  ReserveSlots();
  CountOpenTargets();
}

void SlotTable::CountOpenTargets() {
  open_targets_.assign(regions(), 0);
  for (const TargetState& state : targets_) {
    if (state.is_listed && !state.is_leaving) ++open_targets_[state.target.region.value];
  }
}

void SlotTable::SetGrants(std::span<const Grant> grants, base::Instant now) {
  for (const Grant& grant : grants) {
    const auto position = Find(grant.target);
    if (!position) continue;
    ClassState& state = targets_[*position].classes[ClassIndex(grant.work_class)];
    const bool is_expired = state.grant_deadline <= now;
    if (is_expired) ++state.grant_epoch;
    state.granted = grant.slots;
    state.grant_deadline = grant.deadline;
    Refresh(*position, grant.work_class, now);
  }
  ReserveSlots();
}

void SlotTable::ReserveSlots() {
  std::size_t n = 0;
  for (const TargetState& state : targets_) {
    for (const ClassState& class_state : state.classes) {
      n += std::max(class_state.granted, class_state.in_use);
    }
  }
  slots_.reserve(n);
  free_slots_.reserve(std::max(n, slots_.capacity()));
}

bool SlotTable::SetLeaving(base::TargetKey target, bool is_leaving, base::Instant now) {
  const auto position = Find(target);
  if (!position) return false;
  targets_[*position].is_leaving = is_leaving;
  for (const auto work_class : kClasses) Refresh(*position, work_class, now);
  CountOpenTargets();
  return true;
}

void SlotTable::SetVerdict(TargetPosition position, const placement::Verdict& verdict,
                           base::Instant now) {
  for (const auto work_class : kClasses) RemoveAvailable(position, work_class);
  TargetState& state = targets_[position];
  state.verdict = verdict;
  const auto weight = static_cast<float>(std::max(state.target.weight, 1U));
  loads_[position].weight = weight * std::max(verdict.share, kMinShare);
  for (const auto work_class : kClasses) {
    const std::size_t i = ClassIndex(work_class);
    const float share = std::ceil(verdict.share * static_cast<float>(state.classes[i].granted));
    state.ramp_limits[i] =
        verdict.limits_slots ? static_cast<std::uint16_t>(std::max(share, 1.0F)) : kNoRampLimit;
    Refresh(position, work_class, now);
  }
}

SlotTable::Lists& SlotTable::ListsOf(base::WorkClass work_class, Tier tier) {
  return available_[ClassIndex(work_class)][static_cast<std::size_t>(tier)];
}

std::span<const TargetPosition> SlotTable::Candidates(base::WorkClass work_class, Tier tier,
                                                      base::RegionIndex region,
                                                      std::span<const base::TargetKey> excluded) {
  Lists& lists = ListsOf(work_class, tier);
  if (region.value >= lists.size()) return {};
  std::span<TargetPosition> list = lists[region.value];
  // Excluded targets are swapped to the end of the list, behind the returned span.
  for (const base::TargetKey key : excluded) {
    const auto position = Find(key);
    if (!position) continue;
    ClassState& state = targets_[*position].classes[ClassIndex(work_class)];
    const bool is_candidate = targets_[*position].target.region == region &&
                              TierOf(targets_[*position]) == tier &&
                              state.list_index != kNotAvailable && state.list_index < list.size();
    if (!is_candidate) continue;
    ClassState& last = targets_[list.back()].classes[ClassIndex(work_class)];
    std::swap(list[state.list_index], list.back());
    std::swap(state.list_index, last.list_index);
    list = list.first(list.size() - 1);
  }
  return list;
}

bool SlotTable::IsGrantInForce(TargetPosition position, base::WorkClass work_class,
                               base::Instant now) const {
  return now < targets_[position].classes[ClassIndex(work_class)].grant_deadline;
}

bool SlotTable::IsAvailable(const TargetState& state, base::WorkClass work_class,
                            base::Instant now) const {
  const ClassState& class_state = state.classes[ClassIndex(work_class)];
  const auto limit = std::min(class_state.granted, state.ramp_limits[ClassIndex(work_class)]);
  return state.is_listed && !state.is_leaving && !state.verdict.is_ejected &&
         class_state.in_use < limit && now < class_state.grant_deadline;
}

void SlotTable::Refresh(TargetPosition position, base::WorkClass work_class, base::Instant now) {
  if (IsAvailable(targets_[position], work_class, now)) {
    AddAvailable(position, work_class);
  } else {
    RemoveAvailable(position, work_class);
  }
}

void SlotTable::AddAvailable(TargetPosition position, base::WorkClass work_class) {
  TargetState& state = targets_[position];
  ClassState& class_state = state.classes[ClassIndex(work_class)];
  if (class_state.list_index != kNotAvailable) return;
  auto& list = ListsOf(work_class, TierOf(state))[state.target.region.value];
  class_state.list_index = static_cast<std::uint32_t>(list.size());
  list.push_back(position);
  ++available_count_[ClassIndex(work_class)][static_cast<std::size_t>(TierOf(state))];
}

void SlotTable::RemoveAvailable(TargetPosition position, base::WorkClass work_class) {
  TargetState& state = targets_[position];
  ClassState& class_state = state.classes[ClassIndex(work_class)];
  if (class_state.list_index == kNotAvailable) return;
  auto& list = ListsOf(work_class, TierOf(state))[state.target.region.value];
  const TargetPosition moved = list.back();
  list[class_state.list_index] = moved;
  targets_[moved].classes[ClassIndex(work_class)].list_index = class_state.list_index;
  list.pop_back();
  --available_count_[ClassIndex(work_class)][static_cast<std::size_t>(TierOf(state))];
  class_state.list_index = kNotAvailable;
}

Slot SlotTable::Acquire(TargetPosition position, base::WorkClass work_class, base::Instant deadline,
                        base::Instant now) {
  ClassState& state = targets_[position].classes[ClassIndex(work_class)];
  ++state.in_use;
  ++loads_[position].in_flight;
  if (free_slots_.empty()) {
    free_slots_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t index = free_slots_.back();
  free_slots_.pop_back();
  SlotRecord& record = slots_[index];
  record = {.target = position,
            .work_class = work_class,
            .is_live = true,
            .generation = record.generation + 1,
            .grant_epoch = state.grant_epoch,
            .started = now,
            .deadline = deadline};
  Refresh(position, work_class, now);
  return {.index = index, .generation = record.generation};
}

std::optional<SlotRecord> SlotTable::Release(Slot slot, base::Instant now) {
  if (slot.index >= slots_.size()) return std::nullopt;
  SlotRecord& record = slots_[slot.index];
  if (!record.is_live || record.generation != slot.generation) return std::nullopt;
  record.is_live = false;
  free_slots_.push_back(slot.index);
  --targets_[record.target].classes[ClassIndex(record.work_class)].in_use;
  --loads_[record.target].in_flight;
  Refresh(record.target, record.work_class, now);
  return record;
}

RecheckResult SlotTable::Recheck(Slot slot, base::Instant now) const {
  if (slot.index >= slots_.size()) return RecheckResult::kUnknownSlot;
  const SlotRecord& record = slots_[slot.index];
  if (!record.is_live || record.generation != slot.generation) return RecheckResult::kUnknownSlot;
  const TargetState& target = targets_[record.target];
  const ClassState& state = target.classes[ClassIndex(record.work_class)];
  if (now >= record.deadline) return RecheckResult::kDeadlinePassed;
  if (now >= state.grant_deadline || record.grant_epoch != state.grant_epoch) {
    return RecheckResult::kGrantExpired;
  }
  if (target.is_leaving || !target.is_listed) return RecheckResult::kLeaving;
  return RecheckResult::kInForce;
}

ExclusionReason SlotTable::Explain(TargetPosition position, base::WorkClass work_class,
                                   base::Instant now) const {
  const TargetState& state = targets_[position];
  const ClassState& class_state = state.classes[ClassIndex(work_class)];
  if (state.is_leaving || !state.is_listed) return ExclusionReason::kLeaving;
  if (class_state.granted == 0) return ExclusionReason::kNoGrant;
  if (class_state.grant_deadline <= now) return ExclusionReason::kGrantExpired;
  if (state.verdict.is_ejected) return ExclusionReason::kEjected;
  if (class_state.in_use >= class_state.granted) return ExclusionReason::kAllSlotsInUse;
  if (class_state.in_use >= state.ramp_limits[ClassIndex(work_class)]) {
    return ExclusionReason::kWarmingUp;
  }
  if (state.verdict.is_reserve) return ExclusionReason::kReserve;
  return ExclusionReason::kNone;
}

bool SlotTable::HasOpenTarget(base::RegionIndex region,
                              std::span<const base::TargetKey> excluded) const {
  if (region.value >= open_targets_.size()) return false;
  return open_targets_[region.value] >
         CountExcluded(region, excluded, [](const TargetState& state) {
           return state.is_listed && !state.is_leaving;
         });
}

bool SlotTable::HasAvailable(base::WorkClass work_class, Tier tier) const {
  return available_count_[ClassIndex(work_class)][static_cast<std::size_t>(tier)] > 0;
}

std::uint16_t SlotTable::UsableSlots(const TargetState& state, base::WorkClass work_class,
                                     base::Instant now) const {
  const ClassState& class_state = state.classes[ClassIndex(work_class)];
  const bool is_usable = state.is_listed && !state.is_leaving && !state.verdict.is_ejected &&
                         now < class_state.grant_deadline;
  if (!is_usable || state.verdict.is_reserve) return 0;
  return std::min(class_state.granted, state.ramp_limits[ClassIndex(work_class)]);
}

void SlotTable::UpdateUsableCounts(base::Instant now) {
  for (const auto work_class : kClasses) {
    auto& targets = usable_targets_[ClassIndex(work_class)];
    auto& slots = usable_slots_[ClassIndex(work_class)];
    targets.assign(regions(), 0);
    slots.assign(regions(), 0);
    for (const TargetState& state : targets_) {
      const std::uint16_t usable = UsableSlots(state, work_class, now);
      if (usable == 0) continue;
      ++targets[state.target.region.value];
      slots[state.target.region.value] += usable;
    }
  }
}

std::uint32_t SlotTable::CachedUsableSlots(base::WorkClass work_class,
                                           base::RegionIndex region) const {
  const auto& slots = usable_slots_[ClassIndex(work_class)];
  return region.value < slots.size() ? slots[region.value] : 0;
}

/// Counts the distinct excluded targets of a region that satisfy the condition.
template <typename Condition>
std::uint32_t SlotTable::CountExcluded(base::RegionIndex region,
                                       std::span<const base::TargetKey> excluded,
                                       Condition condition) const {
  std::uint32_t n = 0;
  for (std::size_t i = 0; i < excluded.size(); ++i) {
    const auto earlier = excluded.first(i);
    if (std::find(earlier.begin(), earlier.end(), excluded[i]) != earlier.end()) continue;
    const auto position = Find(excluded[i]);
    if (!position) continue;
    const TargetState& state = targets_[*position];
    if (state.target.region == region && condition(state)) ++n;
  }
  return n;
}

bool SlotTable::HasUsableTarget(base::WorkClass work_class, base::RegionIndex region,
                                std::span<const base::TargetKey> excluded,
                                base::Instant now) const {
  const auto& counts = usable_targets_[ClassIndex(work_class)];
  if (region.value >= counts.size()) return false;
  return counts[region.value] > CountExcluded(region, excluded, [&](const TargetState& state) {
           return UsableSlots(state, work_class, now) > 0;
         });
}

std::uint16_t SlotTable::CountUsableSlots(base::WorkClass work_class, base::RegionIndex region,
                                          base::Instant now) const {
  std::uint16_t n = 0;
  for (const TargetState& state : targets_) {
    if (state.target.region == region) n += UsableSlots(state, work_class, now);
  }
  return n;
}

std::optional<TargetPosition> SlotTable::Find(base::TargetKey target) const {
  const auto it = positions_.find(target);
  if (it == positions_.end()) return std::nullopt;
  return it->second;
}

}  // namespace mangonotch::admission
