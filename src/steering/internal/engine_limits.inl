// Engine: limits that targets name in their answers.
#pragma once

#include "steering/engine.h"

namespace mangonotch::steering {

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::ObserveRateLimit(const Attempt& attempt, const AttemptOutcome& outcome,
                                              base::Instant now) {
  TargetState& target = *attempt.target;
  const RateLimitReport& report = outcome.rate_limit;
  if (report.kind == RateLimitReport::Kind::kMalformed) observer_.OnMalformedRateLimit(target, now);
  // Only the answer to a request that was served shows that the limit has ended: a refusal may
  // leave it out, and one of another incarnation says nothing about this one.
  const bool is_served =
      outcome.result == AttemptResult::kAnswered || outcome.result == AttemptResult::kFailed;
  const bool is_refusal_with_limit =
      outcome.result == AttemptResult::kNotRun && report.kind == RateLimitReport::Kind::kNamed;
  if (!is_served && !is_refusal_with_limit) return;
  if (target.limit().OnAnswer(report, attempt.sent_at, now)) {
    observer_.OnRateLimitChanged(target, now);
  }
}

}  // namespace mangonotch::steering
