#include "shift/move_cap.h"

#include <algorithm>
#include <cmath>

namespace mangonotch::shift {

double MoveCap::cap_slots() const {
  return std::floor(limits_.region_limit * limits_.cap_percent / 100.0);
}

void MoveCap::SetLimits(const MoveLimits& limits, base::Instant now) {
  limits_ = limits;
  level_ = std::min(level_, cap_slots());
  level_at_ = std::max(level_at_, now);
}

void MoveCap::StartFrom(std::uint32_t used_slots, base::Instant now) {
  level_ = std::min<double>(used_slots, cap_slots());
  level_at_ = now;
}

std::uint32_t MoveCap::Allowed(std::uint32_t used_slots, base::Instant now) {
  const double minutes = std::max(0.0, (now - level_at_).seconds()) / 60.0;
  const double step = limits_.region_limit * limits_.ramp_points_per_minute / 100.0 * minutes;
  const double goal = std::min<double>(used_slots + 1.0, cap_slots());
  level_ = goal > level_ ? std::min(goal, level_ + step) : std::max(goal, level_ - step);
  level_at_ = std::max(level_at_, now);
  // Rounding errors of many small steps can leave the level just below a whole slot.
  return static_cast<std::uint32_t>(std::floor(std::min(level_ + 1e-6, cap_slots())));
}

}  // namespace mangonotch::shift
