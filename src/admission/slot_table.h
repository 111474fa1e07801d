// Tracks which slots of which targets this host may use and which are in use. It alone ensures that
// no more slots are acquired than the valid grants allow. Independent of policies and queues.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "admission/types.h"
#include "placement/policy.h"
#include "placement/target_health.h"

namespace mangonotch::admission {

/// Index of a target in the slot table; stable while the target is listed or in use.
using TargetPosition = std::uint32_t;

/// Reserve targets are slow and are used only when the primary targets are not enough.
enum class Tier : std::uint8_t { kPrimary, kReserve };
inline constexpr std::size_t kTiers = 2;

/// A slot in use.
struct SlotRecord {
  TargetPosition target = 0;
  base::WorkClass work_class = base::WorkClass::kShort;
  bool is_live = false;
  std::uint32_t generation = 0;
  /// Value of ClassState::grant_epoch at admission.
  std::uint32_t grant_epoch = 0;
  base::Instant started;
  base::Instant deadline;
  /// The request was already reported as slow while in flight.
  bool is_overdue = false;
};

struct ClassState {
  /// Slots of the latest grant; may be less than `in_use` after slots were recalled.
  std::uint16_t granted = 0;
  std::uint16_t in_use = 0;
  base::Instant grant_deadline;
  /// Incremented when a grant follows an expired one, and when the position is reused for another
  /// target. A request admitted in an earlier epoch must not be sent.
  std::uint32_t grant_epoch = 0;
  /// Index in the list of available targets, or kNotAvailable.
  std::uint32_t list_index = 0;
};

struct TargetState {
  Target target;
  bool is_listed = false;
  bool is_leaving = false;
  placement::Verdict verdict;
  /// Maximum number of slots in use per work class during the ramp; kNoRampLimit otherwise.
  std::array<std::uint16_t, base::kWorkClasses> ramp_limits{};
  std::array<ClassState, base::kWorkClasses> classes;
};

class SlotTable {
 public:
  static constexpr std::uint32_t kNotAvailable = 0xffffffff;
  static constexpr std::uint16_t kNoRampLimit = 0xffff;

  /// Replaces the list of targets. A target that is no longer listed gets no new requests; its
  /// slots in use remain until they are released. Calls `on_new(position)` for each target that is
  /// not yet in the table.
  template <typename OnNew>
  void SetTargets(std::span<const Target> targets, base::Instant now, OnNew on_new) {
    BeginTargetUpdate();
    for (const Target& target : targets) {
      const auto [position, is_new] = UpsertTarget(target, now);
      if (is_new) on_new(position);
    }
    FinishTargetUpdate(now);
  }

  /// Sets the given grants and leaves the others unchanged. Grants for unknown targets are ignored.
  void SetGrants(std::span<const Grant> grants, base::Instant now);
  /// Returns false for an unknown target.
  bool SetLeaving(base::TargetKey target, bool is_leaving, base::Instant now);
  void SetVerdict(TargetPosition position, const placement::Verdict& verdict, base::Instant now);
  void MarkOverdue(std::uint32_t slot_index) { slots_[slot_index].is_overdue = true; }

  /// Available targets of a region, without the excluded ones. Valid until the next call. The grant
  /// of a candidate may have expired: check `IsGrantInForce`, and call `Refresh` if it returns
  /// false.
  std::span<const TargetPosition> Candidates(base::WorkClass work_class, Tier tier,
                                             base::RegionIndex region,
                                             std::span<const base::TargetKey> excluded);
  bool IsGrantInForce(TargetPosition position, base::WorkClass work_class, base::Instant now) const;
  /// Updates whether a target is available.
  void Refresh(TargetPosition position, base::WorkClass work_class, base::Instant now);

  /// Acquires a slot of a candidate whose grant is in force.
  Slot Acquire(TargetPosition position, base::WorkClass work_class, base::Instant deadline,
               base::Instant now);
  /// Releases a slot. Returns nullopt if the handle was released before.
  std::optional<SlotRecord> Release(Slot slot, base::Instant now);
  RecheckResult Recheck(Slot slot, base::Instant now) const;

