// What a host learns of how fast a target works, and how that depends on the target's load, from
// the service times of its own requests.
#pragma once

#include <cstdint>

#include "base/instant.h"

namespace mangonotch::steering {

/// A straight line through the service times of a target against its load when the answers came.
class TargetSpeed {
 public:
  /// `load` is the number of other requests at the target.
  void Observe(double service_ms, double load, base::Instant now);

  struct Line {
    /// Service time without load, and its growth with each further request at the target.
    double base_ms = 0;
    double slope_ms = 0;

    double At(double load) const { return base_ms + slope_ms * load; }
  };
  /// Assumes a level line at `prior_ms`, which counts as much as `prior_answers`.
  Line Fit(double prior_ms, double prior_answers, std::uint32_t slots, base::Instant now) const;

  /// The newest service times, newest first; 0 if there was none.
  double newest_ms() const { return newest_ms_; }
  double previous_ms() const { return previous_ms_; }

 private:
  /// Decaying sums over the answers: number, loads, service times, and products.
  double answers_ = 0;
  double loads_ = 0;
  double times_ = 0;
  double squared_loads_ = 0;
  double loads_by_times_ = 0;
  base::Instant updated_at_;
  double newest_ms_ = 0;
  double previous_ms_ = 0;
};

/// How far the targets of a service differ, learned from the answers of all of them: it decides how
/// many answers a target needs until its own count for more than the average of the service.
class SpeedVariation {
 public:
  /// Call after each answer of a target.
  void Observe(const TargetSpeed& target, double average_ms, base::Instant now);
  /// Number of a target's own answers that count as much as the assumption that it is average.
  double PriorAnswers() const;

 private:
  /// Decaying sums over pairs of successive answers of a target: their number, and the products of
  /// their relative deviations from the average.
  double pairs_ = 0;
  double variance_sum_ = 0;
  /// What single requests differ by is independent and cancels out, so that the differences between
  /// targets remain.
  double covariance_sum_ = 0;
  base::Instant updated_at_;
};

}  // namespace mangonotch::steering
