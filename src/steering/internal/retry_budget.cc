// Computation of the retry budget.
#include "steering/retry_budget.h"

#include <algorithm>

namespace mangonotch::steering {
namespace {

/// Fraction of the ratio that a host uses. The margin covers sliding windows whose edges do not
/// coincide with the bucket edges of this host's counters.
constexpr double kRatioShare = 0.75;
/// Fraction of the allowance that the hosts divide among themselves. The rest covers hosts that
/// restart within a window and lose the count of the retries they have used.
constexpr double kAllowanceShare = 0.5;

}  // namespace

void RetryBudget::SetLimits(const RetryLimits& limits, base::Instant now) {
  if (limits.window != limits_.window) {
    SlidingWindowCounter retries(limits.window);
    retries.Add(now, retries_.Count(now));
    retries_ = retries;
    requests_ = SlidingWindowCounter(limits.window);
  }
  limits_ = limits;
}

double RetryBudget::Remaining(std::uint32_t hosts, base::Instant now) {
  const double earned = limits_.ratio * kRatioShare * requests_.Count(now);
  const double part =
      kAllowanceShare * limits_.allowance / static_cast<double>(std::max(hosts, 1U));
  return earned + part - retries_.Count(now);
}

bool RetryBudget::TryConsume(std::uint32_t hosts, base::Instant now) {
  if (Remaining(hosts, now) < 1) return false;
  retries_.Add(now);
  return true;
}

}  // namespace mangonotch::steering
