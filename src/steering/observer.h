// Interface through which the engine reports its decisions and their inputs, for logs and metrics.
#pragma once

#include <concepts>
#include <cstdint>

#include "base/instant.h"
#include "steering/attempt.h"
#include "steering/exchange.h"
#include "steering/placement.h"

namespace mangonotch::steering {

/// Why a further attempt is made for an exchange.
enum class RetryReason : std::uint8_t { kNotRun, kMisdirected, kNotSent, kFailed, kLost, kHedge };
std::string_view NameOf(RetryReason reason);

/// Why no further attempt is made for an exchange, although one would be safe.
enum class RetryDenial : std::uint8_t { kAttemptsSpent, kNoTarget, kNoRoom, kTooLate, kBudget };
std::string_view NameOf(RetryDenial denial);

template <typename O>
concept DecisionObserver = requires(O& observer, const Exchange& exchange, const Choice& choice,
                                    const AttemptOutcome& outcome, AttemptNumber number,
                                    RetryReason reason, RetryDenial denial, const LocalReply& reply,
                                    base::Duration delay, const TargetState& target,
                                    base::Instant now) {
  observer.OnSent(exchange, choice, now);
  /// All candidate targets are full; `delay` is the expected time in the queue.
  observer.OnTargetsFull(exchange, choice, delay, now);
  /// What the targets have named, limits or back-offs, leaves no room before `delay` has passed.
  observer.OnTargetsLimited(exchange, delay, now);
  observer.OnOutcome(exchange, number, outcome, now);
  observer.OnRetry(exchange, reason, now);
  observer.OnRetryDenied(exchange, reason, denial, now);
  observer.OnDelivered(exchange, number, now);
  observer.OnLocalReply(exchange, reply, now);
  observer.OnCallerGone(exchange, now);
  /// The target has named another limit, or none any more.
  observer.OnRateLimitChanged(target, now);
  observer.OnMalformedRateLimit(target, now);
  /// The target has said that it is leaving, or until when it wants no requests.
  observer.OnSignalsChanged(target, now);
  observer.OnMalformedSignal(target, now);
};

}  // namespace mangonotch::steering
