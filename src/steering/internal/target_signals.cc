// Start and change of a target's signals.
#include "steering/target_signals.h"

#include <algorithm>

namespace mangonotch::steering {
namespace {

/// Longer than a target takes to end after it has said that it is leaving.
constexpr base::Duration kLeavingRetention = base::Duration::Seconds(60);

}  // namespace

bool TargetSignals::OnAnswer(const AttemptOutcome& outcome, base::Instant now) {
  // Another incarnation answers at the address and speaks for itself.
  if (outcome.result == AttemptResult::kMisdirected) return false;
  bool has_changed = false;
  if (outcome.leaving == ReportKind::kGiven) {
    has_changed = !is_leaving_;
    is_leaving_ = true;
    keep_until_ = std::max(keep_until_, now + kLeavingRetention);
  }
  if (outcome.backoff.kind == ReportKind::kGiven) {
    const base::Instant until = now + outcome.backoff.time;
    // Answers may arrive out of order, so a shorter time does not end a longer one.
    if (until > backoff_until_) {
      has_changed = true;
      backoff_until_ = until;
      keep_until_ = std::max(keep_until_, until);
    }
  }
  return has_changed;
}

}  // namespace mangonotch::steering
