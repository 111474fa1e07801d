// Handles every request of this host from its arrival to its answer: selects targets, queues,
// retries, hedges and refuses requests. Receives events with the current time and acts through the
// port; has no sockets, threads or clock.
#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "catalog/catalog.h"
#include "catalog/route_table.h"
#include "catalog/tenant_table.h"
#include "quota/limiter.h"
#include "steering/attempt.h"
#include "steering/exchange.h"
#include "steering/observer.h"
#include "steering/placement.h"
#include "steering/service_state.h"

namespace mangonotch::steering {

/// Operations that the engine requires of the traffic layer. They must not call OnOutcome
/// synchronously.
template <typename P>
concept EnginePort = requires(P& port, ExchangeId id, const AttemptCommand& command,
                              AttemptNumber number, const LocalReply& reply) {
  port.SendAttempt(id, command);
  /// Cancels an attempt whose answer is no longer needed; no outcome is reported for it.
  port.CancelAttempt(id, number);
  /// Sends the complete answer of the attempt to the caller.
  port.DeliverAnswer(id, number);
  port.SendLocalReply(id, reply);
};

struct EngineSettings {
  std::string region;
  /// Hash of this host's name.
  std::uint64_t host_key = 0;
  /// Region of each availability zone.
  std::map<std::string, std::string, std::less<>> zones;
  PlacementSettings placement;
  RetryLimits retry_limits;
  /// All hosts together send a cold target at most the service's cold rate times this factor.
  double cold_rate_factor = 0.9;
};

/// Requests that a host has in flight at a target.
struct PeerLoad {
  std::uint64_t target_key = 0;
  std::uint32_t in_flight = 0;
};

/// `Port` must satisfy EnginePort. The constructor checks this, since a port contains its engine
/// and is an incomplete type here.
template <typename Port, DecisionObserver Observer>
class Engine {
 public:
  /// `port` and `observer` must outlive the engine.
  Engine(EngineSettings settings, Port& port, Observer& observer);

  void SetRetryLimits(const RetryLimits& limits, base::Instant now);
  void ApplyCatalog(catalog::CatalogPtr catalog, base::Instant now);
  /// Sets the hosts among which system-wide limits are divided: the number of all hosts, including
  /// this one, and the keys of the other hosts in this region.
  void SetHosts(std::uint32_t host_count, std::vector<std::uint64_t> local_host_keys) {
    host_count_ = host_count;
    limiter_.SetHostCount(host_count);
    local_host_keys_ = std::move(local_host_keys);
  }
  /// Replaces the in-flight requests known from the other hosts.
  void SetPeerLoads(std::span<const PeerLoad> loads, base::Instant now);
  /// Requests that this host has in flight, for publication to the other hosts.
  std::vector<PeerLoad> OwnLoads() const;

  void OnRequest(ExchangeId id, const RequestAttributes& attributes, base::Instant now);
  void OnOutcome(ExchangeId id, AttemptNumber number, const AttemptOutcome& outcome,
                 base::Instant now);
  /// The caller has disconnected: no further attempts are sent, and open attempts are cancelled if
  /// the request is idempotent.
  void OnCallerGone(ExchangeId id, base::Instant now);

  /// Refuses all further requests: this host ends soon, and a request that it took could be cut
  /// off at a target. Requests taken before go on.
  void StopTaking() { is_stopping_ = true; }

  /// Time at which OnTimer must be called next.
  base::Instant NextDeadline() const;
  void OnTimer(base::Instant now);

  /// False once the request has been answered or abandoned.
  bool IsOpen(ExchangeId id) const { return exchanges_.contains(id); }
  /// The limits of tenants at this host, whose usage and shares the caller exchanges with other
  /// hosts.
  quota::Limiter& limiter() { return limiter_; }
  const catalog::Configuration* configuration() const {
    return catalog_ ? catalog_->configuration.get() : nullptr;
  }

 private:
  /// Targets that may be sent a request now.
  struct Candidates {
    std::vector<TargetState*> targets;
    /// When the first of the targets that are held back only by what they have named, a limit or a
    /// back-off, may be sent a request; Never() if there are none.
    base::Instant next_send = base::Instant::Never();
    /// That target is backing off.
    bool is_backoff = false;
  };

  struct Selection {
    /// The best candidate, which may be full; nullopt without candidates.
    std::optional<Choice> choice;
    /// As in Candidates.
    base::Instant next_send = base::Instant::Never();
    bool is_backoff = false;

    bool IsSendable() const { return choice && !choice->is_full; }
    /// False if no target may serve the request, now or later.
    bool HasTarget() const { return choice || next_send != base::Instant::Never(); }
  };

