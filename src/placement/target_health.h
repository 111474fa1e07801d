// Ejects targets that this host observes to be slow or failing, and lets them return by a ramp.
// Load reports play no part: only the answers of the target itself do.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "base/ids.h"
#include "base/instant.h"

namespace mangonotch::placement {

struct HealthSettings {
  /// Without ejection the ramps of new targets remain.
  bool ejects = true;
  /// A target is slow when its average latency passes the pool's median this many times.
  float slow_factor = 3;
  /// A request in flight for this many times the pool's median counts as slow before it ends.
  float overdue_factor = 5;
  /// An observation counts as at most this many times the pool's median, so that a few long
  /// requests do not make a target slow.
  float max_factor = 8;
  std::uint8_t failures_in_a_row = 5;
  /// At most this share of a region's targets is ejected at a time.
  std::uint32_t max_ejected_per_mille = 340;
  /// Slots that must stay after an ejection, as a multiple of the slots that the load needs.
  float floor_factor = 1.1F;
  /// The first exclusion lasts this long; each one soon after a return doubles it up to the
  /// maximum.
  base::Duration ejection = base::Duration::Seconds(1);
  base::Duration max_ejection = base::Duration::Seconds(30);
  /// A returning or new target gets its full share of work after this time.
  base::Duration ramp = base::Duration::Seconds(10);
  float ramp_start = 0.1F;
};

/// A target as its pool sees it. Targets of a region form a pool.
struct PoolMember {
  base::RegionIndex region;
  /// Listed and not leaving.
  bool is_open = false;
  std::array<std::uint16_t, base::kWorkClasses> slots{};
  std::array<std::uint16_t, base::kWorkClasses> in_use{};
};

struct Verdict {
  /// Gets nothing.
  bool is_ejected = false;
  /// Slow or failing, but the floor on the pool forbids its ejection: gets requests only where the
  /// wait for another target would cost more than its slowness.
  bool is_reserve = false;
  /// Latency of a reserve target relative to the pool.
  float slowness = 1;
  /// Share of its weight that the target gets; below 1 during its ramp.
  float share = 1;
  /// The share also bounds its slots; not so when the load needs them.
  bool limits_slots = false;

  bool operator==(const Verdict&) const = default;
};

class TargetHealth {
 public:
  explicit TargetHealth(const HealthSettings& settings) : settings_(settings) {}

  void Resize(std::size_t targets) { targets_.resize(targets); }
  /// A cold target starts with a ramp.
  void Reset(std::uint32_t target, bool is_cold, base::Instant now);

  // Observations. They return true when the target should be considered for ejection now.

  bool OnAnswered(std::uint32_t target, base::WorkClass work_class, base::Duration latency);
  bool OnFailed(std::uint32_t target);
  /// A request has been in flight for long; its later answer must not be given to OnAnswered.
  bool OnOverdue(std::uint32_t target, base::WorkClass work_class);
  bool IsOverdue(base::WorkClass work_class, base::Duration age) const;

  /// Excludes and returns targets. `waiting` is the number of waiters of each class.
  void Evaluate(std::span<const PoolMember> pool,
                std::array<std::size_t, base::kWorkClasses> waiting, base::Instant now);

  /// Slots of a region that its work needs when served at the pool's speed, as of the last
  /// evaluation.
  float NeededSlots(base::RegionIndex region, base::WorkClass work_class) const;

  Verdict VerdictFor(std::uint32_t target, base::RegionIndex region, base::Instant now) const;

 private:
  enum class State : std::uint8_t { kWarm, kRamping, kExcluded };

  struct Average {
    /// Seconds, of observations cut to `max_factor` times the median.
    float latency = 0;
    std::uint8_t samples = 0;
  };

  struct Record {
    State state = State::kWarm;
    /// Of an excluded target: ejected, or else kept in reserve.
    bool is_ejected = false;
    std::uint8_t failures = 0;
    /// Exclusions since the target last gave enough good answers; each doubles the next one.
    std::uint8_t exclusions = 0;
    /// Latency of an excluded target relative to the median when it was excluded.
    float severity = 0;
    /// End of the exclusion or of the ramp.
    base::Instant end;
    std::array<Average, base::kWorkClasses> averages;
  };

  /// Sums over the targets of one region.
  struct Region {
    std::uint32_t open = 0;
    std::uint32_t ejected = 0;
    /// Slots in force on open targets that are not ejected.
    std::array<float, base::kWorkClasses> slots{};
    /// Slots that the work in use needs when served at the pool's speed: an average that follows a
    /// rise faster than a fall.
    std::array<float, base::kWorkClasses> needed{};
    std::array<float, base::kWorkClasses> needed_now{};
    /// The same, each by the share of its ramp.
    std::array<float, base::kWorkClasses> ramped_slots{};
  };

  bool IsFailing(const Record& record) const;
  float Share(const Record& record, base::Instant now) const;
  float Severity(const Record& record) const;
  float Slowness(const Record& record, std::size_t work_class) const;
  bool Observe(std::uint32_t target, base::WorkClass work_class, float seconds);
  void UpdateMedians(std::span<const PoolMember> pool);
  void UpdateRegions(std::span<const PoolMember> pool,
                     std::array<std::size_t, base::kWorkClasses> waiting, base::Instant now);
  void AdvanceStates(base::Instant now);
  void ExcludeSuspects(std::span<const PoolMember> pool, base::Instant now);
  void EjectWorst(std::span<const PoolMember> pool);
  bool HasEnoughSamples(const Record& record) const;
  bool MayEject(const PoolMember& member, const Record& record) const;
  void Exclude(Record& record, base::Instant now);
  void Return(Record& record, base::Instant now);

  HealthSettings settings_;
  std::vector<Record> targets_;
  std::vector<Region> regions_;
  /// Median of the targets' averages, in seconds; 0 while unknown.
  std::array<float, base::kWorkClasses> medians_{};
  base::Instant last_evaluation_;
  std::vector<float> scratch_;
  std::vector<std::uint32_t> excluded_;
};

}  // namespace mangonotch::placement
