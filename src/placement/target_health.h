// Outlier ejection: ejects targets that this host observes to be slow or failing, and readmits them
// with a ramp. Uses only the target's answers; load reports are ignored.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "base/ids.h"
#include "base/instant.h"

namespace mangonotch::placement {

struct HealthSettings {
  /// Enables ejection. The ramp of new targets applies in either case.
  bool is_ejection_enabled = true;
  /// A target is slow if its average latency exceeds the pool's median by this factor.
  float slow_factor = 3;
  /// A request in flight for longer than the pool's median times this factor counts as slow before
  /// it completes.
  float overdue_factor = 5;
  /// Observations are capped at the pool's median times this factor, so that a few long requests do
  /// not make a target count as slow.
  float max_factor = 8;
  /// A target with this many consecutive failures is ejected.
  std::uint8_t consecutive_failures = 5;
  /// Maximum share of a region's targets ejected at a time; one target is allowed in any case
  /// unless it is the last one.
  std::uint32_t max_ejected_per_mille = 340;
  /// Slots that must remain after an ejection, as a multiple of the slots that the load needs.
  float min_capacity_factor = 1.1F;
  /// Duration of the first exclusion. It doubles, up to the maximum, each time the target is
  /// excluded again soon after its readmission.
  base::Duration ejection = base::Duration::Seconds(1);
  base::Duration max_ejection = base::Duration::Seconds(30);
  /// Time until a readmitted or new target gets its full share of requests.
  base::Duration ramp = base::Duration::Seconds(10);
  /// Share at the start of the ramp.
  float ramp_start = 0.1F;
};

/// State of a target in its pool, which consists of the targets of one region.
struct PoolMember {
  base::RegionIndex region;
  /// Listed and not leaving.
  bool is_open = false;
  std::array<std::uint16_t, base::kWorkClasses> slots{};
  std::array<std::uint16_t, base::kWorkClasses> in_use{};
};

/// Result of the health evaluation of one target.
struct Verdict {
  /// The target gets no requests.
  bool is_ejected = false;
  /// The target is slow or failing, but too few targets or slots would remain without it. It gets a
  /// request only if waiting for another target would take longer than the delay it adds.
  bool is_reserve = false;
  /// Latency of a reserve target relative to the pool's median.
  float slowness = 1;
  /// Factor on the target's weight; less than 1 during its ramp.
  float share = 1;
  /// The share also limits the target's slots. False if the load needs them.
  bool limits_slots = false;

  bool operator==(const Verdict&) const = default;
};

class TargetHealth {
 public:
  explicit TargetHealth(const HealthSettings& settings) : settings_(settings) {}

  void Resize(std::size_t targets) { targets_.resize(targets); }
  /// Discards all observations. A cold target starts with a ramp.
  void Reset(std::uint32_t target, bool is_cold, base::Instant now);

  // Observations. They return true if the target should be considered for ejection now.

  bool OnAnswered(std::uint32_t target, base::WorkClass work_class, base::Duration latency);
  bool OnFailed(std::uint32_t target);
  /// Counts an overdue request as slow. Its answer must not be passed to OnAnswered later.
  bool OnOverdue(std::uint32_t target, base::WorkClass work_class);
  bool IsOverdue(base::WorkClass work_class, base::Duration age) const;

  /// Excludes and readmits targets. `waiting` is the number of waiters of each work class.
  void Evaluate(std::span<const PoolMember> pool,
                std::array<std::size_t, base::kWorkClasses> waiting, base::Instant now);

  /// Number of slots that the requests in a region need when served at the pool's median latency,
  /// as of the last evaluation.
  float NeededSlots(base::RegionIndex region, base::WorkClass work_class) const;

  Verdict VerdictFor(std::uint32_t target, base::RegionIndex region, base::Instant now) const;

 private:
  enum class State : std::uint8_t { kWarm, kRamping, kExcluded };

  struct Average {
    /// In seconds, over observations capped at `max_factor` times the median.
    float latency = 0;
    std::uint8_t samples = 0;
  };

  struct Record {
    State state = State::kWarm;
    /// For an excluded target: true if ejected, false if in reserve.
    bool is_ejected = false;
    /// Consecutive failures.
    std::uint8_t failures = 0;
    /// Exclusions since the target last completed its ramp with enough samples. Each doubles the
    /// duration of the next one.
    std::uint8_t exclusions = 0;
    /// Severity of an excluded target at the time of its exclusion; see Severity().
    float severity = 0;
    /// End of the exclusion or of the ramp.
    base::Instant end;
    std::array<Average, base::kWorkClasses> averages;
  };

  /// Totals over the targets of one region.
  struct Region {
    std::uint32_t open = 0;
    std::uint32_t ejected = 0;
    /// Slots under valid grants on open targets that are not ejected.
    std::array<float, base::kWorkClasses> slots{};
    /// Slots that the requests need when served at the pool's median latency, as a moving average
    /// that follows a rise faster than a fall.
    std::array<float, base::kWorkClasses> needed{};
    /// Current value of `needed`, before averaging.
    std::array<float, base::kWorkClasses> current_needed{};
    /// Slots on open targets, each scaled by the ramp share of its target.
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
  void ExcludeOutliers(std::span<const PoolMember> pool, base::Instant now);
  void EjectWorst(std::span<const PoolMember> pool);
  bool HasEnoughSamples(const Record& record) const;
  bool CanEject(const PoolMember& member, const Record& record) const;
  void Exclude(Record& record, base::Instant now);
  void Readmit(Record& record, base::Instant now);

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
