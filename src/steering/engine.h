// The life of every request of this host, from its arrival to its answer: which target gets it,
// when it waits, when it is sent once more, when it is refused. Takes events and the present time
// and calls the port; has no sockets, threads or clock.
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
#include "steering/attempt.h"
#include "steering/exchange.h"
#include "steering/observer.h"
#include "steering/placement.h"
#include "steering/service_state.h"

namespace mangonotch::steering {

/// What the engine needs of the traffic shell. Calls of OnOutcome may not be made from within.
template <typename P>
concept EnginePort = requires(P& port, ExchangeId id, const AttemptOrder& order,
                              AttemptNumber number, const Conclusion& conclusion) {
  port.SendAttempt(id, order);
  /// Ends an attempt whose answer is no longer wanted; no outcome follows.
  port.CancelAttempt(id, number);
  /// Sends the caller the whole answer that the attempt brought.
  port.DeliverAnswer(id, number);
  port.Conclude(id, conclusion);
};

struct EngineSettings {
  std::string region;
  /// Hash of this host's name.
  std::uint64_t host_key = 0;
  /// Region of each availability zone.
  std::map<std::string, std::string, std::less<>> zones;
  PlacementSettings placement;
  RepeatLimits repeats;
  /// A cold target may get its rate in requests a second times this factor, from all hosts.
  double cold_rate_factor = 0.9;
};

/// Requests that the other hosts have in flight at a target.
struct PeerLoad {
  std::uint64_t target_key = 0;
  std::uint32_t in_flight = 0;
};

/// `Port` satisfies EnginePort; the constructor checks it, since a port holds its engine and is
/// incomplete here.
template <typename Port, DecisionObserver Observer>
class Engine {
 public:
  /// `port` and `observer` must outlive the engine.
  Engine(EngineSettings settings, Port& port, Observer& observer);

  void SetRepeatLimits(const RepeatLimits& limits, base::Instant now);
  void ApplyCatalog(catalog::CatalogPtr catalog, base::Instant now);
  /// The hosts by which sums over all hosts are divided: their number, this one included, and the
  /// keys of the others in this region.
  void SetHosts(std::uint32_t hosts, std::vector<std::uint64_t> local_hosts) {
    hosts_ = hosts;
    local_hosts_ = std::move(local_hosts);
  }
  /// Replaces what is known of other hosts' work.
  void SetPeerLoads(std::span<const PeerLoad> loads, base::Instant now);
  /// Work of this host, for the other hosts.
  std::vector<PeerLoad> OwnLoads() const;

  void OnRequest(ExchangeId id, const RequestFacts& facts, base::Instant now);
  void OnOutcome(ExchangeId id, AttemptNumber number, const AttemptOutcome& outcome,
                 base::Instant now);
  /// The caller has left: nothing is sent any more, and idempotent work is cancelled.
  void OnCallerGone(ExchangeId id, base::Instant now);

  /// When OnTime must be called next.
  base::Instant NextDeadline() const;
  void OnTime(base::Instant now);

  /// False once the request has been answered or given up.
  bool IsOpen(ExchangeId id) const { return exchanges_.contains(id); }
  const catalog::Configuration* configuration() const {
    return catalog_ ? catalog_->configuration.get() : nullptr;
  }

 private:
  ServiceState& ServiceOf(const std::string& name);
  const std::string& PickService(const catalog::Route& route);
  std::vector<TargetState*> CandidatesOf(const Exchange& exchange, base::Instant now,
                                         bool with_ejected);
  std::optional<Choice> ChooseTarget(const Exchange& exchange, base::Instant now);
  bool MaySendCold(TargetState& target, base::Instant now);
  void Dispatch(Exchange& exchange, base::Instant now);
  void WaitOrRefuse(Exchange& exchange, const Choice& choice, base::Instant now);
  void Send(Exchange& exchange, const Choice& choice, base::Instant now);
  /// Position of this host in an order of the region's hosts that depends on the target alone.
  std::size_t RankAmongHosts(std::uint64_t target_key) const;
  void Repeat(Exchange& exchange, AttemptNumber failed, AttemptResult failure, base::Instant now);
  bool TryRepeat(Exchange& exchange, AttemptResult failure, base::Instant now);
  void Hedge(Exchange& exchange, base::Instant now);
  /// Sends a further attempt when route, targets, time and budget allow it. `is_free` takes none of
  /// the budget.
  bool SendAgain(Exchange& exchange, RepeatReason reason, bool is_free, base::Instant now);
  void Expire(Exchange& exchange, base::Instant now);
  void Finish(Exchange& exchange, AttemptNumber number, base::Instant now);
  void Conclude(Exchange& exchange, ConclusionKind kind, ConclusionReason reason,
                base::Duration retry_after, base::Instant now);
  void CancelOpenAttempts(Exchange& exchange);
  void Forget(Exchange& exchange);
  void SetTimer(Exchange& exchange, base::Instant at);
  void Pump(ServiceState& service, base::Instant now);
  base::Duration QueueDelay(const ServiceState& service) const;

  EngineSettings settings_;
  Port& port_;
  Observer& observer_;
  Placement placement_;
  std::uint32_t hosts_ = 1;
  std::vector<std::uint64_t> local_hosts_;
  catalog::CatalogPtr catalog_;
  catalog::RouteTable routes_;
  /// By name; entries stay, since exchanges refer to them.
  std::map<std::string, ServiceState, std::less<>> services_;
  /// Targets listed or with work in flight, by identifier.
  std::unordered_map<std::string, std::shared_ptr<TargetState>> targets_;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  /// Next event of each exchange.
  std::set<std::pair<base::Instant, ExchangeId>> timers_;
  /// Turn of each service of a route with several, by name of route.
  std::map<std::string, std::vector<double>, std::less<>> turns_;
};

}  // namespace mangonotch::steering

#include "steering/internal/engine.inl"          // IWYU pragma: export
#include "steering/internal/engine_catalog.inl"  // IWYU pragma: export
