// Counts in thousandths of a retry, so that the arithmetic is exact.
#include "retry/budget.h"

#include <algorithm>

namespace mangonotch::retry {
namespace {

constexpr std::uint32_t kUnitsPerRetry = 1000;
/// A host with fewer requests than this in an interval has little traffic: at the default share it
/// earns less than one retry, so it could not retry at all without the reserve.
constexpr std::uint32_t kQuietRequests = 10;

}  // namespace

Budget::Budget(const BudgetSettings& settings, base::Instant now)
    : settings_(settings),
      reserve_units_(settings.reserve * kUnitsPerRetry),
      interval_end_(now + settings.reserve_interval) {}

void Budget::AdvanceTo(base::Instant now) {
  if (now < interval_end_) return;
  is_quiet_ = requests_in_interval_ < kQuietRequests;
  if (is_quiet_) {
    reserve_units_ = std::min(reserve_units_ + kUnitsPerRetry, settings_.reserve * kUnitsPerRetry);
  }
  requests_in_interval_ = 0;
  interval_end_ = now + settings_.reserve_interval;
}

void Budget::OnRequest(base::Instant now) {
  AdvanceTo(now);
  if (++requests_in_interval_ >= kQuietRequests) is_quiet_ = false;
  const std::uint32_t missing = settings_.reserve * kUnitsPerRetry - reserve_units_;
  const std::uint32_t repaid = std::min(missing, settings_.share_per_mille);
  reserve_units_ += repaid;
  saved_units_ = std::min(saved_units_ + settings_.share_per_mille - repaid,
                          settings_.max_saved * kUnitsPerRetry);
}

bool Budget::TryRetry(base::Instant now) {
  AdvanceTo(now);
  if (saved_units_ >= kUnitsPerRetry) {
    saved_units_ -= kUnitsPerRetry;
    return true;
  }
  if (!is_quiet_ || reserve_units_ < kUnitsPerRetry) return false;
  reserve_units_ -= kUnitsPerRetry;
  return true;
}

}  // namespace mangonotch::retry
