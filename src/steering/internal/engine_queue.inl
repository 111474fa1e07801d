// Engine: requests for which no target has room at once.
#pragma once

#include <algorithm>

#include "steering/engine.h"

namespace mangonotch::steering {

/// A request may wait in the queue for the latency objective divided by this.
inline constexpr std::int64_t kWaitDivisor = 3;

template <typename Port, DecisionObserver Observer>
base::Duration Engine<Port, Observer>::QueueDelay(const ServiceState& service) const {
  const double capacity = service.CapacityPerSecond();
  if (capacity == 0) return {};
  // Assumes that every other host has as many requests waiting.
  const double ahead = static_cast<double>(service.waiting()) * host_count_;
  return base::Duration::Nanoseconds(static_cast<std::int64_t>(ahead / capacity * 1e9));
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::EnqueueOrRefuse(Exchange& exchange, const Selection& selection,
                                             base::Instant now) {
  base::Duration delay = QueueDelay(*exchange.service);
  base::Duration estimate = exchange.service->ServiceTime(exchange.route->latency_objective / 2);
  LocalReplyReason reason = LocalReplyReason::kNoRoom;
  if (selection.choice) {
    estimate = selection.choice->estimate;
    observer_.OnTargetsFull(exchange, *selection.choice, delay, now);
  } else {
    delay = std::max(delay, selection.next_send - now);
    reason = selection.is_backoff ? LocalReplyReason::kTargetsBackingOff
                                  : LocalReplyReason::kTargetsLimited;
    observer_.OnTargetsLimited(exchange, delay, now);
  }
  const bool is_in_time = now + delay + estimate < exchange.deadline;
  const bool is_wait_acceptable = delay < exchange.route->latency_objective / kWaitDivisor;
  if (!is_in_time || !is_wait_acceptable) {
    const base::Duration retry_after = reason == LocalReplyReason::kTargetsBackingOff
                                           ? RetryAfterBackoff(exchange, selection.next_send, now)
                                           : std::max(delay, kMinRetryAfter);
    SendLocalReply(exchange, LocalReplyKind::kNotRun, reason, retry_after, now);
    return;
  }
  exchange.is_waiting = true;
  exchange.service->Enqueue(exchange);
  ScheduleDispatch(*exchange.service, selection.next_send);
  const base::Instant wait_limit = now + exchange.route->latency_objective / kWaitDivisor;
  SetTimer(exchange, std::min(wait_limit, exchange.deadline));
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::DispatchWaiting(ServiceState& service, base::Instant now) {
  for (const ExchangeId id : service.WaitingInOrder()) {
    Exchange& exchange = *exchanges_.at(id);
    const Selection selection = SelectTarget(exchange, now);
    // Stop at the first request that cannot be sent: a later one must not take the slot that it
    // waits for.
    if (!selection.IsSendable()) {
      ScheduleDispatch(service, selection.next_send);
      return;
    }
    service.Dequeue(exchange);
    exchange.is_waiting = false;
    Send(exchange, *selection.choice, now);
  }
}

}  // namespace mangonotch::steering