  /// Finds the tenant of the request. Returns false if the request needs a known key and has none.
  bool Authenticate(Exchange& exchange, const std::optional<catalog::KeyDigest>& key) const;
  ServiceState& ServiceOf(const std::string& name);
  const std::string& PickService(const catalog::Route& route);
  Candidates CandidatesOf(const Exchange& exchange, base::Instant now, bool with_ejected);
  Selection SelectTarget(const Exchange& exchange, base::Instant now);
  bool IsWithinColdRate(TargetState& target, base::Instant now);
  void Dispatch(Exchange& exchange, base::Instant now);
  void EnqueueOrRefuse(Exchange& exchange, const Selection& selection, base::Instant now);
  void Send(Exchange& exchange, const Choice& choice, base::Instant now);
  /// Rank of this host among the hosts of its region by rendezvous hashing with the target's key.
  std::size_t RankAmongHosts(std::uint64_t target_key) const;
  HostPosition PositionFor(const TargetState& target) const;
  /// When this host may next send to the target, within its limit and after its back-off; not later
  /// than `now` if it may at once.
  base::Instant NextSendAt(const TargetState& target, base::Instant now) const;
  void ObserveRateLimit(const Attempt& attempt, const AttemptOutcome& outcome, base::Instant now);
  void ObserveSignals(const Attempt& attempt, const AttemptOutcome& outcome, base::Instant now);
  /// When the caller of a request that was refused because targets back off should come back:
  /// after the back-off, spread so that callers do not return together, within its deadline.
  base::Duration RetryAfterBackoff(const Exchange& exchange, base::Instant backoff_until,
                                   base::Instant now) const;
  /// Dispatches waiting requests of the service at `at`, or earlier if that is already scheduled.
  void ScheduleDispatch(ServiceState& service, base::Instant at);
  void DispatchWithinLimits(base::Instant now);
  void RetryOrReply(Exchange& exchange, AttemptNumber failed, AttemptResult failure,
                    base::Instant now);
  bool TryRetry(Exchange& exchange, AttemptResult failure, base::Instant now);
  void Hedge(Exchange& exchange, base::Instant now);
  /// Sends a further attempt if the route's attempt limit, the targets' load, the deadline and the
  /// retry budget allow it. An attempt with `is_budget_exempt` does not consume the budget.
  bool SendFurtherAttempt(Exchange& exchange, RetryReason reason, bool is_budget_exempt,
                          base::Instant now);
  void Expire(Exchange& exchange, base::Instant now);
  void Deliver(Exchange& exchange, AttemptNumber number, base::Instant now);
  void SendLocalReply(Exchange& exchange, LocalReplyKind kind, LocalReplyReason reason,
                      base::Duration retry_after, base::Instant now);
  void CancelOpenAttempts(Exchange& exchange);
  void EraseExchange(Exchange& exchange);
  /// Gives back the tenant's use of its limit for a request that has not run.
  void RefundQuota(Exchange& exchange);
  void SetTimer(Exchange& exchange, base::Instant at);
  void DispatchWaiting(ServiceState& service, base::Instant now);
  base::Duration QueueDelay(const ServiceState& service) const;

  EngineSettings settings_;
  /// The regions of `settings_.zones`.
  std::set<std::string> regions_;
  Port& port_;
  Observer& observer_;
  Placement placement_;
  bool is_stopping_ = false;
  std::uint32_t host_count_ = 1;
  std::vector<std::uint64_t> local_host_keys_;
  catalog::CatalogPtr catalog_;
  catalog::RouteTable routes_;
  catalog::TenantTable tenants_;
  quota::Limiter limiter_;
  /// By name. Entries are never erased, since exchanges refer to them.
  std::map<std::string, ServiceState, std::less<>> services_;
  /// Listed targets, and targets that have left but whose limit or signals still hold if they
  /// return, by identifier.
  std::unordered_map<std::string, std::shared_ptr<TargetState>> targets_;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  /// Next timer of each exchange.
  std::set<std::pair<base::Instant, ExchangeId>> timers_;
  /// Services with waiting requests, by the time at which a target may be sent one within its
  /// limit.
  std::set<std::pair<base::Instant, ServiceState*>> dispatch_timers_;
  /// Current weights of the smooth weighted round robin over the services of a route, by route
  /// name.
  std::map<std::string, std::vector<double>, std::less<>> wrr_weights_;
};

}  // namespace mangonotch::steering

#include "steering/internal/engine.inl"             // IWYU pragma: export
#include "steering/internal/engine_candidates.inl"  // IWYU pragma: export
#include "steering/internal/engine_catalog.inl"     // IWYU pragma: export
#include "steering/internal/engine_limits.inl"      // IWYU pragma: export
#include "steering/internal/engine_queue.inl"       // IWYU pragma: export
#include "steering/internal/engine_tenants.inl"     // IWYU pragma: export
