// The product's policy: of two random candidates the one with the lower expected cost, which is the
// requests in flight per weight times the latency that this host observed lately.
#pragma once

#include <cstdint>
#include <vector>

#include "placement/policy.h"

namespace mangonotch::placement {

struct WeightedTwoChoicesSettings {
  /// A latency above the average counts at once and loses half of its excess in this time.
  base::Duration peak_half_life = base::Duration::Milliseconds(500);
  /// Without new observations, what is known of a target loses half of its difference from the
  /// pool in this time, so that a target that has recovered is tried again.
  base::Duration memory_half_life = base::Duration::Seconds(10);
  /// Most by which a target's own load report can raise its cost. Reports lag and may be wrong, so
  /// this is less than one request in flight or a doubled latency adds.
  float max_report_share = 0.25F;
  /// Reports older than this are ignored.
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
    float reported_load = 0;
    base::Instant updated;
    base::Instant report_end;
  };

  float Latency(const Observed& observed, base::Instant now) const;
  float Cost(const Pool& pool, std::uint32_t target, base::Instant now) const;

  Settings settings_;
  std::vector<Observed> targets_;
  /// Average over all targets, for those without observations of their own.
  float pool_average_ = 0;
};

static_assert(PlacementPolicy<WeightedTwoChoices>);

}  // namespace mangonotch::placement
