// What this process keeps for each service: its targets, its repeat budget, its usual service time
// and the requests that wait for a slot.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/instant.h"
#include "steering/exchange.h"
#include "steering/repeat_budget.h"
#include "steering/target_state.h"

namespace mangonotch::steering {

class ServiceState {
 public:
  ServiceState(std::string name, const RepeatLimits& limits)
      : name_(std::move(name)), budget_(limits) {}

  const std::string& name() const { return name_; }
  RepeatBudget& budget() { return budget_; }

  /// Listed targets, the draining ones included.
  std::vector<std::shared_ptr<TargetState>>& targets() { return targets_; }
  const std::vector<std::shared_ptr<TargetState>>& targets() const { return targets_; }
  std::uint32_t TotalSlots() const;

  /// Requests a second that a cold target bears; 0 for no limit.
  double cold_rate() const { return cold_rate_; }
  /// How long a target is cold after its start.
  base::Duration cold_time() const { return cold_time_; }
  void SetCold(double per_second, base::Duration time) {
    cold_rate_ = per_second;
    cold_time_ = time;
  }

  /// `expected` seeds the estimate before the first answer.
  base::Duration ServiceTime(base::Duration expected) const;
  /// Service time of an answered request that found a free slot.
  void ObserveServiceTime(base::Duration elapsed);

  // Waiting requests, the most urgent first: by priority, then by deadline.

  void Enqueue(const Exchange& exchange);
  void Dequeue(const Exchange& exchange);
  std::size_t waiting() const { return queue_.size(); }
  /// Identifiers in the order in which they are to be sent.
  std::vector<ExchangeId> WaitingInOrder() const;

 private:
  using QueueKey = std::tuple<std::uint32_t, base::Instant, ExchangeId>;
  static QueueKey KeyOf(const Exchange& exchange) {
    return {exchange.route->priority, exchange.deadline, exchange.id};
  }

  std::string name_;
  RepeatBudget budget_;
  std::vector<std::shared_ptr<TargetState>> targets_;
  double cold_rate_ = 0;
  base::Duration cold_time_;
  /// Milliseconds; 0 before the first answer.
  double service_ms_ = 0;
  std::set<QueueKey> queue_;
};

}  // namespace mangonotch::steering
