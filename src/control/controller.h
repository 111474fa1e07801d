// The control state and decisions of one host: membership, the region lease, grants issued and
// held, the table in force, and leaving targets. It takes events with the current time and collects
// effects; it does no input or output.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/instant.h"
#include "control/effects.h"
#include "control/gate_port.h"
#include "control/region_link.h"
#include "control/snapshot.h"
#include "membership/leaving_targets.h"
#include "membership/members.h"
#include "publication/table_state.h"
#include "shares/coordinator_lease.h"
#include "shares/ledger.h"
#include "wire/message.h"

namespace mangonotch::control {

struct ControllerSettings {
  membership::HostInfo self;
  /// All configured hosts, of all regions.
  std::vector<membership::HostInfo> seeds;
};

/// A target's own report, from its health and load endpoints.
struct HealthReport {
  base::TargetKey target;
  bool leaving = false;
  base::Instant asked_at;
};

class Controller {
 public:
  Controller(const ControllerSettings& settings, base::Instant now);

  void OnMessage(const wire::Message& message, std::uint64_t packet_sequence, base::Instant now);
  /// A table that has passed its checks, from the store or a peer.
  void OnTable(publication::Source source, SteeringTablePtr table, base::Instant now);
  /// The store replied that it has no table.
  void OnEmptyStore() { table_state_.NoteEmptyStore(); }
  void OnRecordRead(const std::optional<shares::RegionRecord>& record, std::uint64_t version,
                    base::Instant now);
  void OnReadFailed(base::Instant now);
  void OnWriteDone(shares::WriteResult result, std::uint64_t version, base::Instant now);
  /// The list names entry hosts, and targets by their address.
  void OnHostList(std::span<const membership::HostListEntry> entries, base::Instant now);
  void OnHealth(const HealthReport& report, base::Instant now);
  /// The target's health endpoint refused the connection.
  void OnHealthEndpointGone(base::TargetKey target, base::Instant now);
  /// A response of the target says that it is leaving.
  void OnDraining(base::TargetKey target, base::Instant now);
  /// Requests are waiting for slots: the next heartbeats are sent without delay.
  void OnDemand(base::Instant now);
  /// Starts a planned stop: look-ups omit this host, and it gives up its part in the lease.
  void BeginStop(base::Instant now);

  /// Completes a planned stop: no more requests will arrive, so all slots are released.
  void Retire(base::Instant now);
  /// True while slots are granted to this host, or until its coordinator has been told of their
  /// release.
  bool HasGrants(base::Instant now);

  /// Runs due timers. `usage` must be counted after the gates have applied the grants of the last
  /// effects.
  void Tick(const GateUsage& usage, base::Instant now);
  /// True when a timer is due, so Tick must be called before the next period.
  bool IsTickDue(base::Instant now) const;

  /// Returns the effects collected since the last call and clears them.
  Effects TakeEffects(base::Instant now);

  bool IsCoordinator(base::Instant now) const { return lease_.IsHolder(now); }
  /// Hosts that a new coordinator must hear from before it issues grants, separated by spaces.
  std::string AwaitedGrantees(base::Instant now) const;
  base::Epoch epoch() const { return lease_.epoch(); }
  base::Revision revision() const { return table_ ? table_->revision() : 0; }
  const SteeringTablePtr& table() const { return table_; }
  std::uint64_t refused_messages() const { return refused_messages_; }
  /// False while another host may use a newer revision than this one.
  bool is_steering() const { return is_steering_; }
  std::vector<shares::ServiceUse> LedgerUses() const { return ledger_.ServiceUses(); }

 private:
  void Handle(const shares::Heartbeat& heartbeat, base::Instant now);
  void Handle(const shares::HeartbeatReply& reply, base::Instant now);
  void Handle(const shares::PromiseRequest& request, base::Instant now);
  void Handle(const shares::Promise& promise, base::Instant now);
  void Handle(const membership::Announcement& announcement, base::Instant now);
  void Handle(const membership::RegionSummary& summary, base::Instant now);

  /// False for a message from an unknown host or a replaced incarnation.
  bool Accept(const wire::Message& message, std::uint64_t sequence, base::Instant now);
  bool Receive(const membership::HostInfo& sender, std::uint64_t sequence, base::Instant now);
  void AnswerHeartbeat(const shares::Heartbeat& heartbeat, base::Instant now);
  void CollectEffects(const shares::LeaseDecisions& decisions);
  void CollectEffects(const shares::ReadRecord& read);
  void CollectEffects(const shares::WriteRecord& write);
  void CollectEffects(const shares::SendPromiseRequest& send);
  void CollectEffects(const shares::SendPromise& send);
  void TickLease(base::Instant now);
  void SendHeartbeats(const GateUsage& usage, base::Instant now);
  void SendHeartbeat(RegionLink& link, const GateUsage& usage, base::Instant now);
  std::vector<shares::SlotsInUse> AddUsage(const GateUsage& usage,
                                           shares::Heartbeat& heartbeat) const;
  bool NeedsHeartbeat(RegionLink& link, const GateUsage& usage, base::Instant now) const;
  std::vector<std::string> HeartbeatAddresses(const RegionLink& link, base::Instant now) const;
  void SendSummaries(base::Instant now);
  void Announce(base::Instant now);
  void ConsiderRevision(const membership::HostRef& peer, base::Revision revision,
                        base::Instant now);
  void AdoptTable(SteeringTablePtr table, base::Instant now);
  void ConfigureLedger(base::Instant now);
  void OnLeavingTargetsChanged(base::Instant now);
  void ForgetDeadPeers(base::Instant now);
  void NoteCoordinator(const std::string& region, const membership::HostRef& host,
                       base::Epoch epoch, base::Instant now);
  RegionLink& LinkOf(const std::string& region);
  bool IsOwnRegion(std::string_view region) const { return region == self_.region; }
  SnapshotPtr BuildSnapshot(base::Instant now) const;
  void CollectGrants(base::Instant now);

  membership::HostInfo self_;
  membership::Members members_;
  membership::LeavingTargets leaving_;
  shares::CoordinatorLease lease_;
  shares::Ledger ledger_;
  /// Current epoch of the ledger, 0 before the first.
  base::Epoch ledger_epoch_ = 0;
  publication::TableState table_state_;
  /// The table in force, prepared from that of `table_state_`. Null before the first.
  SteeringTablePtr table_;
  /// By region. A host always exchanges heartbeats with the coordinator of its own region, and with
  /// others on demand.
  std::map<std::string, RegionLink> links_;
  using GrantKey = std::pair<base::TargetKey, base::WorkClass>;
  /// Keys of the non-empty grants last sent to the gates, sorted.
  std::vector<GrantKey> grants_in_gates_;
  /// Hosts that were live at the last check, sorted.
  std::vector<base::HostId> known_live_hosts_;
  /// Hosts that the last host list showed as leaving, sorted. The list lags, so only a new entry
  /// counts: an old one may be older than a health report.
  std::vector<base::HostId> listed_leaving_;
  /// Targets last reported to the gates as leaving.
  std::vector<base::TargetKey> leaving_in_gates_;
  base::Instant next_lease_tick_;
  base::Instant next_summary_;
  base::Instant next_snapshot_;
  base::Revision pull_revision_ = 0;
  base::Instant next_pull_;
  bool is_steering_ = false;
  bool is_retired_ = false;
  bool is_snapshot_stale_ = true;
  bool are_grants_stale_ = false;
  std::uint64_t refused_messages_ = 0;
  Effects effects_;
};

}  // namespace mangonotch::control