  ExclusionReason Explain(TargetPosition position, base::WorkClass work_class,
                          base::Instant now) const;

  std::span<const TargetState> targets() const { return targets_; }
  std::span<const placement::TargetLoad> loads() const { return loads_; }
  std::span<const SlotRecord> slots() const { return slots_; }
  std::optional<TargetPosition> Find(base::TargetKey target) const;
  /// Returns true if a listed target of the region is neither leaving nor excluded.
  bool HasOpenTarget(base::RegionIndex region, std::span<const base::TargetKey> excluded) const;
  /// Returns true if any target has a free slot of the class; its grant may have expired meanwhile.
  bool HasAvailable(base::WorkClass work_class, Tier tier) const;
  /// Updates the cached counts of usable targets and slots. A usable target is listed, has a grant
  /// in force, and is not leaving, ejected or in reserve. No other operation changes these counts.
  void UpdateUsableCounts(base::Instant now);
  std::uint32_t CachedUsableSlots(base::WorkClass work_class, base::RegionIndex region) const;
  /// Returns true if the region has a usable target that is not excluded, even without a free slot.
  bool HasUsableTarget(base::WorkClass work_class, base::RegionIndex region,
                       std::span<const base::TargetKey> excluded, base::Instant now) const;
  std::uint16_t UsableSlots(TargetPosition position, base::WorkClass work_class,
                            base::Instant now) const {
    return UsableSlots(targets_[position], work_class, now);
  }
  std::uint16_t CountUsableSlots(base::WorkClass work_class, base::RegionIndex region,
                                 base::Instant now) const;
  std::size_t regions() const { return available_[0][0].size(); }

 private:
  /// Target keys are already hashes.
  struct KeyHash {
    std::size_t operator()(base::TargetKey key) const { return key.value; }
  };
  struct UpsertResult {
    TargetPosition position;
    bool is_new;
  };
  void BeginTargetUpdate();
  UpsertResult UpsertTarget(const Target& target, base::Instant now);
  void FinishTargetUpdate(base::Instant now);
  std::uint16_t UsableSlots(const TargetState& state, base::WorkClass work_class,
                            base::Instant now) const;
  template <typename Condition>
  std::uint32_t CountExcluded(base::RegionIndex region, std::span<const base::TargetKey> excluded,
                              Condition condition) const;
  void ReserveSlots();
  void CountOpenTargets();
  bool IsAvailable(const TargetState& state, base::WorkClass work_class, base::Instant now) const;
  void AddAvailable(TargetPosition position, base::WorkClass work_class);
  void RemoveAvailable(TargetPosition position, base::WorkClass work_class);

  std::vector<TargetState> targets_;
  /// Parallel to `targets_`; `in_flight` is the sum of `in_use` over the classes.
  std::vector<placement::TargetLoad> loads_;
  std::unordered_map<base::TargetKey, TargetPosition, KeyHash> positions_;
  std::vector<TargetPosition> free_positions_;
  using Lists = std::vector<std::vector<TargetPosition>>;
  Lists& ListsOf(base::WorkClass work_class, Tier tier);
  /// Available targets by class, tier and region, in unspecified order.
  std::array<std::array<Lists, kTiers>, base::kWorkClasses> available_;
  std::array<std::array<std::uint32_t, kTiers>, base::kWorkClasses> available_count_{};
  /// Listed targets that are not leaving, by region.
  std::vector<std::uint32_t> open_targets_;
  /// Usable targets and their slots by class and region.
  std::array<std::vector<std::uint32_t>, base::kWorkClasses> usable_targets_;
  std::array<std::vector<std::uint32_t>, base::kWorkClasses> usable_slots_;
  std::vector<SlotRecord> slots_;
  std::vector<std::uint32_t> free_slots_;
};

}  // namespace mangonotch::admission
