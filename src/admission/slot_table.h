// Which slots of which targets this host may use, and which it uses. Knows nothing of policies and
// queues; it alone keeps the count of slots in use within the grants in force.
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

/// Position of a target in a slot table; stays the same while the target is listed or in use.
using TargetPosition = std::uint32_t;

/// Available targets are kept apart by what they are good for.
enum class Tier : std::uint8_t { kPrimary, kReserve };
inline constexpr std::size_t kTiers = 2;

/// A slot in use.
struct SlotRecord {
  TargetPosition target = 0;
  base::WorkClass work_class = base::WorkClass::kShort;
  bool is_live = false;
  std::uint32_t generation = 0;
  /// Value of the class's `lapses` at admission.
  std::uint32_t lapses = 0;
  base::Instant started;
  base::Instant deadline;
  /// Its slowness was counted before its end.
  bool is_overdue = false;
};

struct ClassState {
  /// Slots of the last grant; may be below `in_use` after a recall.
  std::uint16_t granted = 0;
  std::uint16_t in_use = 0;
  base::Instant grant_deadline;
  /// Counts grants that followed an expired one: the host must not go on with work of an older one.
  std::uint32_t lapses = 0;
  /// Place in the list of available targets, or kNotAvailable.
  std::uint32_t place = 0;
};

struct TargetState {
  Target target;
  bool is_listed = false;
  bool is_leaving = false;
  placement::Verdict verdict;
  /// Most slots of each class that the ramp allows in use; no limit when warmed up.
  std::array<std::uint16_t, base::kWorkClasses> ramp_limits{};
  std::array<ClassState, base::kWorkClasses> classes;
};

class SlotTable {
 public:
  static constexpr std::uint32_t kNotAvailable = 0xffffffff;
  static constexpr std::uint16_t kNoRampLimit = 0xffff;

  /// Replaces the list of targets. A target that is no longer listed gets nothing new; its slots in
  /// use stay until they are completed. Calls `on_new(position)` for each target that was not
  /// listed.
  template <typename OnNew>
  void SetTargets(std::span<const Target> targets, base::Instant now, OnNew on_new) {
    StartListing();
    for (const Target& target : targets) {
      const auto [position, is_new] = List(target, now);
      if (is_new) on_new(position);
    }
    FinishListing(now);
  }

  /// Sets the listed grants and leaves others as they are. Unknown targets are passed over.
  void SetGrants(std::span<const Grant> grants, base::Instant now);
  /// False for an unknown target.
  bool SetLeaving(base::TargetKey target, bool is_leaving, base::Instant now);
  void SetVerdict(TargetPosition position, const placement::Verdict& verdict, base::Instant now);
  void MarkOverdue(std::uint32_t slot_index) { slots_[slot_index].is_overdue = true; }

  /// Available targets of a region, without those excluded. Valid until the next call. A listed
  /// target may have an expired grant: check `IsGrantInForce` and call `Refresh` when it has.
  std::span<const TargetPosition> Candidates(base::WorkClass work_class, Tier tier,
                                             base::RegionIndex region,
                                             std::span<const base::TargetKey> excluded);
  bool IsGrantInForce(TargetPosition position, base::WorkClass work_class, base::Instant now) const;
  /// Re-computes whether a target is available.
  void Refresh(TargetPosition position, base::WorkClass work_class, base::Instant now);

  /// Uses a slot of a candidate whose grant is in force.
  Slot Take(TargetPosition position, base::WorkClass work_class, base::Instant deadline,
            base::Instant now);
  /// Ends the use of a slot; empty when the handle is not live.
  std::optional<SlotRecord> Release(Slot slot, base::Instant now);
  RecheckResult Recheck(Slot slot, base::Instant now) const;

  ExclusionReason Explain(TargetPosition position, base::WorkClass work_class,
                          base::Instant now) const;

  std::span<const TargetState> targets() const { return targets_; }
  std::span<const placement::TargetLoad> loads() const { return loads_; }
  std::span<const SlotRecord> slots() const { return slots_; }
  std::optional<TargetPosition> Find(base::TargetKey target) const;
  /// True when a listed target of the region is neither leaving nor excluded.
  bool HasOpenTarget(base::RegionIndex region, std::span<const base::TargetKey> excluded) const;
  /// True when some target of the class has a free slot (its grant may have expired since).
  bool HasAvailable(base::WorkClass work_class, Tier tier) const;
  /// Renews the counts of usable targets and slots: with a grant in force, not leaving, neither
  /// ejected nor in reserve. Other operations leave them as they are.
  void UpdateUsable(base::Instant now);
  std::uint32_t UsableSlotsOf(base::WorkClass work_class, base::RegionIndex region) const;
  /// True when a usable target of the region is not excluded, whether it has a free slot or not.
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
  /// Keys are hashes already.
  struct KeyHash {
    std::size_t operator()(base::TargetKey key) const { return key.value; }
  };
  struct Listing {
    TargetPosition position;
    bool is_new;
  };
  void StartListing();
  Listing List(const Target& target, base::Instant now);
  void FinishListing(base::Instant now);
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
  /// Available targets by class, tier and region, in no order.
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
