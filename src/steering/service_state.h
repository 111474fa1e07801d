// Per-service state of this process: targets, retry budget, average service time and the queue of
// requests that wait for a slot.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/instant.h"
#include "steering/exchange.h"
#include "steering/object_demand.h"
#include "steering/retry_budget.h"
#include "steering/target_state.h"

namespace mangonotch::steering {

class ServiceState {
 public:
  ServiceState(std::string name, const RetryLimits& limits)
      : name_(std::move(name)), budget_(limits) {}

  const std::string& name() const { return name_; }
  RetryBudget& budget() { return budget_; }
  ObjectDemand& demand() { return demand_; }
  SpeedVariation& speed_variation() { return speed_variation_; }

  /// Listed targets, including draining ones.
  std::vector<std::shared_ptr<TargetState>>& targets() { return targets_; }
  const std::vector<std::shared_ptr<TargetState>>& targets() const { return targets_; }
  /// Requests that the targets that are not draining serve per second, each within its limit, from
  /// all hosts together; 0 before the first answer.
  double CapacityPerSecond() const;

  /// Maximum requests per second for a cold target, from all hosts together; 0 for no limit.
  double cold_rate() const { return cold_rate_; }
  /// Time after its start during which a target counts as cold.
  base::Duration cold_time() const { return cold_time_; }
  void SetColdStart(double per_second, base::Duration time) {
    cold_rate_ = per_second;
    cold_time_ = time;
  }

  /// Average service time; `expected` before the first answer.
  base::Duration ServiceTime(base::Duration expected) const;
  /// Records the service time of an answered request that found a free slot.
  void ObserveServiceTime(base::Duration elapsed);

  /// When the waiting requests are next dispatched although no request ends; Never() if not.
  base::Instant dispatch_at() const { return dispatch_at_; }
  void set_dispatch_at(base::Instant at) { dispatch_at_ = at; }

  // Queue of waiting requests, ordered by the tenant's priority, the route's, then by deadline.

  void Enqueue(const Exchange& exchange);
  void Dequeue(const Exchange& exchange);
  std::size_t waiting() const { return queue_.size(); }
  /// Identifiers of the waiting requests in the order of dispatch.
  std::vector<ExchangeId> WaitingInOrder() const;

 private:
  using QueueKey = std::tuple<std::uint32_t, std::uint32_t, base::Instant, ExchangeId>;
  static QueueKey KeyOf(const Exchange& exchange) {
    return {exchange.tenant_priority, exchange.route->priority, exchange.deadline, exchange.id};
  }

  std::string name_;
  RetryBudget budget_;
  ObjectDemand demand_;
  SpeedVariation speed_variation_;
  std::vector<std::shared_ptr<TargetState>> targets_;
  double cold_rate_ = 0;
  base::Duration cold_time_;
  /// Moving average in milliseconds; 0 before the first answer.
  double service_time_ms_ = 0;
  std::set<QueueKey> queue_;
  base::Instant dispatch_at_ = base::Instant::Never();
};

}  // namespace mangonotch::steering
