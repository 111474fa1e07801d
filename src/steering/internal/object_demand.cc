// Counting of requests by object, and the division of homes among objects.
#include "steering/object_demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mangonotch::steering {
namespace {

/// Demand moves between regions within tens of seconds, and a host with 20 requests per second
/// needs some 10 s to see most of 360 objects.
constexpr base::Duration kPeriod = base::Duration::Seconds(10);
/// Bounds the memory of a period. With more objects, each has the minimum of homes.
constexpr std::size_t kMaxObjects = 4096;
/// Objects that a target may be a home of, on average, in the ranking of one region. The smallest
/// known caches hold 16 objects, and the homes of other regions' rankings take their part of them.
constexpr double kHomesPerTarget = 6;
/// Requests added to each object's count, since a few requests say little of its demand.
constexpr double kPriorRequests = 3;
/// Below this estimated share of the demand that is for known objects, the number of objects cannot
/// be estimated.
constexpr double kMinCoverage = 0.1;

}  // namespace

void ObjectDemand::OnRequest(std::uint64_t key, base::Instant now) {
  if (key == 0) return;
  if (now >= period_end_) {
    // After a pause both periods are outdated.
    const bool is_recent = now < period_end_ + kPeriod;
    previous_ = is_recent ? std::move(current_) : Period();
    current_ = Period();
    period_end_ = now + kPeriod;
    objects_ = static_cast<std::uint32_t>(previous_.counts.size());
    objects_seen_once_ =
        static_cast<std::uint32_t>(std::count_if(previous_.counts.begin(), previous_.counts.end(),
                                                 [](const auto& it) { return it.second == 1; }));
  }
  ++current_.requests;
  const std::uint32_t before = CountOf(key);
  if (!current_.counts.contains(key) && current_.counts.size() >= kMaxObjects) {
    current_.has_overflowed = true;
    return;
  }
  ++current_.counts[key];
  if (before == 0) ++objects_;
  if (before == 0) ++objects_seen_once_;
  if (before == 1) --objects_seen_once_;
}

std::uint32_t ObjectDemand::CountOf(std::uint64_t key) const {
  const auto count_in = [key](const Period& period) {
    const auto it = period.counts.find(key);
    return it == period.counts.end() ? 0 : it->second;
  };
  return count_in(current_) + count_in(previous_);
}

double ObjectDemand::ObjectCount() const {
  if (current_.has_overflowed || previous_.has_overflowed) return 0;
  const std::uint32_t requests = current_.requests + previous_.requests;
  if (requests == 0) return 0;
  // Good-Turing estimate of the share of the demand that is for objects seen so far.
  const double coverage = 1 - static_cast<double>(objects_seen_once_) / requests;
  return coverage < kMinCoverage ? 0 : objects_ / coverage;
}

std::uint32_t ObjectDemand::HomesOf(std::uint64_t key, std::size_t targets) const {
  const double objects = ObjectCount();
  if (objects == 0) return kMinHomes;
  const double average =
      std::min<double>(kHomesPerTarget * static_cast<double>(targets) / objects, kMaxAverageHomes);
  const double mean_count = (current_.requests + previous_.requests) / objects;
  // The sum of the square roots is at most the number of objects, so that the homes per target stay
  // within their bound.
  const double relative_demand = (CountOf(key) + kPriorRequests) / (mean_count + kPriorRequests);
  const double homes = std::round(average * std::sqrt(relative_demand));
  return static_cast<std::uint32_t>(std::clamp<double>(homes, kMinHomes, kMaxHomes));
}

}  // namespace mangonotch::steering
