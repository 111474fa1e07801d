// The rate at which a target accepts requests from all hosts together, as the target names it in
// its answers, and this host's part of it.
#pragma once

#include "base/instant.h"
#include "steering/attempt.h"

namespace mangonotch::steering {

class TargetLimit {
 public:
  /// Applies the report of a complete answer of the target to a request sent at `sent_at`. Returns
  /// whether the limit has changed. An answer without a limit ends it only if its request was sent
  /// after the limit was last named: an earlier answer may arrive late.
  bool OnAnswer(const RateLimitReport& report, base::Instant sent_at, base::Instant now);

  bool is_active() const { return is_active_; }
  /// Requests per second from all hosts together; only while active.
  double per_second() const { return per_second_; }

 private:
  bool is_active_ = false;
  double per_second_ = 0;
  base::Instant last_named_at_;
};

}  // namespace mangonotch::steering
