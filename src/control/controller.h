// The control state of one host and its decisions: membership, the region lease, grants given and
// held, the table in force, and leaving targets. It takes events with the present time and collects
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
  /// The store answered that it holds no table.
  void OnEmptyStore() { table_state_.NoteEmptyStore(); }
  void OnRecordRead(const std::optional<shares::RegionRecord>& record, std::uint64_t version,
                    base::Instant now);
  void OnReadFailed(base::Instant now);
  void OnWriteDone(shares::WriteResult result, std::uint64_t version, base::Instant now);
  /// The list names entry hosts, and targets by their address.
  void OnHostList(std::span<const membership::HostListEntry> entries, base::Instant now);
  void OnHealth(const HealthReport& report, base::Instant now);
  /// Nothing listens at the target's health endpoint.
  void OnHealthGone(base::TargetKey target, base::Instant now);
  /// An answer of the target says that it is leaving.
  void OnDraining(base::TargetKey target, base::Instant now);
  /// Requests wait for slots: heartbeats go out at once.
  void OnDemand(base::Instant now);
  /// Planned stop: this host is left out of look-ups and gives its part in the lease up.
  void BeginStop(base::Instant now);

  /// Ends a planned stop: no request will come any more, so all slots go back.
  void Retire(base::Instant now);
  /// True while slots are granted to this host, or its coordinator has not been told that it gave
  /// them back.
  bool HasGrants(base::Instant now);

  /// Timers. `usage` must have been counted after the gates took over the grants of the last
  /// effects.
  void Tick(const GateUsage& usage, base::Instant now);
  /// True when Tick has to be called now rather than at the next period.
  bool IsTickDue(base::Instant now) const;

  /// Takes the effects collected since the last call.
  Effects TakeEffects(base::Instant now);

  bool IsCoordinator(base::Instant now) const { return lease_.IsHolder(now); }
  /// Hosts that a new coordinator waits for before it grants anew, as "host host ...".
  std::string AwaitedGrantees(base::Instant now) const;
  base::Epoch epoch() const { return lease_.epoch(); }
  base::Revision revision() const { return table_ ? table_->revision() : 0; }
  const SteeringTablePtr& table() const { return table_; }
  std::uint64_t refused_messages() const { return refused_messages_; }
  /// False while a newer revision than this host's may be in force elsewhere.
  bool is_steering() const { return is_steering_; }
  std::vector<shares::ServiceUse> LedgerUses() const { return ledger_.Uses(); }

 private:
  void Handle(const shares::Heartbeat& heartbeat, base::Instant now);
  void Handle(const shares::HeartbeatReply& reply, base::Instant now);
  void Handle(const shares::PromiseRequest& request, base::Instant now);
  void Handle(const shares::Promise& promise, base::Instant now);
  void Handle(const membership::Announcement& announcement, base::Instant now);
  void Handle(const membership::RegionSummary& summary, base::Instant now);

  /// False for a message from a stranger or a replaced incarnation.
  bool Accept(const wire::Message& message, std::uint64_t sequence, base::Instant now);
  bool Receive(const membership::HostInfo& sender, std::uint64_t sequence, base::Instant now);
  void AnswerHeartbeat(const shares::Heartbeat& heartbeat, base::Instant now);
  void Carry(const shares::LeaseDecisions& decisions);
  void Carry(const shares::ReadRecord& read);
  void Carry(const shares::WriteRecord& write);
  void Carry(const shares::SendPromiseRequest& send);
  void Carry(const shares::SendPromise& send);
  void TickLease(base::Instant now);
  void SendHeartbeats(const GateUsage& usage, base::Instant now);
  void SendHeartbeat(RegionLink& link, const GateUsage& usage, base::Instant now);
  std::vector<shares::InUse> AddUsage(const GateUsage& usage, shares::Heartbeat& heartbeat) const;
  bool NeedsHeartbeat(RegionLink& link, const GateUsage& usage, base::Instant now) const;
  std::vector<std::string> HeartbeatAddresses(const RegionLink& link, base::Instant now) const;
  void SendSummaries(base::Instant now);
  void Announce(base::Instant now);
  void ConsiderRevision(const membership::HostRef& peer, base::Revision revision,
                        base::Instant now);
  void AdoptTable(SteeringTablePtr table, base::Instant now);
  void ConfigureLedger(base::Instant now);
  void OnMarksChanged(base::Instant now);
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
  /// Epoch that the ledger has begun, 0 before the first.
  base::Epoch ledger_epoch_ = 0;
  publication::TableState table_state_;
  /// The table in force, null before the first; prepared from that of `table_state_`.
  SteeringTablePtr table_;
  /// By region. A host talks with its own region's coordinator always, with others on demand.
  std::map<std::string, RegionLink> links_;
  using GrantedLine = std::pair<base::TargetKey, base::WorkClass>;
  /// Lines with slots that the gates were told of, sorted.
  std::vector<GrantedLine> grants_in_gates_;
  /// Live hosts at the last look, sorted.
  std::vector<base::HostId> known_live_;
  /// Names that the last host list showed as leaving, sorted. The list lags, so only a new entry is
  /// news: an old one may be behind a newer health report.
  std::vector<base::HostId> listed_leaving_;
  /// Targets that the gates know as leaving.
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
