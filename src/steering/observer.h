// Receives every decision of the engine with its inputs, for logs and metrics.
#pragma once

#include <concepts>
#include <cstdint>

#include "base/instant.h"
#include "steering/attempt.h"
#include "steering/exchange.h"
#include "steering/placement.h"

namespace mangonotch::steering {

/// Why an exchange gets a further attempt.
enum class RepeatReason : std::uint8_t { kNotRun, kMisdirected, kNotSent, kFailed, kLost, kHedge };
std::string_view NameOf(RepeatReason reason);

/// Why an exchange gets no further attempt, though it would be safe.
enum class RepeatDenial : std::uint8_t { kAttemptsSpent, kNoTarget, kNoRoom, kTooLate, kBudget };
std::string_view NameOf(RepeatDenial denial);

template <typename O>
concept DecisionObserver = requires(O& observer, const Exchange& exchange, const Choice& choice,
                                    const AttemptOutcome& outcome, AttemptNumber number,
                                    RepeatReason reason, RepeatDenial denial,
                                    const Conclusion& conclusion, base::Duration delay,
                                    base::Instant now) {
  observer.OnSent(exchange, choice, now);
  /// No target has room; `delay` is the expected wait for one.
  observer.OnFull(exchange, choice, delay, now);
  observer.OnOutcome(exchange, number, outcome, now);
  observer.OnRepeat(exchange, reason, now);
  observer.OnRepeatDenied(exchange, reason, denial, now);
  observer.OnDelivered(exchange, number, now);
  observer.OnConcluded(exchange, conclusion, now);
  observer.OnCallerGone(exchange, now);
};

}  // namespace mangonotch::steering
