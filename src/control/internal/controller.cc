// Events and timers of control::Controller.
#include "control/controller.h"

#include <algorithm>

namespace mangonotch::control {
namespace {

constexpr base::Duration kLeaseTick = base::Duration::Milliseconds(100);

shares::LeaseSettings LeaseSettingsOf(const membership::HostInfo& self) {
  shares::LeaseSettings settings;
  settings.region = self.region;
  settings.self = self.ref;
  settings.zone = self.zone;
  return settings;
}

std::vector<base::HostId> PeerNames(const ControllerSettings& settings) {
  std::vector<base::HostId> names;
  for (const membership::HostInfo& it : settings.seeds) {
    if (it.ref.host != settings.self.ref.host) names.push_back(it.ref.host);
  }
  return names;
}

}  // namespace

Controller::Controller(const ControllerSettings& settings, base::Instant now)
    : self_(settings.self),
      members_(settings.self, settings.seeds, now),
      lease_(LeaseSettingsOf(settings.self), now),
      ledger_(settings.self.region),
      table_state_(PeerNames(settings)) {
  LinkOf(self_.region);
}

RegionLink& Controller::LinkOf(const std::string& region) {
  auto& link = links_[region];
  link.region = region;
  return link;
}

void Controller::OnRecordRead(const std::optional<shares::RegionRecord>& record,
                              std::uint64_t version, base::Instant now) {
  CollectEffects(lease_.OnRecordRead(record, version, now));
}

void Controller::OnReadFailed(base::Instant now) { CollectEffects(lease_.OnReadFailed(now)); }

void Controller::OnWriteDone(shares::WriteResult result, std::uint64_t version, base::Instant now) {
  CollectEffects(lease_.OnWriteDone(result, version, now));
}

void Controller::OnHostList(std::span<const membership::HostListEntry> entries, base::Instant now) {
  members_.OnHostList(entries);
  std::vector<base::HostId> listed;
  for (const membership::HostListEntry& it : entries) {
    if (it.leaving) listed.push_back(it.host);
  }
  std::sort(listed.begin(), listed.end());
  std::swap(listed, listed_leaving_);
  if (!table_) return;
  bool has_changed = false;
  for (const base::TargetKey target : table_->target_keys()) {
    const std::string& address = table_->FindTarget(target)->address;
    const bool is_new =
        std::binary_search(listed_leaving_.begin(), listed_leaving_.end(), address) &&
        !std::binary_search(listed.begin(), listed.end(), address);
    if (is_new) has_changed = leaving_.OnLeaving(target, now) || has_changed;
  }
  if (has_changed) OnLeavingTargetsChanged(now);
}

void Controller::OnHealth(const HealthReport& report, base::Instant now) {
  if (leaving_.OnHealthReport(report.target, report.leaving, report.asked_at, now)) {
    OnLeavingTargetsChanged(now);
  }
}

void Controller::OnHealthEndpointGone(base::TargetKey target, base::Instant now) {
  if (leaving_.OnHealthEndpointGone(target)) OnLeavingTargetsChanged(now);
}

void Controller::OnDraining(base::TargetKey target, base::Instant now) {
  if (leaving_.OnLeaving(target, now)) OnLeavingTargetsChanged(now);
}

void Controller::OnLeavingTargetsChanged(base::Instant now) {
  is_snapshot_stale_ = true;
  if (!table_) return;
  for (const base::TargetKey target : table_->target_keys()) {
    const bool is_leaving = leaving_.IsLeaving(target);
    const auto it = std::find(leaving_in_gates_.begin(), leaving_in_gates_.end(), target);
    if (is_leaving == (it != leaving_in_gates_.end())) continue;
    effects_.leaving.push_back({target, is_leaving});
    ledger_.SetLeaving(target, is_leaving);
    if (is_leaving) {
      leaving_in_gates_.push_back(target);
    } else {
      leaving_in_gates_.erase(it);
    }
  }
  Announce(now);
}

void Controller::OnDemand(base::Instant now) {
  for (auto& [region, link] : links_) {
    link.next_heartbeat = std::min(link.next_heartbeat, std::max(now, link.not_before));
  }
}

std::string Controller::AwaitedGrantees(base::Instant now) const {
  std::string names;
  for (const membership::HostRef& it : ledger_.AwaitedGrantees(now)) {
    names += (names.empty() ? "" : " ") + it.host;
  }
  return names;
}

void Controller::Retire(base::Instant now) {
  is_retired_ = true;
  OnDemand(now);
}

bool Controller::HasGrants(base::Instant now) {
  return std::any_of(links_.begin(), links_.end(), [&](auto& it) {
    return it.second.has_reported_slots || !it.second.holdings.GrantsInForce(now).empty();
  });
}

void Controller::BeginStop(base::Instant now) {
  self_.leaving = true;
  members_.SetSelf(self_);
  // A coordinator announces that it is leaving while it still holds the lease.
  SendSummaries(now);
  CollectEffects(lease_.Stop(now));
  is_snapshot_stale_ = true;
  OnDemand(now);
}

bool Controller::IsTickDue(base::Instant now) const {
  return now >= next_lease_tick_ || now >= next_snapshot_ ||
         std::any_of(links_.begin(), links_.end(),
                     [&](const auto& it) { return now >= it.second.next_heartbeat; });
}

void Controller::Tick(const GateUsage& usage, base::Instant now) {
  self_.room_per_mille = usage.room_per_mille;
  self_.table_revision = revision();
  members_.SetSelf(self_);
  if (now >= next_lease_tick_) TickLease(now);
  SendHeartbeats(usage, now);
  if (now >= next_summary_) SendSummaries(now);
  if (!is_steering_ && table_state_.MaySteer(now)) {
    is_steering_ = true;
    is_snapshot_stale_ = true;
  }
}

void Controller::TickLease(base::Instant now) {
  next_lease_tick_ = now + kLeaseTick;
  ForgetDeadPeers(now);
  std::vector<shares::Candidate> candidates;
  for (const auto& info : members_.Candidates(self_.region, now)) {
    candidates.push_back({info.ref, info.zone});
  }
  lease_.OnCandidates(candidates, now);
  if (lease_.IsHolder(now)) {
    if (ledger_epoch_ != lease_.epoch()) {
      ledger_epoch_ = lease_.epoch();
      ledger_.BeginEpoch(ledger_epoch_, lease_.inherited_grantees(), lease_.took_over_at());
    }
    ledger_.Tick(now);
    lease_.SetGrantees(ledger_.WantedGrantees(now));
  }
  CollectEffects(lease_.Tick(now));
}

void Controller::CollectEffects(const shares::LeaseDecisions& decisions) {
  for (const shares::LeaseDecision& decision : decisions) {
    std::visit([&](const auto& it) { CollectEffects(it); }, decision);
  }
}

void Controller::CollectEffects(const shares::ReadRecord& read) { effects_.read_record = read; }

void Controller::CollectEffects(const shares::WriteRecord& write) { effects_.write_record = write; }

void Controller::CollectEffects(const shares::SendPromiseRequest& send) {
  effects_.messages.push_back({send.to.peer_address, send.request});
}

void Controller::CollectEffects(const shares::SendPromise& send) {
  effects_.messages.push_back({send.to.peer_address, send.promise});
}

}  // namespace mangonotch::control
