// Bounds retries to a share of recent traffic, so that failures do not multiply the load.
#pragma once

#include <cstdint>

#include "base/instant.h"

namespace mangonotch::retry {

struct BudgetSettings {
  /// Retries earned by each request, in thousandths.
  std::uint32_t share_per_mille = 100;
  /// Earned retries that may be saved up; bounds a burst after a long time without failures.
  std::uint32_t max_saved = 100;
  /// Retries that a quiet host may make before its traffic has earned any.
  std::uint32_t reserve = 3;
  /// A quiet host gets one retry of its reserve back in this time.
  base::Duration reserve_interval = base::Duration::Seconds(10);
};

class Budget {
 public:
  explicit Budget(const BudgetSettings& settings, base::Instant now);

  /// Counts the first attempt of a request.
  void OnRequest(base::Instant now);

  /// Takes one retry from the budget; false when there is none.
  bool TryRetry(base::Instant now);

 private:
  void AdvanceTo(base::Instant now);

  BudgetSettings settings_;
  /// Thousandths of a retry. Earnings first fill up the reserve, so that the retries of a busy host
  /// stay within the share also after it has used the reserve.
  std::uint32_t saved_ = 0;
  std::uint32_t reserve_;
  std::uint32_t requests_in_interval_ = 0;
  bool is_quiet_ = true;
  base::Instant interval_end_;
};

}  // namespace mangonotch::retry
