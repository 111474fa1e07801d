// Per-service statistics and queue.
#include "steering/service_state.h"

#include <algorithm>

#include "steering/observer.h"

namespace mangonotch::steering {
namespace {

/// Weight of the newest sample in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.03;
/// Samples are capped at this multiple of the average, so that a few long requests or slow targets
/// do not distort it.
constexpr double kMaxSampleFactor = 4;

}  // namespace

std::string_view NameOf(RetryReason reason) {
  switch (reason) {
    case RetryReason::kNotRun:
      return "not_run";
    case RetryReason::kMisdirected:
      return "misdirected";
    case RetryReason::kNotSent:
      return "not_sent";
    case RetryReason::kFailed:
      return "failed";
    case RetryReason::kLost:
      return "lost";
    case RetryReason::kHedge:
      break;
  }
  return "hedge";
}

std::string_view NameOf(RetryDenial denial) {
  switch (denial) {
    case RetryDenial::kAttemptsSpent:
      return "attempts_spent";
    case RetryDenial::kNoTarget:
      return "no_target";
    case RetryDenial::kNoRoom:
      return "no_room";
    case RetryDenial::kTooLate:
      return "too_late";
    case RetryDenial::kBudget:
      break;
  }
  return "budget";
}

double ServiceState::CapacityPerSecond() const {
  if (service_time_ms_ == 0) return 0;
  double sum = 0;
  for (const auto& it : targets_) {
    if (it->IsLeaving()) continue;
    const double by_slots = it->slots() * 1e3 / service_time_ms_;
    const TargetLimit& limit = it->limit();
    sum += limit.is_active() ? std::min(by_slots, limit.per_second()) : by_slots;
  }
  return sum;
}

base::Duration ServiceState::ServiceTime(base::Duration expected) const {
  if (service_time_ms_ == 0) return expected;
  return base::Duration::Nanoseconds(static_cast<std::int64_t>(service_time_ms_ * 1e6));
}

void ServiceState::ObserveServiceTime(base::Duration elapsed) {
  const double ms = elapsed.seconds() * 1e3;
  if (service_time_ms_ == 0) {
    service_time_ms_ = ms;
    return;
  }
  service_time_ms_ +=
      kServiceTimeWeight * (std::min(ms, kMaxSampleFactor * service_time_ms_) - service_time_ms_);
}

void ServiceState::Enqueue(const Exchange& exchange) { queue_.insert(KeyOf(exchange)); }

void ServiceState::Dequeue(const Exchange& exchange) { queue_.erase(KeyOf(exchange)); }

std::vector<ExchangeId> ServiceState::WaitingInOrder() const {
  std::vector<ExchangeId> ids;
  ids.reserve(queue_.size());
  for (const QueueKey& it : queue_) ids.push_back(std::get<ExchangeId>(it));
  return ids;
}

}  // namespace mangonotch::steering
