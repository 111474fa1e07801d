// Service time is an exponentially weighted moving average. Each sample moves it by 1/8 of the
// difference, like the smoothed round-trip time of TCP.
#include "admission/class_load.h"

#include <algorithm>
#include <cmath>

namespace mangonotch::admission {
namespace {

constexpr std::int64_t kAverageDivisor = 8;
constexpr base::Duration kMinRetryAfter = base::Duration::Milliseconds(1);

}  // namespace

ClassLoad::ClassLoad(const ClassLoadSettings& settings)
    : settings_(settings), service_time_(settings.initial_service_time) {}

void ClassLoad::OnAcquired(base::RegionIndex region, base::Instant now) {
  if (region.value >= regions_.size()) regions_.resize(region.value + 1);
  RegionUse& use = regions_[region.value];
  ++use.in_use;
  const float peak = PeakAt(use, now);
  use.peak = std::max(peak, static_cast<float>(use.in_use));
  use.peak_time = now;
}

void ClassLoad::OnReleased(base::RegionIndex region, base::Duration held) {
  if (region.value < regions_.size() && regions_[region.value].in_use > 0) {
    --regions_[region.value].in_use;
  }
  service_time_ = service_time_ + (held - service_time_) / kAverageDivisor;
}

base::Duration ClassLoad::ExpectedWait(std::size_t position, std::uint32_t usable_slots) const {
  if (usable_slots == 0) return settings_.grant_delay;
  return service_time_ * static_cast<std::int64_t>(position) / usable_slots;
}

base::Duration ClassLoad::RetryAfter(std::size_t waiting, std::uint32_t usable_slots) const {
  return std::max(ExpectedWait(waiting + 1, usable_slots), kMinRetryAfter);
}

float ClassLoad::PeakAt(const RegionUse& use, base::Instant now) const {
  const float half_lives =
      static_cast<float>((now - use.peak_time).seconds() / settings_.peak_half_life.seconds());
  const auto in_use = static_cast<float>(use.in_use);
  return in_use + (use.peak - in_use) * std::exp2(-half_lives);
}

Demand ClassLoad::DemandFor(base::RegionIndex region, base::Instant now) const {
  Demand demand;
  if (region.value >= regions_.size()) return demand;
  const RegionUse& use = regions_[region.value];
  demand.in_use = use.in_use;
  const float spare = PeakAt(use, now) - static_cast<float>(use.in_use);
  demand.headroom = static_cast<std::uint16_t>(std::lround(std::max(spare, 0.0F)));
  return demand;
}

}  // namespace mangonotch::admission
