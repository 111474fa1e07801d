// Start, change and end of a target's limit.
#include "steering/target_limit.h"

namespace mangonotch::steering {

bool TargetLimit::OnAnswer(const RateLimitReport& report, base::Instant sent_at,
                           base::Instant now) {
  switch (report.kind) {
    case RateLimitReport::Kind::kMalformed:
      return false;
    case RateLimitReport::Kind::kNone: {
      const bool ends = is_active_ && sent_at >= last_named_at_;
      if (ends) is_active_ = false;
      return ends;
    }
    case RateLimitReport::Kind::kNamed:
      break;
  }
  const bool has_changed = !is_active_ || per_second_ != report.per_second;
  is_active_ = true;
  per_second_ = report.per_second;
  last_named_at_ = now;
  return has_changed;
}

}  // namespace mangonotch::steering
