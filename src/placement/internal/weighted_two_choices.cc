// Costs are computed on comparison, so that decayed values need no periodic update.
#include "placement/weighted_two_choices.h"

#include <algorithm>
#include <cmath>

namespace mangonotch::placement {
namespace {

constexpr float kAverageWeight = 0.125F;
constexpr float kPoolAverageWeight = 0.01F;

/// Fraction that remains after exponential decay.
float DecayFactor(base::Duration elapsed, base::Duration half_life) {
  return std::exp2(-static_cast<float>(elapsed.nanoseconds()) /
                   static_cast<float>(half_life.nanoseconds()));
}

}  // namespace

std::size_t WeightedTwoChoices::Choose(const Pool& pool, base::Instant now, base::Random& random) {
  const auto n = static_cast<std::uint32_t>(pool.candidates.size());
  const std::uint32_t a = random.Below(n);
  if (n == 1) return a;
  const std::uint32_t b = (a + 1 + random.Below(n - 1)) % n;
  return Cost(pool, pool.candidates[b], now) < Cost(pool, pool.candidates[a], now) ? b : a;
}

void WeightedTwoChoices::OnComplete(std::uint32_t target, base::Duration latency,
                                    base::Instant now) {
  const auto seconds = static_cast<float>(latency.seconds());
  Observed& observed = targets_[target];
  if (observed.average == 0) {
    observed.average = seconds;
    observed.peak = seconds;
  } else {
    const float peak = Latency(observed, now);
    observed.average += kAverageWeight * (seconds - observed.average);
    observed.peak = std::max({peak, seconds, observed.average});
  }
  observed.updated = now;
  pool_average_ += (pool_average_ == 0 ? 1 : kPoolAverageWeight) * (seconds - pool_average_);
}

void WeightedTwoChoices::OnLoadReport(std::uint32_t target, std::uint16_t per_mille,
                                      base::Instant now) {
  targets_[target].reported_load = static_cast<float>(std::min<std::uint16_t>(per_mille, 1000));
  targets_[target].report_expiry = now + settings_.report_lifetime;
}

float WeightedTwoChoices::Latency(const Observed& observed, base::Instant now) const {
  if (observed.average == 0) return pool_average_;
  const base::Duration age = now - observed.updated;
  const float excess =
      (observed.peak - observed.average) * DecayFactor(age, settings_.peak_half_life);
  const float deviation =
      (observed.average - pool_average_) * DecayFactor(age, settings_.estimate_half_life);
  return pool_average_ + deviation + excess;
}

float WeightedTwoChoices::Cost(const Pool& pool, std::uint32_t target, base::Instant now) const {
  const Observed& observed = targets_[target];
  const TargetLoad& load = pool.loads[target];
  // Without any observation all latencies are 0; the minimum keeps the cost dependent on the load.
  constexpr float kMinLatency = 1e-6F;
  float cost = static_cast<float>(load.in_flight + 1) / load.weight *
               std::max(Latency(observed, now), kMinLatency);
  if (now < observed.report_expiry) {
    cost *= 1 + settings_.max_report_share * observed.reported_load / 1000;
  }
  return cost;
}

}  // namespace mangonotch::placement
