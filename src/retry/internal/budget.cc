// Token arithmetic of the retry budget, in thousandths to stay exact.
#include "retry/budget.h"

#include <algorithm>

namespace mangonotch::retry {
namespace {

constexpr std::uint32_t kRetry = 1000;
/// Fewer requests in one interval than would earn one retry at the default share: without the
/// reserve, such a host could make none.
constexpr std::uint32_t kQuietRequests = 10;

}  // namespace

Budget::Budget(const BudgetSettings& settings, base::Instant now)
    : settings_(settings),
      reserve_(settings.reserve * kRetry),
      interval_end_(now + settings.reserve_interval) {}

void Budget::AdvanceTo(base::Instant now) {
  if (now < interval_end_) return;
  is_quiet_ = requests_in_interval_ < kQuietRequests;
  if (is_quiet_) reserve_ = std::min(reserve_ + kRetry, settings_.reserve * kRetry);
  requests_in_interval_ = 0;
  interval_end_ = now + settings_.reserve_interval;
}

void Budget::OnRequest(base::Instant now) {
  AdvanceTo(now);
  if (++requests_in_interval_ >= kQuietRequests) is_quiet_ = false;
  const std::uint32_t missing = settings_.reserve * kRetry - reserve_;
  const std::uint32_t repaid = std::min(missing, settings_.share_per_mille);
  reserve_ += repaid;
  saved_ = std::min(saved_ + settings_.share_per_mille - repaid, settings_.max_saved * kRetry);
}

bool Budget::TryRetry(base::Instant now) {
  AdvanceTo(now);
  if (saved_ >= kRetry) {
    saved_ -= kRetry;
    return true;
  }
  if (!is_quiet_ || reserve_ < kRetry) return false;
  reserve_ -= kRetry;
  return true;
}

}  // namespace mangonotch::retry
