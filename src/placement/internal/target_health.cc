// Outlier detection by comparison with the pool. An evaluation is linear in the number of targets
// and runs on every tick; an observation takes constant time.
#include "placement/target_health.h"

#include <algorithm>
#include <cmath>

namespace mangonotch::placement {
namespace {

/// Number of observations over which a target's latency is averaged.
constexpr std::uint8_t kAverageSamples = 8;
/// Minimum number of observed targets for a median; of two targets neither can be called an
/// outlier.
constexpr std::size_t kMinTargets = 3;
/// Consecutive failures that eject a target again after its readmission.
constexpr std::uint8_t kFailuresAfterReturn = 2;
/// Time constants of the average of needed slots for rising and falling load.
constexpr double kRiseSeconds = 0.5;
constexpr double kFallSeconds = 5;

}  // namespace

void TargetHealth::Reset(std::uint32_t target, bool is_cold, base::Instant now) {
  Record& record = targets_[target];
  record = {};
  if (!is_cold) return;
  record.state = State::kRamping;
  record.end = now + settings_.ramp;
}

bool TargetHealth::OnAnswered(std::uint32_t target, base::WorkClass work_class,
                              base::Duration latency) {
  targets_[target].failures = 0;
  return Observe(target, work_class, static_cast<float>(latency.seconds()));
}

bool TargetHealth::OnFailed(std::uint32_t target) {
  Record& record = targets_[target];
  if (record.failures < settings_.consecutive_failures) ++record.failures;
  return Severity(record) > 0;
}

bool TargetHealth::OnOverdue(std::uint32_t target, base::WorkClass work_class) {
  const float median = medians_[static_cast<std::size_t>(work_class)];
  return Observe(target, work_class, median * settings_.max_factor);
}

bool TargetHealth::IsOverdue(base::WorkClass work_class, base::Duration age) const {
  const float median = medians_[static_cast<std::size_t>(work_class)];
  return median > 0 && age.seconds() > median * settings_.overdue_factor;
}

bool TargetHealth::Observe(std::uint32_t target, base::WorkClass work_class, float seconds) {
  const auto i = static_cast<std::size_t>(work_class);
  Record& record = targets_[target];
  Average& average = record.averages[i];
  if (medians_[i] > 0) seconds = std::min(seconds, medians_[i] * settings_.max_factor);
  if (average.samples < kAverageSamples) ++average.samples;
  average.latency += (seconds - average.latency) / static_cast<float>(average.samples);
  return Severity(record) > 0;
}

float TargetHealth::Slowness(const Record& record, std::size_t work_class) const {
  if (medians_[work_class] <= 0 || record.averages[work_class].samples == 0) return 1;
  return std::max(record.averages[work_class].latency / medians_[work_class], 1.0F);
}

bool TargetHealth::IsFailing(const Record& record) const {
  const std::uint8_t limit = record.exclusions > 0
                                 ? std::min(kFailuresAfterReturn, settings_.consecutive_failures)
                                 : settings_.consecutive_failures;
  return record.failures >= limit;
}

/// Greater than 0 for a target that should be ejected: its latency relative to the median, or for a
/// failing target a value above that of any slow one.
float TargetHealth::Severity(const Record& record) const {
  if (record.state == State::kExcluded) return 0;
  if (IsFailing(record)) return settings_.max_factor + 1;
  float slowness = 0;
  for (std::size_t i = 0; i < base::kWorkClasses; ++i) {
    // A recently readmitted target is ejected again on its first slow answers.
    const bool has_enough = record.averages[i].samples >= kAverageSamples || record.exclusions > 0;
    if (has_enough) slowness = std::max(slowness, Slowness(record, i));
  }
  return slowness > settings_.slow_factor ? slowness : 0;
}

float TargetHealth::Share(const Record& record, base::Instant now) const {
  if (record.state == State::kExcluded) return 0;
  if (record.state == State::kWarm || now >= record.end) return 1;
  const double left = (record.end - now).seconds() / settings_.ramp.seconds();
  return static_cast<float>(settings_.ramp_start + (1 - settings_.ramp_start) * (1 - left));
}

float TargetHealth::NeededSlots(base::RegionIndex region, base::WorkClass work_class) const {
  if (region.value >= regions_.size()) return 0;
  return regions_[region.value].needed[static_cast<std::size_t>(work_class)];
}

Verdict TargetHealth::VerdictFor(std::uint32_t target, base::RegionIndex region,
                                 base::Instant now) const {
  const Record& record = targets_[target];
  const bool is_excluded = record.state == State::kExcluded;
  if (is_excluded && record.is_ejected) return {.is_ejected = true, .share = 0};
  if (is_excluded) return {.is_reserve = true, .slowness = record.severity};
  Verdict verdict{.share = Share(record, now)};
  if (verdict.share >= 1 || region.value >= regions_.size()) return verdict;
  const Region& pool = regions_[region.value];
  verdict.limits_slots = true;
  for (std::size_t i = 0; i < base::kWorkClasses; ++i) {
    const bool is_needed = pool.ramped_slots[i] < pool.needed[i] * settings_.min_capacity_factor;
    if (is_needed) verdict.limits_slots = false;
  }
  return verdict;
}

void TargetHealth::Evaluate(std::span<const PoolMember> pool,
                            std::array<std::size_t, base::kWorkClasses> waiting,
                            base::Instant now) {
  UpdateMedians(pool);
  AdvanceStates(now);
  if (settings_.is_ejection_enabled) ExcludeOutliers(pool, now);
  UpdateRegions(pool, waiting, now);
  EjectWorst(pool);
  last_evaluation_ = now;
}

void TargetHealth::UpdateMedians(std::span<const PoolMember> pool) {
  for (std::size_t i = 0; i < base::kWorkClasses; ++i) {
    scratch_.clear();
    for (std::size_t target = 0; target < pool.size(); ++target) {
      const Average& average = targets_[target].averages[i];
      const bool counts = pool[target].is_open && average.samples >= kAverageSamples;
      if (counts) scratch_.push_back(average.latency);
    }
    if (scratch_.size() < kMinTargets) continue;
    const auto middle = scratch_.begin() + static_cast<std::ptrdiff_t>(scratch_.size() / 2);
    std::nth_element(scratch_.begin(), middle, scratch_.end());
    medians_[i] = *middle;
  }
}

bool TargetHealth::HasEnoughSamples(const Record& record) const {
  return std::any_of(record.averages.begin(), record.averages.end(),
                     [](const Average& average) { return average.samples >= kAverageSamples; });
}

void TargetHealth::AdvanceStates(base::Instant now) {
  for (Record& record : targets_) {
    if (record.state == State::kExcluded && now >= record.end) Readmit(record, now);
    if (record.state == State::kRamping && now >= record.end) record.state = State::kWarm;
    if (record.state == State::kWarm && record.exclusions > 0 && HasEnoughSamples(record)) {
      record.exclusions = 0;
    }
  }
}

void TargetHealth::UpdateRegions(std::span<const PoolMember> pool,
                                 std::array<std::size_t, base::kWorkClasses> waiting,
                                 base::Instant now) {
  for (Region& region : regions_) {
    region.open = region.ejected = 0;
    region.slots = region.ramped_slots = region.current_needed = {};
  }
  std::array<float, base::kWorkClasses> all_slots{};
  for (std::uint32_t target = 0; target < pool.size(); ++target) {
    const PoolMember& member = pool[target];
    const Record& record = targets_[target];
    if (regions_.size() <= member.region.value) regions_.resize(member.region.value + 1);
    Region& region = regions_[member.region.value];
    if (member.is_open) ++region.open;
    for (std::size_t i = 0; i < base::kWorkClasses; ++i) {
      region.current_needed[i] += static_cast<float>(member.in_use[i]) / Slowness(record, i);
      if (!member.is_open) continue;
      const auto slots = static_cast<float>(member.slots[i]);
      region.slots[i] += slots;
      region.ramped_slots[i] += slots * Share(record, now);
      all_slots[i] += slots;
    }
  }
  const double elapsed = (now - last_evaluation_).seconds();
  for (Region& region : regions_) {
    for (std::size_t i = 0; i < base::kWorkClasses; ++i) {
      // Waiters are attributed to the regions in proportion to their slots.
      const float share = all_slots[i] > 0 ? region.slots[i] / all_slots[i] : 0;
      region.current_needed[i] += static_cast<float>(waiting[i]) * share;
      const float change = region.current_needed[i] - region.needed[i];
      const double constant = change > 0 ? kRiseSeconds : kFallSeconds;
      region.needed[i] += change * static_cast<float>(1 - std::exp(-elapsed / constant));
    }
  }
}

bool TargetHealth::CanEject(const PoolMember& member, const Record& record) const {
  const Region& region = regions_[member.region.value];
  const std::uint32_t allowed = std::max(region.open * settings_.max_ejected_per_mille / 1000, 1U);
  if (region.ejected + 1 > allowed || region.ejected + 1 >= region.open) return false;
  // A target that fails all requests provides no capacity, so the load does not need it.
  if (IsFailing(record)) return true;
  for (std::size_t i = 0; i < base::kWorkClasses; ++i) {
    if (member.slots[i] == 0) continue;
    const float left = region.slots[i] - static_cast<float>(member.slots[i]);
    if (left <= 0 || left < region.needed[i] * settings_.min_capacity_factor) return false;
  }
  return true;
}

void TargetHealth::ExcludeOutliers(std::span<const PoolMember> pool, base::Instant now) {
  for (std::uint32_t target = 0; target < pool.size(); ++target) {
    Record& record = targets_[target];
    if (pool[target].is_open && Severity(record) > 0) Exclude(record, now);
  }
}

/// Ejects as many of the excluded targets as the limits in CanEject allow, worst first. The others
/// stay in reserve.
void TargetHealth::EjectWorst(std::span<const PoolMember> pool) {
  excluded_.clear();
  for (std::uint32_t target = 0; target < pool.size(); ++target) {
    const bool is_excluded = targets_[target].state == State::kExcluded;
    if (pool[target].is_open && is_excluded) excluded_.push_back(target);
  }
  std::sort(excluded_.begin(), excluded_.end(), [&](std::uint32_t a, std::uint32_t b) {
    return targets_[a].severity > targets_[b].severity;
  });
  for (const std::uint32_t target : excluded_) {
    Record& record = targets_[target];
    const PoolMember& member = pool[target];
    record.is_ejected = CanEject(member, record);
    if (!record.is_ejected) continue;
    Region& region = regions_[member.region.value];
    ++region.ejected;
    for (std::size_t i = 0; i < base::kWorkClasses; ++i) {
      region.slots[i] -= static_cast<float>(member.slots[i]);
    }
  }
}

void TargetHealth::Exclude(Record& record, base::Instant now) {
  base::Duration length = settings_.ejection;
  for (int i = 0; i < record.exclusions && length < settings_.max_ejection; ++i) {
    length = length * 2;
  }
  record.severity = Severity(record);
  record.end = now + std::min(length, settings_.max_ejection);
  record.state = State::kExcluded;
  if (record.exclusions < 255) ++record.exclusions;
}

void TargetHealth::Readmit(Record& record, base::Instant now) {
  record.state = State::kRamping;
  record.end = now + settings_.ramp;
  record.failures = 0;
  record.averages = {};
}

}  // namespace mangonotch::placement
