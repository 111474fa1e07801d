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
/// A request may wait in the queue for the latency objective divided by this.
inline constexpr std::int64_t kWaitDivisor = 3;
/// Answers of targets up to this affinity rank contribute to the service's average service time,
/// since these targets have the requested objects in their caches.
inline constexpr std::uint32_t kMaxReferenceRank = 1;
inline constexpr base::Duration kMinRetryAfter = base::Duration::Milliseconds(50);

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
      placement_(settings_.placement) {
  static_assert(EnginePort<Port>);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::OnRequest(ExchangeId id, const RequestAttributes& attributes,
                                       base::Instant now) {
  auto& exchange = *exchanges_.emplace(id, std::make_unique<Exchange>()).first->second;
  exchange.id = id;
  exchange.arrived_at = now;
  exchange.deadline = attributes.deadline;
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
  exchange.deadline = std::min(attributes.deadline, now + exchange.route->timeout);
  exchange.affinity_key = exchange.route->has_affinity ? attributes.affinity_key : 0;
  exchange.service = &ServiceOf(PickService(*exchange.route));
  exchange.service->budget().OnRequest(now);
  SetTimer(exchange, exchange.deadline + kAnswerSlack);
  Dispatch(exchange, now);
}

template <typename Port, DecisionObserver Observer>
std::vector<TargetState*> Engine<Port, Observer>::CandidatesOf(const Exchange& exchange,
                                                               base::Instant now,
                                                               bool with_ejected) {
  const std::vector<std::string>& regions = exchange.route->allowed_regions;
  std::vector<TargetState*> candidates;
  for (const auto& it : exchange.service->targets()) {
    if (it->record().is_draining) continue;
    if (catalog_->evacuated_zones.contains(it->record().zone)) continue;
    const bool is_allowed =
        regions.empty() || std::find(regions.begin(), regions.end(), it->region()) != regions.end();
    if (!is_allowed) continue;
    if (!with_ejected && it->IsEjected(now)) continue;
    if (!IsWithinColdRate(*it, now)) continue;
    const bool was_tried =
        std::any_of(exchange.attempts.begin(), exchange.attempts.end(),
                    [&](const Attempt& attempt) { return attempt.target == it; });
    if (!was_tried) candidates.push_back(it.get());
  }
  return candidates;
}

template <typename Port, DecisionObserver Observer>
bool Engine<Port, Observer>::IsWithinColdRate(TargetState& target, base::Instant now) {
  if (!target.IsCold(now)) return true;
  const double rate =
      settings_.cold_rate_factor * services_.find(target.record().service)->second.cold_rate();
  if (rate == 0) return true;
  // The rate is divided among the hosts of the target's region; hosts of other regions send
  // nothing.
  if (target.region() != settings_.region) return false;
  const double part = rate / static_cast<double>(local_host_keys_.size() + 1);
  if (part >= 1) return target.RecentSends(now) + 1 <= part;
  return target.RecentSends(now) == 0 && RankAmongHosts(target.key()) + 1 <= rate;
}

template <typename Port, DecisionObserver Observer>
std::size_t Engine<Port, Observer>::RankAmongHosts(std::uint64_t target_key) const {
  const std::uint64_t own = base::Mix(settings_.host_key ^ target_key);
  return static_cast<std::size_t>(
      std::count_if(local_host_keys_.begin(), local_host_keys_.end(),
                    [&](std::uint64_t it) { return base::Mix(it ^ target_key) < own; }));
}

template <typename Port, DecisionObserver Observer>
std::optional<Choice> Engine<Port, Observer>::ChooseTarget(const Exchange& exchange,
                                                           base::Instant now) {
  const PlacementQuery query{
      .affinity_key = exchange.affinity_key,
      .local_region = settings_.region,
      .service_time = exchange.service->ServiceTime(exchange.route->latency_objective / 2),
      .now = now};
  auto choice = placement_.Choose(CandidatesOf(exchange, now, false), query);
  // If no other target is left, try the ejected ones: they may have recovered.
  if (!choice) choice = placement_.Choose(CandidatesOf(exchange, now, true), query);
  return choice;
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::Dispatch(Exchange& exchange, base::Instant now) {
  const std::optional<Choice> choice = ChooseTarget(exchange, now);
  if (!choice) {
    SendLocalReply(exchange, LocalReplyKind::kNotRun, LocalReplyReason::kNoTarget,
                   exchange.route->latency_objective, now);
    return;
  }
  if (choice->is_full) {
    EnqueueOrRefuse(exchange, *choice, now);
    return;
  }
  Send(exchange, *choice, now);
}

template <typename Port, DecisionObserver Observer>
base::Duration Engine<Port, Observer>::QueueDelay(const ServiceState& service) const {
  const std::uint32_t slots = std::max(service.TotalSlots(), 1U);
  // Assumes that every other host has as many requests waiting.
  const auto ahead = static_cast<std::int64_t>(service.waiting() * host_count_);
  return service.ServiceTime(base::Duration()) * ahead / slots;
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::EnqueueOrRefuse(Exchange& exchange, const Choice& choice,
                                             base::Instant now) {
  const base::Duration delay = QueueDelay(*exchange.service);
  observer_.OnTargetsFull(exchange, choice, delay, now);
  const bool is_in_time = now + delay + choice.estimate < exchange.deadline;
  const bool is_wait_acceptable = delay < exchange.route->latency_objective / kWaitDivisor;
  if (!is_in_time || !is_wait_acceptable) {
    SendLocalReply(exchange, LocalReplyKind::kNotRun, LocalReplyReason::kNoRoom,
                   std::max(delay, kMinRetryAfter), now);
    return;
  }
  exchange.is_waiting = true;
  exchange.service->Enqueue(exchange);
  const base::Instant wait_limit = now + exchange.route->latency_objective / kWaitDivisor;
  SetTimer(exchange, std::min(wait_limit, exchange.deadline));
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
  base::Instant timer = exchange.deadline + kAnswerSlack;
  if (exchange.route->is_idempotent && exchange.CountOpenAttempts() == 1) {
    timer = std::min(timer, now + std::max(choice.estimate * kHedgeFactor, kMinHedgeDelay));
  }
  SetTimer(exchange, timer);
  port_.SendAttempt(exchange.id, {.number = number,
                                  .target_id = target.record().id,
                                  .address = target.record().address,
                                  .deadline = exchange.deadline});
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
  attempt->target->OnOutcome(outcome, elapsed, attempt->had_free_slot, now);
  // An unreachable target may be restarting, in which case it is cold before its record says so.
  if (outcome.result == AttemptResult::kNotSent) {
    attempt->target->MarkCold(now + exchange.service->cold_time());
  }
  observer_.OnOutcome(exchange, number, outcome, now);
  ObserveRateLimit(*attempt, outcome, now);
  if (outcome.result == AttemptResult::kNotSent || outcome.result == AttemptResult::kMisdirected) {
    attempt->has_reached_target = false;
  }
  if (!ProvesNotRun(outcome.result)) exchange.may_have_run = true;
  ServiceState& service = *exchange.service;
  if (outcome.result == AttemptResult::kAnswered) {
    if (attempt->had_free_slot && attempt->rank <= kMaxReferenceRank) {
      service.ObserveServiceTime(elapsed);
    }
    Deliver(exchange, number, now);
  } else if (exchange.is_caller_gone) {
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
  const std::optional<Choice> choice = ChooseTarget(exchange, now);
  if (!choice) return deny(RetryDenial::kNoTarget);
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
  return timers_.empty() ? base::Instant::Never() : timers_.begin()->first;
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::OnTimer(base::Instant now) {
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
    return;
  }
  for (const Attempt& it : exchange.attempts) {
    if (it.is_open) it.target->OnTimedOut(it.sent_at, now);
  }
  SendLocalReply(exchange, LocalReplyKind::kTimedOut, LocalReplyReason::kTimedOutRunning, {}, now);
  DispatchWaiting(service, now);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::DispatchWaiting(ServiceState& service, base::Instant now) {
  for (const ExchangeId id : service.WaitingInOrder()) {
    Exchange& exchange = *exchanges_.at(id);
    const std::optional<Choice> choice = ChooseTarget(exchange, now);
    // Stop at the first request that cannot be sent: a later one must not take the slot that it
    // waits for.
    if (!choice || choice->is_full) return;
    service.Dequeue(exchange);
    exchange.is_waiting = false;
    Send(exchange, *choice, now);
  }
}

}  // namespace mangonotch::steering
