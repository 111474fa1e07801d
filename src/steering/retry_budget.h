// Limits retries and hedged requests, summed over all hosts, to a ratio of the requests in a
// sliding window plus a fixed allowance. Each host applies the ratio to its own requests and uses
// its part of the allowance.
#pragma once

#include <cstdint>

#include "steering/sliding_window_counter.h"

namespace mangonotch::steering {

struct RetryLimits {
  /// Retries permitted per request.
  double ratio = 0.1;
  /// Additional retries per window that all hosts together may make.
  std::uint32_t allowance = 0;
  /// Must be equal on all hosts.
  base::Duration window = base::Duration::Seconds(10);

  bool operator==(const RetryLimits&) const = default;
};

class RetryBudget {
 public:
  explicit RetryBudget(const RetryLimits& limits)
      : limits_(limits), requests_(limits.window), retries_(limits.window) {}

  /// Changes the limits. If the window changes, the retries of the previous window count as made at
  /// `now` and its requests are discarded, so that the sum stays within both the old and the new
  /// limits.
  void SetLimits(const RetryLimits& limits, base::Instant now);

  void OnRequest(base::Instant now) { requests_.Add(now); }

  /// Consumes one retry; returns false when none remains. `hosts` is the number of hosts that share
  /// the allowance, including this one.
  bool TryConsume(std::uint32_t hosts, base::Instant now);

  /// Number of retries that remain in the window that ends at `now`.
  double Remaining(std::uint32_t hosts, base::Instant now);

 private:
  RetryLimits limits_;
  SlidingWindowCounter requests_;
  SlidingWindowCounter retries_;
};

}  // namespace mangonotch::steering
