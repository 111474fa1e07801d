// Arithmetic of the repeat budget.
#include "steering/repeat_budget.h"

#include <algorithm>

namespace mangonotch::steering {
namespace {

/// Part of the ratio that a host uses: the window of the bound slides and its edges do not meet
/// those of the buckets here.
constexpr double kRatioShare = 0.75;
/// Part of the allowance that the hosts divide. The rest covers hosts that start anew within a
/// window and have forgotten what they spent.
constexpr double kAllowanceShare = 0.5;

}  // namespace

void RepeatBudget::SetLimits(const RepeatLimits& limits, base::Instant now) {
  if (limits.window != limits_.window) {
    SlidingCount repeats(limits.window);
    repeats.Add(now, repeats_.Count(now));
    repeats_ = repeats;
    requests_ = SlidingCount(limits.window);
  }
  limits_ = limits;
}

double RepeatBudget::Left(std::uint32_t hosts, base::Instant now) {
  const double earned = limits_.ratio * kRatioShare * requests_.Count(now);
  const double part =
      kAllowanceShare * limits_.allowance / static_cast<double>(std::max(hosts, 1U));
  return earned + part - repeats_.Count(now);
}

bool RepeatBudget::TryRepeat(std::uint32_t hosts, base::Instant now) {
  if (Left(hosts, now) < 1) return false;
  repeats_.Add(now);
  return true;
}

}  // namespace mangonotch::steering
