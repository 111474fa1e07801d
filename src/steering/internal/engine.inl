// Engine: request processing, from arrival to answer.
#pragma once

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "steering/engine.h"

namespace mangonotch::steering {

/// A request times out this long after its deadline, so that an answer already in transit is still
/// delivered.
inline constexpr base::Duration kAnswerSlack = base::Duration::Milliseconds(60);
/// A hedged attempt is sent when the first attempt takes this many times its estimate.
inline constexpr std::int64_t kHedgeFactor = 3;
inline constexpr base::Duration kMinHedgeDelay = base::Duration::Milliseconds(60);
/// Answers to requests for objects contribute to the service's average service time if they come
/// from targets up to this affinity rank, since these have the objects in their caches.
inline constexpr std::uint32_t kMaxReferenceRank = 1;
/// Lower bound of the part of an attempt's time that its target took, if the round trip to it was
/// shorter than assumed.
inline constexpr base::Duration kMinServiceTime = base::Duration::Milliseconds(1);
inline constexpr base::Duration kMinRetryAfter = base::Duration::Milliseconds(50);
/// A tenant that exceeds its limit mostly does so for seconds.
inline constexpr base::Duration kOverQuotaRetryAfter = base::Duration::Seconds(1);

constexpr RetryReason ReasonOf(AttemptResult failure) {
  switch (failure) {
    case AttemptResult::kNotRun:
      return RetryReason::kNotRun;
    case AttemptResult::kMisdirected:
      return RetryReason::kMisdirected;
    case AttemptResult::kNotSent:
      return RetryReason::kNotSent;
    case AttemptResult::kFailed:
      return RetryReason::kFailed;
    case AttemptResult::kAnswered:
    case AttemptResult::kLost:
      break;
  }
  return RetryReason::kLost;
}

/// True if the outcome proves that the attempt did not run the request.
constexpr bool ProvesNotRun(AttemptResult result) {
  return result == AttemptResult::kNotRun || result == AttemptResult::kMisdirected ||
         result == AttemptResult::kNotSent;
}

template <typename Port, DecisionObserver Observer>
Engine<Port, Observer>::Engine(EngineSettings settings, Port& port, Observer& observer)
    : settings_(std::move(settings)),
      port_(port),
      observer_(observer),
      placement_(settings_.placement),
      limiter_(settings_.host_key) {
  static_assert(EnginePort<Port>);
  for (const auto& [zone, region] : settings_.zones) regions_.insert(region);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::OnRequest(ExchangeId id, const RequestAttributes& attributes,
                                       base::Instant now) {
  auto& exchange = *exchanges_.emplace(id, std::make_unique<Exchange>()).first->second;
  exchange.id = id;
  exchange.arrived_at = now;
  exchange.deadline = attributes.deadline;
  if (is_stopping_) {
    SendLocalReply(exchange, LocalReplyKind::kNotRun, LocalReplyReason::kStopping, kMinRetryAfter,
                   now);
    return;
  }
  if (!configuration()) {
    SendLocalReply(exchange, LocalReplyKind::kNotRun, LocalReplyReason::kNoConfiguration,
                   kMinRetryAfter, now);
    return;
  }
  exchange.configuration = catalog_->configuration;
  exchange.route = routes_.Find(attributes.host, attributes.target);
  if (exchange.route == nullptr) {
    SendLocalReply(exchange, LocalReplyKind::kNoRoute, LocalReplyReason::kNoRoute, {}, now);
    return;
  }
  if (!Authenticate(exchange, attributes.key)) {
    SendLocalReply(exchange, LocalReplyKind::kUnauthorized, LocalReplyReason::kUnknownKey, {}, now);
    return;
  }
  if (exchange.tenant && !limiter_.TryAdmit(*exchange.tenant, now)) {
    SendLocalReply(exchange, LocalReplyKind::kOverQuota, LocalReplyReason::kOverQuota,
                   kOverQuotaRetryAfter, now);
    return;
  }
  exchange.is_charged_to_quota = exchange.tenant && exchange.tenant->rate_limit > 0;
  exchange.deadline = std::min(attributes.deadline, now + exchange.route->timeout);
  exchange.affinity_key = exchange.route->has_affinity ? attributes.affinity_key : 0;
  exchange.service = &ServiceOf(PickService(*exchange.route));
  exchange.service->budget().OnRequest(now);
  exchange.service->demand().OnRequest(exchange.affinity_key, now);
  SetTimer(exchange, exchange.deadline + kAnswerSlack);
  Dispatch(exchange, now);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::Dispatch(Exchange& exchange, base::Instant now) {
  const Selection selection = SelectTarget(exchange, now);
  if (selection.IsSendable()) {
    Send(exchange, *selection.choice, now);
  } else if (selection.HasTarget()) {
    EnqueueOrRefuse(exchange, selection, now);
  } else {
    SendLocalReply(exchange, LocalReplyKind::kNotRun, LocalReplyReason::kNoTarget,
                   exchange.route->latency_objective, now);
  }
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::Send(Exchange& exchange, const Choice& choice, base::Instant now) {
  const auto number = static_cast<AttemptNumber>(exchange.attempts.size() + 1);
  TargetState& target = *choice.target;
  observer_.OnSent(exchange, choice, now);
  exchange.attempts.push_back({.number = number,
                               .target = targets_.at(target.record().id),
                               .sent_at = now,
                               .rank = choice.rank,
                               .had_free_slot = target.Load(now) < target.slots()});
  target.OnSent(now);
  if (target.limit().is_active()) target.limit().OnSent(PositionFor(target), now);
  base::Instant timer = exchange.deadline + kAnswerSlack;
  if (exchange.route->is_idempotent && exchange.CountOpenAttempts() == 1) {
    timer = std::min(timer, now + std::max(choice.estimate * kHedgeFactor, kMinHedgeDelay));
  }
  SetTimer(exchange, timer);
  AttemptCommand command{.number = number,
                         .target_id = target.record().id,
                         .address = target.record().address,
                         .deadline = exchange.deadline};
  if (!exchange.configuration->tenants.empty()) {
    command.tenant = exchange.tenant ? exchange.tenant->name : std::string();
  }
  port_.SendAttempt(exchange.id, command);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::OnOutcome(ExchangeId id, AttemptNumber number,
                                       const AttemptOutcome& outcome, base::Instant now) {
  const auto entry = exchanges_.find(id);
  if (entry == exchanges_.end()) return;
  Exchange& exchange = *entry->second;
  Attempt* const attempt = exchange.Find(number);
  if (attempt == nullptr || !attempt->is_open) return;
  attempt->is_open = false;
  const base::Duration elapsed = now - attempt->sent_at;
  const base::Duration at_target =
      std::max(elapsed - placement_.RoundTrip(*attempt->target, settings_.region), kMinServiceTime);
  attempt->target->OnOutcome(outcome, at_target, attempt->had_free_slot, now);
  // An unreachable target may be restarting, in which case it is cold before its record says so.
  if (outcome.result == AttemptResult::kNotSent) {
    attempt->target->MarkCold(now + exchange.service->cold_time());
  }
  observer_.OnOutcome(exchange, number, outcome, now);
  ObserveRateLimit(*attempt, outcome, now);
  ObserveSignals(*attempt, outcome, now);
  if (outcome.result == AttemptResult::kNotSent || outcome.result == AttemptResult::kMisdirected) {
    attempt->has_reached_target = false;
  }
  if (!ProvesNotRun(outcome.result)) exchange.may_have_run = true;
  ServiceState& service = *exchange.service;
  if (outcome.result == AttemptResult::kAnswered) {
    if (attempt->had_free_slot) {
      const double average_ms = service.ServiceTime(elapsed).seconds() * 1e3;
      service.speed_variation().Observe(attempt->target->speed(), average_ms, now);
    }
    const bool is_reference = exchange.affinity_key == 0 || attempt->rank <= kMaxReferenceRank;
    if (attempt->had_free_slot && is_reference) {
      service.ObserveServiceTime(elapsed);
    }
    Deliver(exchange, number, now);
  } else if (exchange.is_caller_gone) {
    if (!exchange.may_have_run) RefundQuota(exchange);
    EraseExchange(exchange);
  } else if (exchange.CountOpenAttempts() == 0) {
    RetryOrReply(exchange, number, outcome.result, now);
  }
  DispatchWaiting(service, now);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::RetryOrReply(Exchange& exchange, AttemptNumber failed,
                                          AttemptResult failure, base::Instant now) {
  if (TryRetry(exchange, failure, now)) return;
  if (failure == AttemptResult::kFailed) {
    Deliver(exchange, failed, now);
  } else if (exchange.may_have_run) {
    SendLocalReply(exchange, LocalReplyKind::kMayHaveRun, LocalReplyReason::kAnswerLost, {}, now);
  } else {
    const bool was_refused = failure == AttemptResult::kNotRun;
    SendLocalReply(exchange, LocalReplyKind::kNotRun,
                   was_refused ? LocalReplyReason::kTargetsRefused : LocalReplyReason::kNotSent,
                   exchange.service->ServiceTime(kMinRetryAfter), now);
  }
}

template <typename Port, DecisionObserver Observer>
bool Engine<Port, Observer>::TryRetry(Exchange& exchange, AttemptResult failure,
                                      base::Instant now) {
  if (!exchange.route->is_idempotent && !ProvesNotRun(failure)) return false;
  // If the attempt did not reach a target, the next one is the first to reach one and consumes no
  // budget.
  const bool is_budget_exempt = failure == AttemptResult::kNotSent;
  return SendFurtherAttempt(exchange, ReasonOf(failure), is_budget_exempt, now);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::Hedge(Exchange& exchange, base::Instant now) {
  SetTimer(exchange, exchange.deadline + kAnswerSlack);
  if (!exchange.is_caller_gone) SendFurtherAttempt(exchange, RetryReason::kHedge, false, now);
}

template <typename Port, DecisionObserver Observer>
bool Engine<Port, Observer>::SendFurtherAttempt(Exchange& exchange, RetryReason reason,
                                                bool is_budget_exempt, base::Instant now) {
  const auto deny = [&](RetryDenial denial) {
    observer_.OnRetryDenied(exchange, reason, denial, now);
    return false;
  };
  if (exchange.CountAttemptsAtTargets() >= exchange.route->max_attempts) {
    return deny(RetryDenial::kAttemptsSpent);
  }
  const Selection selection = SelectTarget(exchange, now);
  const std::optional<Choice>& choice = selection.choice;
  if (!choice) return deny(selection.HasTarget() ? RetryDenial::kNoRoom : RetryDenial::kNoTarget);
  // A hedged attempt needs a free slot: it must not queue behind the first attempts of other
  // requests.
  const bool has_room = reason == RetryReason::kHedge
                            ? choice->target->Load(now) < choice->target->slots()
                            : !choice->is_full;
  if (!has_room) return deny(RetryDenial::kNoRoom);
  if (now + choice->estimate > exchange.deadline) return deny(RetryDenial::kTooLate);
  if (!is_budget_exempt && !exchange.service->budget().TryConsume(host_count_, now)) {
    return deny(RetryDenial::kBudget);
  }
  observer_.OnRetry(exchange, reason, now);
  Send(exchange, *choice, now);
  return true;
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::Deliver(Exchange& exchange, AttemptNumber number, base::Instant now) {
  CancelOpenAttempts(exchange);
  if (!exchange.is_caller_gone) {
    observer_.OnDelivered(exchange, number, now);
    port_.DeliverAnswer(exchange.id, number);
  }
  EraseExchange(exchange);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::SendLocalReply(Exchange& exchange, LocalReplyKind kind,
                                            LocalReplyReason reason, base::Duration retry_after,
                                            base::Instant now) {
  CancelOpenAttempts(exchange);
  const LocalReply reply{.kind = kind, .reason = reason, .retry_after = retry_after};
  observer_.OnLocalReply(exchange, reply, now);
  if (kind == LocalReplyKind::kNotRun) RefundQuota(exchange);
  if (!exchange.is_caller_gone) port_.SendLocalReply(exchange.id, reply);
  EraseExchange(exchange);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::OnCallerGone(ExchangeId id, base::Instant now) {
  const auto entry = exchanges_.find(id);
  if (entry == exchanges_.end()) return;
  Exchange& exchange = *entry->second;
  exchange.is_caller_gone = true;
  observer_.OnCallerGone(exchange, now);
  ServiceState& service = *exchange.service;
  // A non-idempotent request in progress at a target runs to completion: cancelling it would leave
  // its changes half applied.
  if (!exchange.route->is_idempotent && exchange.CountOpenAttempts() > 0) return;
  if (!exchange.may_have_run && exchange.CountOpenAttempts() == 0) RefundQuota(exchange);
  CancelOpenAttempts(exchange);
  EraseExchange(exchange);
  DispatchWaiting(service, now);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::CancelOpenAttempts(Exchange& exchange) {
  for (Attempt& it : exchange.attempts) {
    if (!it.is_open) continue;
    it.is_open = false;
    it.target->OnCancelled();
    port_.CancelAttempt(exchange.id, it.number);
  }
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::EraseExchange(Exchange& exchange) {
  if (exchange.is_waiting) exchange.service->Dequeue(exchange);
  timers_.erase({exchange.timer_at, exchange.id});
  exchanges_.erase(exchange.id);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::SetTimer(Exchange& exchange, base::Instant at) {
  timers_.erase({exchange.timer_at, exchange.id});
  exchange.timer_at = at;
  timers_.emplace(at, exchange.id);
}

template <typename Port, DecisionObserver Observer>
base::Instant Engine<Port, Observer>::NextDeadline() const {
  const auto first_of = [](const auto& timers) {
    return timers.empty() ? base::Instant::Never() : timers.begin()->first;
  };
  return std::min(first_of(timers_), first_of(dispatch_timers_));
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::OnTimer(base::Instant now) {
  DispatchWithinLimits(now);
  while (!timers_.empty() && timers_.begin()->first <= now) {
    Exchange& exchange = *exchanges_.at(timers_.begin()->second);
    const bool is_expired = exchange.is_waiting || now >= exchange.deadline;
    if (is_expired) {
      Expire(exchange, now);
    } else {
      Hedge(exchange, now);
    }
  }
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::Expire(Exchange& exchange, base::Instant now) {
  ServiceState& service = *exchange.service;
  if (exchange.is_waiting && !exchange.may_have_run) {
    SendLocalReply(exchange, LocalReplyKind::kNotRun, LocalReplyReason::kTimedOutWaiting,
                   service.ServiceTime(kMinRetryAfter), now);
    // The requests behind it may have other targets than the one that it waited for.
    DispatchWaiting(service, now);
    return;
  }
  for (const Attempt& it : exchange.attempts) {
    if (it.is_open) it.target->OnTimedOut(it.sent_at, now);
  }
  SendLocalReply(exchange, LocalReplyKind::kTimedOut, LocalReplyReason::kTimedOutRunning, {}, now);
  DispatchWaiting(service, now);
}

}  // namespace mangonotch::steering
