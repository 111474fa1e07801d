// Carries one request to targets: waits for a slot, sends it, repeats only what is safe to repeat,
// and says how it ended.
#pragma once

#include <functional>
#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/snapshot.h"
#include "http/client.h"
#include "retry/budget.h"
#include "traffic/counters.h"
#include "traffic/gate_set.h"
#include "traffic/link_budgets.h"
#include "traffic/request_plan.h"
#include "traffic/served.h"

namespace mangonotch::traffic {

/// Hooks of a request that runs under a ticket; empty for others.
struct TicketHooks {
  /// Called right before the first byte is written; false forbids the write.
  std::function<bool(base::Instant deadline)> mark_dispatched;
};

/// What traffic tells the control thread; called on traffic threads.
struct ControlHooks {
  /// A request waits for a slot, so more slots are needed at once.
  std::function<void()> on_wait;
  /// An answer says that the target is leaving.
  std::function<void(base::TargetKey)> on_draining;
};

class Dispatcher {
 public:
  /// `region` is this host's own.
  Dispatcher(std::string region, GateSet& gates, LinkBudgets& links, Counters& counters,
             ControlHooks hooks);

  Served Run(const control::SteeringTable& table, const RequestPlan& plan,
             const http::Request& request, const TicketHooks& ticket);

  /// Largest answer of a target that is relayed.
  static constexpr std::size_t kMaxAnswerBytes = 16 << 20;

 private:
  struct Attempt;

  Served RunAttempts(const control::SteeringTable& table, const RequestPlan& plan,
                     const http::Request& request, const TicketHooks& ticket, ServiceGate& gate,
                     std::span<const admission::RegionPreference> regions);
  Attempt Send(const control::SteeringTable& table, const RequestPlan& plan,
               const http::Request& request, const TicketHooks& ticket, ServiceGate& gate,
               const admission::Admitted& admitted);
  void Judge(const RequestPlan& plan, const std::string& request_id, Attempt& attempt);
  AcquireResult Acquire(const RequestPlan& plan, const http::Request& request, ServiceGate& gate,
                        std::span<const admission::RegionPreference> regions,
                        std::span<const base::TargetKey> excluded);
  bool MayRetry(base::ServiceIndex service, base::Instant now);
  void CountRequest(base::ServiceIndex service, base::Instant now);
  retry::Budget& BudgetOf(base::ServiceIndex service, base::Instant now);
  std::string NextRequestId();

  const std::string region_;
  GateSet& gates_;
  LinkBudgets& links_;
  Counters& counters_;
  ControlHooks hooks_;
  http::Client client_;
  const std::uint64_t id_prefix_;
  std::atomic<std::uint64_t> next_id_{1};
  std::mutex budget_mutex_;
  /// By service position; guarded by budget_mutex_.
  std::unordered_map<std::uint32_t, retry::Budget> budgets_;
};

}  // namespace mangonotch::traffic
