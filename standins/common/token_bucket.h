// Rate limiter of a stand-in.
#pragma once

#include <algorithm>

#include "base/instant.h"

namespace mangonotch::standins {

/// Allows `per_second` calls a second with bursts of the same size; 0 allows all.
class TokenBucket {
 public:
  explicit TokenBucket(double per_second) : per_second_(per_second), tokens_(per_second) {}

  bool Take(base::Instant now) {
    if (per_second_ <= 0) {
      return true;
    }
    tokens_ = std::min(per_second_, tokens_ + (now - refilled_at_).seconds() * per_second_);
    refilled_at_ = now;
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double per_second_;
  double tokens_;
  base::Instant refilled_at_;
};

}  // namespace mangonotch::standins
