// Retry budget: limits retries to a share of recent requests, so that failures do not multiply the
// load.
#pragma once

#include <cstdint>

#include "base/instant.h"

namespace mangonotch::retry {

struct BudgetSettings {
  /// Retries earned by each request, in thousandths.
  std::uint32_t share_per_mille = 100;
  /// Maximum number of saved retries; limits the burst after a long time without failures.
  std::uint32_t max_saved = 100;
  /// Retries that a host with little traffic may make without having earned them.
  std::uint32_t reserve = 3;
  /// Interval at which a host with little traffic regains one retry of its reserve.
  base::Duration reserve_interval = base::Duration::Seconds(10);
};

class Budget {
 public:
  explicit Budget(const BudgetSettings& settings, base::Instant now);

  /// Credits the budget for a request. To be called once per request, on its first attempt.
  void OnRequest(base::Instant now);

  /// Takes one retry from the budget. Returns false if the budget is exhausted.
  bool TryRetry(base::Instant now);

 private:
  void AdvanceTo(base::Instant now);

  BudgetSettings settings_;
  /// Both balances are in thousandths of a retry. Earned retries refill the reserve first, so that
  /// a busy host's retries stay within the share even after it has used the reserve.
  std::uint32_t saved_units_ = 0;
  std::uint32_t reserve_units_;
  std::uint32_t requests_in_interval_ = 0;
  bool is_quiet_ = true;
  base::Instant interval_end_;
};

}  // namespace mangonotch::retry
