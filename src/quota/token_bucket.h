// Tokens that accrue at a rate up to a depth. Its level may be below zero.
#pragma once

#include <algorithm>

#include "base/instant.h"

namespace mangonotch::quota {

class TokenBucket {
 public:
  TokenBucket() = default;
  TokenBucket(double level, base::Instant now) : level_(level), updated_at_(now) {}

  /// Accrues at `rate` tokens per second since the last call, up to `depth`.
  double Level(double rate, double depth, base::Instant now) {
    const double elapsed = std::max((now - updated_at_).seconds(), 0.0);
    level_ = std::min(level_ + rate * elapsed, depth);
    updated_at_ = std::max(updated_at_, now);
    return level_;
  }
  void Take(double tokens) { level_ -= tokens; }

 private:
  double level_ = 0;
  base::Instant updated_at_;
};

}  // namespace mangonotch::quota
