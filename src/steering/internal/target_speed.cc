// Fit of the service times against the load, shrunk towards the average of the service.
#include "steering/target_speed.h"

#include <algorithm>
#include <cmath>

namespace mangonotch::steering {
namespace {

/// Targets change their speed for seconds to minutes, and a host with 60 requests per second has a
/// few answers of each of 200 targets within this time.
constexpr double kTargetMemorySeconds = 10;
/// The differences between the targets of a service change slowly.
constexpr double kServiceMemorySeconds = 60;
/// Bounds the deviation of a single answer: some requests take far longer than others.
constexpr double kMaxRatio = 8;
/// Pairs of answers before the differences between targets are known.
constexpr double kMinPairs = 20;
/// Bounds of PriorAnswers. The lower one keeps a single answer from deciding alone; at the upper
/// one, a host's answers of 10 s hardly matter.
constexpr double kMinPriorAnswers = 1;
constexpr double kMaxPriorAnswers = 100;

double Decay(base::Instant from, base::Instant to, double memory_seconds) {
  return std::exp(-(to - from).seconds() / memory_seconds);
}

}  // namespace

void TargetSpeed::Observe(double service_ms, double load, base::Instant now) {
  const double kept = Decay(updated_at_, now, kTargetMemorySeconds);
  updated_at_ = now;
  answers_ = answers_ * kept + 1;
  loads_ = loads_ * kept + load;
  times_ = times_ * kept + service_ms;
  squared_loads_ = squared_loads_ * kept + load * load;
  loads_by_times_ = loads_by_times_ * kept + load * service_ms;
  previous_ms_ = newest_ms_;
  newest_ms_ = service_ms;
}

TargetSpeed::Line TargetSpeed::Fit(double prior_ms, double prior_answers, std::uint32_t slots,
                                   base::Instant now) const {
  if (answers_ == 0) return {.base_ms = prior_ms};
  const double kept = Decay(updated_at_, now, kTargetMemorySeconds);
  // Half of the prior answers are at no load and half at full load, which makes their line level.
  const double max_load = std::max(slots, 1U);
  const double prior_loads = prior_answers / 2 * max_load;
  const double answers = answers_ * kept + prior_answers;
  const double loads = loads_ * kept + prior_loads;
  const double times = times_ * kept + prior_answers * prior_ms;
  const double squared_loads = squared_loads_ * kept + prior_loads * max_load;
  const double loads_by_times = loads_by_times_ * kept + prior_loads * prior_ms;
  const double determinant = answers * squared_loads - loads * loads;
  // A target does not get faster with load; what seems so is chance or warmer caches.
  const double slope = std::max(0.0, (answers * loads_by_times - loads * times) / determinant);
  return {.base_ms = std::max((times - slope * loads) / answers, 0.0), .slope_ms = slope};
}

void SpeedVariation::Observe(const TargetSpeed& target, double average_ms, base::Instant now) {
  if (target.previous_ms() == 0 || average_ms <= 0) return;
  const auto deviation = [&](double ms) { return std::min(ms / average_ms, kMaxRatio) - 1; };
  const double newest = deviation(target.newest_ms());
  const double kept = Decay(updated_at_, now, kServiceMemorySeconds);
  updated_at_ = now;
  pairs_ = pairs_ * kept + 1;
  variance_sum_ = variance_sum_ * kept + newest * newest;
  covariance_sum_ = covariance_sum_ * kept + newest * deviation(target.previous_ms());
}

double SpeedVariation::PriorAnswers() const {
  if (pairs_ < kMinPairs || covariance_sum_ <= 0) return kMaxPriorAnswers;
  return std::clamp((variance_sum_ - covariance_sum_) / covariance_sum_, kMinPriorAnswers,
                    kMaxPriorAnswers);
}

}  // namespace mangonotch::steering
