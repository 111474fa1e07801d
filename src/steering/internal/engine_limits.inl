// Engine: limits and signals that targets give in their answers.
#pragma once

#include "base/hash.h"
#include "steering/engine.h"

namespace mangonotch::steering {

template <typename Port, DecisionObserver Observer>
HostPosition Engine<Port, Observer>::PositionFor(const TargetState& target) const {
  HostPosition position{.is_local = target.region() == settings_.region,
                        .hosts = static_cast<std::uint32_t>(local_host_keys_.size() + 1),
                        .rank = static_cast<std::uint32_t>(RankAmongHosts(target.key())),
                        .all_hosts = host_count_};
  const auto rank_of = [&](std::string_view region) {
    return base::Mix(base::Hash(region) ^ target.key());
  };
  const std::uint64_t own = rank_of(settings_.region);
  for (const std::string& it : regions_) {
    if (it == target.region()) continue;
    ++position.other_regions;
    if (it != settings_.region && rank_of(it) < own) ++position.region_rank;
  }
  return position;
}

template <typename Port, DecisionObserver Observer>
base::Instant Engine<Port, Observer>::NextSendAt(const TargetState& target,
                                                 base::Instant now) const {
  const base::Instant after_backoff = std::max(target.signals().backoff_until(), now);
  if (!target.limit().is_active()) return after_backoff;
  return std::max(after_backoff, target.limit().NextSendAt(PositionFor(target), now));
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::ObserveRateLimit(const Attempt& attempt, const AttemptOutcome& outcome,
                                              base::Instant now) {
  TargetState& target = *attempt.target;
  const RateLimitReport& report = outcome.rate_limit;
  if (report.kind == ReportKind::kMalformed) observer_.OnMalformedRateLimit(target, now);
  // Only the answer to a request that was served shows that the limit has ended: a refusal may
  // leave it out, and one of another incarnation says nothing about this one.
  const bool is_served =
      outcome.result == AttemptResult::kAnswered || outcome.result == AttemptResult::kFailed;
  const bool is_refusal_with_limit =
      outcome.result == AttemptResult::kNotRun && report.kind == ReportKind::kGiven;
  const bool is_relevant = target.limit().is_active() || report.kind != ReportKind::kNone;
  if (!is_relevant || (!is_served && !is_refusal_with_limit)) return;
  if (target.limit().OnAnswer(report, PositionFor(target), attempt.sent_at, now)) {
    observer_.OnRateLimitChanged(target, now);
  }
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::ObserveSignals(const Attempt& attempt, const AttemptOutcome& outcome,
                                            base::Instant now) {
  TargetState& target = *attempt.target;
  const bool is_malformed =
      outcome.backoff.kind == ReportKind::kMalformed || outcome.leaving == ReportKind::kMalformed;
  if (is_malformed) observer_.OnMalformedSignal(target, now);
  if (target.signals().OnAnswer(outcome, now)) observer_.OnSignalsChanged(target, now);
}

template <typename Port, DecisionObserver Observer>
base::Duration Engine<Port, Observer>::RetryAfterBackoff(const Exchange& exchange,
                                                         base::Instant backoff_until,
                                                         base::Instant now) const {
  /// Part of the wait over which callers are spread, at most kMaxSpread.
  constexpr std::int64_t kSpreadDivisor = 4;
  constexpr base::Duration kMaxSpread = base::Duration::Milliseconds(500);
  constexpr std::int64_t kSteps = 1000;
  const base::Duration wait = backoff_until - now;
  const base::Duration spread = std::min(wait / kSpreadDivisor, kMaxSpread);
  const auto step = static_cast<std::int64_t>(base::Mix(settings_.host_key ^ exchange.id) % kSteps);
  const base::Duration spread_wait = wait + spread * step / kSteps;
  return std::max(std::min(spread_wait, exchange.deadline - now), kMinRetryAfter);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::ScheduleDispatch(ServiceState& service, base::Instant at) {
  if (at >= service.dispatch_at()) return;
  dispatch_timers_.erase({service.dispatch_at(), &service});
  service.set_dispatch_at(at);
  dispatch_timers_.emplace(at, &service);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::DispatchWithinLimits(base::Instant now) {
  while (!dispatch_timers_.empty() && dispatch_timers_.begin()->first <= now) {
    ServiceState& service = *dispatch_timers_.begin()->second;
    dispatch_timers_.erase(dispatch_timers_.begin());
    service.set_dispatch_at(base::Instant::Never());
    DispatchWaiting(service, now);
  }
}

}  // namespace mangonotch::steering
