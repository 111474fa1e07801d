// What a target says of its own availability in its answers: that it is leaving, and until when it
// wants no requests from this host. A target that says either gets none, whatever the store says of
// it: the store may be away or behind, and a target speaks for itself alone. Leaving ends with the
// target's incarnation, a back-off at its deadline or with the incarnation.
#pragma once

#include "base/instant.h"
#include "steering/attempt.h"

namespace mangonotch::steering {

class TargetSignals {
 public:
  /// Applies the reports of a complete answer of the target. Returns whether anything has changed.
  bool OnAnswer(const AttemptOutcome& outcome, base::Instant now);

  bool is_leaving() const { return is_leaving_; }
  /// The target is sent nothing before that; not later than now if it is not backing off.
  base::Instant backoff_until() const { return backoff_until_; }
  /// How long the signals are remembered when the store no longer lists the target: it may list the
  /// same incarnation again.
  base::Instant keep_until() const { return keep_until_; }

 private:
  bool is_leaving_ = false;
  base::Instant backoff_until_;
  base::Instant keep_until_;
};

}  // namespace mangonotch::steering
