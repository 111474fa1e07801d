// Policy used in production: power of two choices. Of two random candidates it takes the one with
// the lower cost, which is the requests in flight per weight times the latency recently observed by
// this host.
#pragma once

#include <cstdint>
#include <vector>

#include "placement/policy.h"

namespace mangonotch::placement {

struct WeightedTwoChoicesSettings {
  /// A latency above the average takes effect immediately; its excess decays with this half-life.
  base::Duration peak_half_life = base::Duration::Milliseconds(500);
  /// Without new observations, a target's latency estimate decays towards the pool's average with
  /// this half-life, so that a target that has recovered is tried again.
  base::Duration estimate_half_life = base::Duration::Seconds(10);
  /// Maximum share by which a target's own load report can raise its cost. Reports lag and may be
  /// wrong, so this is less than the effect of one request in flight or of a doubled latency.
  float max_report_share = 0.25F;
  /// Load reports older than this are ignored.
  base::Duration report_lifetime = base::Duration::Seconds(3);
};

class WeightedTwoChoices {
 public:
  using Settings = WeightedTwoChoicesSettings;

  explicit WeightedTwoChoices(const Settings& settings) : settings_(settings) {}

  void Resize(std::size_t targets) { targets_.resize(targets); }
  void Reset(std::uint32_t target) { targets_[target] = {}; }
  std::size_t Choose(const Pool& pool, base::Instant now, base::Random& random);
  void OnComplete(std::uint32_t target, base::Duration latency, base::Instant now);
  void OnLoadReport(std::uint32_t target, std::uint16_t per_mille, base::Instant now);

 private:
  struct Observed {
    /// Seconds; 0 before the first observation.
    float average = 0;
    /// Never below `average` at `updated`.
    float peak = 0;
    /// In thousandths.
    float reported_load = 0;
    base::Instant updated;
    base::Instant report_expiry;
  };

  float Latency(const Observed& observed, base::Instant now) const;
  float Cost(const Pool& pool, std::uint32_t target, base::Instant now) const;

  Settings settings_;
  std::vector<Observed> targets_;
  /// Average latency over all targets in seconds, used for targets without observations.
  float pool_average_ = 0;
};

static_assert(PlacementPolicy<WeightedTwoChoices>);

}  // namespace mangonotch::placement
