// Events and timers of control::Controller.
#include "control/controller.h"

#include <algorithm>

#include "wire/split.h"

namespace mangonotch::control {
namespace {

constexpr base::Duration kLeaseTick = base::Duration::Milliseconds(100);
constexpr base::Duration kSummaryInterval = base::Duration::Seconds(1);
/// Membership and room change slowly; look-ups are cached for seconds anyway.
constexpr base::Duration kSnapshotInterval = base::Duration::Milliseconds(500);
/// A coordinator that has not answered for this long is looked for among all hosts of its region.
constexpr base::Duration kCoordinatorSilence = base::Duration::Milliseconds(1500);
/// Least time between two heartbeats to one region that waiting requests call for.
constexpr base::Duration kUrgentInterval = base::Duration::Milliseconds(5);
/// A pull that brought nothing is tried again after this, at whichever peer names the revision
/// next.
constexpr base::Duration kPullRetry = base::Duration::Milliseconds(500);

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

bool Controller::Receive(const membership::HostInfo& sender, std::uint64_t sequence,
                         base::Instant now) {
  const membership::Receipt receipt = members_.OnHeartbeat(sender, sequence, now);
  if (receipt.attestation) lease_.OnAttestation(*receipt.attestation, now);
  if (receipt.refusal != membership::Refusal::kNone) ++refused_messages_;
  return receipt.refusal == membership::Refusal::kNone;
}

bool Controller::Accept(const wire::Message& message, std::uint64_t sequence, base::Instant now) {
  if (const auto* it = std::get_if<shares::Heartbeat>(&message)) {
    return Receive(it->sender, sequence, now);
  }
  if (members_.IsKnown(wire::SenderOf(message).host)) return true;
  ++refused_messages_;
  return false;
}

void Controller::OnMessage(const wire::Message& message, std::uint64_t packet_sequence,
                           base::Instant now) {
  if (!Accept(message, packet_sequence, now)) return;
  std::visit([&](const auto& it) { Handle(it, now); }, message);
}

void Controller::Handle(const shares::Heartbeat& heartbeat, base::Instant now) {
  ConsiderRevision(heartbeat.sender.ref, heartbeat.sender.table_revision, now);
  if (leaving_.OnMarks(heartbeat.marks, now)) OnMarksChanged(now);
  AnswerHeartbeat(heartbeat, now);
}

void Controller::AnswerHeartbeat(const shares::Heartbeat& heartbeat, base::Instant now) {
  if (!IsOwnRegion(heartbeat.region) || !lease_.IsHolder(now) || !table_) return;
  auto reply = ledger_.OnHeartbeat(heartbeat, lease_.IsGrantee(heartbeat.sender.ref), now);
  if (!reply) return;
  reply->sender = self_.ref;
  reply->table_revision = revision();
  reply->marks = leaving_.Marks();
  if (heartbeat.sender.ref == self_.ref) {
    Handle(*reply, now);
  } else {
    effects_.messages.push_back({heartbeat.sender.ref.peer_address, std::move(*reply)});
  }
}

void Controller::Handle(const shares::HeartbeatReply& reply, base::Instant now) {
  ConsiderRevision(reply.sender, reply.table_revision, now);
  if (leaving_.OnMarks(reply.marks, now)) OnMarksChanged(now);
  NoteCoordinator(reply.region, reply.sender, reply.epoch, now);
  RegionLink& link = LinkOf(reply.region);
  if (link.holdings.OnReply(reply, now)) are_grants_stale_ = true;
  if (is_retired_) OnDemand(now);
}

void Controller::NoteCoordinator(const std::string& region, const membership::HostRef& host,
                                 base::Epoch epoch, base::Instant now) {
  RegionLink& link = LinkOf(region);
  if (epoch < link.coordinator_epoch) return;
  link.coordinator = host;
  link.coordinator_epoch = epoch;
  link.coordinator_until = now + kCoordinatorSilence;
  if (IsOwnRegion(region)) lease_.OnHolderHeard(epoch, now);
}

void Controller::Handle(const shares::PromiseRequest& request, base::Instant now) {
  const auto promise = lease_.OnPromiseRequest(request, now);
  if (promise) effects_.messages.push_back({request.sender.peer_address, *promise});
}

void Controller::Handle(const shares::Promise& promise, base::Instant now) {
  lease_.OnPromise(promise, now);
}

void Controller::Handle(const membership::Announcement& announcement, base::Instant now) {
  ConsiderRevision(announcement.sender, announcement.table_revision, now);
  if (leaving_.OnMarks(announcement.marks, now)) OnMarksChanged(now);
}

void Controller::Handle(const membership::RegionSummary& summary, base::Instant now) {
  ConsiderRevision(summary.sender, summary.table_revision, now);
  members_.OnRelayed(summary.hosts, now);
  if (leaving_.OnMarks(summary.marks, now)) OnMarksChanged(now);
  if (!summary.region.empty()) NoteCoordinator(summary.region, summary.sender, summary.epoch, now);
}

void Controller::ConsiderRevision(const membership::HostRef& peer, base::Revision newer,
                                  base::Instant now) {
  table_state_.NotePeerRevision(peer.host, newer);
  if (newer <= revision()) return;
  if (newer <= pull_revision_ && now < next_pull_) return;
  pull_revision_ = newer;
  next_pull_ = now + kPullRetry;
  effects_.pull_table = PullTable{peer.peer_address, newer};
}

void Controller::OnRecordRead(const std::optional<shares::RegionRecord>& record,
                              std::uint64_t version, base::Instant now) {
  Carry(lease_.OnRecordRead(record, version, now));
}

void Controller::OnReadFailed(base::Instant now) { Carry(lease_.OnReadFailed(now)); }

void Controller::OnWriteDone(shares::WriteResult result, std::uint64_t version, base::Instant now) {
  Carry(lease_.OnWriteDone(result, version, now));
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
  if (has_changed) OnMarksChanged(now);
}

void Controller::OnHealth(const HealthReport& report, base::Instant now) {
  if (leaving_.OnHealthReport(report.target, report.leaving, report.asked_at, now)) {
    OnMarksChanged(now);
  }
}

void Controller::OnHealthGone(base::TargetKey target, base::Instant now) {
  if (leaving_.OnHealthGone(target)) OnMarksChanged(now);
}

void Controller::OnDraining(base::TargetKey target, base::Instant now) {
  if (leaving_.OnLeaving(target, now)) OnMarksChanged(now);
}

void Controller::OnMarksChanged(base::Instant now) {
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

/// Tells all hosts that this one reaches directly: its region's, and the coordinators of the
/// others.
void Controller::Announce(base::Instant now) {
  const membership::Announcement announcement{self_.ref, revision(), leaving_.Marks()};
  for (const auto& info : members_.Live(self_.region, now)) {
    if (info.ref == self_.ref) continue;
    for (auto& part : wire::SplitAnnouncement(announcement)) {
      effects_.messages.push_back({info.ref.peer_address, std::move(part)});
    }
  }
  for (const auto& [region, link] : links_) {
    if (IsOwnRegion(region) || !link.coordinator) continue;
    for (auto& part : wire::SplitAnnouncement(announcement)) {
      effects_.messages.push_back({link.coordinator->peer_address, std::move(part)});
    }
  }
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
  // While it still may, a coordinator tells the other hosts that it leaves.
  SendSummaries(now);
  Carry(lease_.Stop(now));
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
      ledger_.Begin(ledger_epoch_, lease_.inherited_grantees(), lease_.took_over_at());
    }
    ledger_.Tick(now);
    lease_.SetGrantees(ledger_.WantedGrantees(now));
  }
  Carry(lease_.Tick(now));
}

void Controller::Carry(const shares::LeaseDecisions& decisions) {
  for (const shares::LeaseDecision& decision : decisions) {
    std::visit([&](const auto& it) { Carry(it); }, decision);
  }
}

void Controller::Carry(const shares::ReadRecord& read) { effects_.read_record = read; }

void Controller::Carry(const shares::WriteRecord& write) { effects_.write_record = write; }

void Controller::Carry(const shares::SendPromiseRequest& send) {
  effects_.messages.push_back({send.to.peer_address, send.request});
}

void Controller::Carry(const shares::SendPromise& send) {
  effects_.messages.push_back({send.to.peer_address, send.promise});
}

bool Controller::NeedsHeartbeat(RegionLink& link, const GateUsage& usage, base::Instant now) const {
  if (IsOwnRegion(link.region)) return true;
  const auto region = table_ ? table_->FindRegion(link.region) : std::nullopt;
  if (!region) return false;
  const bool has_demand = std::any_of(usage.demand.begin(), usage.demand.end(),
                                      [&](const auto& it) { return it.region == *region; });
  return has_demand || !link.holdings.GrantsInForce(now).empty();
}

void Controller::SendHeartbeats(const GateUsage& usage, base::Instant now) {
  if (table_) {
    for (const RegionDemand& it : usage.demand) LinkOf(table_->table().RegionName(it.region));
  }
  for (auto& [region, link] : links_) {
    if (now < link.next_heartbeat) continue;
    link.next_heartbeat = now + members_.HeartbeatInterval(region, now);
    link.not_before = now + kUrgentInterval;
    if (NeedsHeartbeat(link, usage, now)) SendHeartbeat(link, usage, now);
  }
}

/// Adds the region's demand to the heartbeat and returns its slots in use.
std::vector<shares::InUse> Controller::AddUsage(const GateUsage& usage,
                                                shares::Heartbeat& heartbeat) const {
  std::vector<shares::InUse> in_use;
  const auto region = table_ ? table_->FindRegion(heartbeat.region) : std::nullopt;
  if (!region) return in_use;
  heartbeat.demand.reserve(is_retired_ ? 0 : usage.demand.size());
  for (const shares::InUse& it : usage.in_use) {
    const TargetPlace* place = table_->FindTarget(it.target);
    const bool is_of_region =
        place == nullptr ? IsOwnRegion(heartbeat.region) : place->region == *region;
    if (is_of_region) in_use.push_back(it);
  }
  for (const RegionDemand& it : usage.demand) {
    if (it.region != *region || is_retired_) continue;
    heartbeat.demand.push_back({it.service, it.work_class, it.wanted});
  }
  return in_use;
}

void Controller::SendHeartbeat(RegionLink& link, const GateUsage& usage, base::Instant now) {
  shares::Heartbeat heartbeat;
  heartbeat.sender = self_;
  heartbeat.region = link.region;
  heartbeat.marks = leaving_.Marks();
  const std::vector<shares::InUse> in_use = AddUsage(usage, heartbeat);
  link.holdings.FillHeartbeat(in_use, now, heartbeat);
  link.has_reported_slots = !heartbeat.holdings.empty();
  const bool is_own_ledger = IsOwnRegion(link.region) && lease_.IsHolder(now);
  if (is_own_ledger) {
    AnswerHeartbeat(heartbeat, now);
    return;
  }
  for (const std::string& address : HeartbeatAddresses(link, now)) {
    effects_.messages.push_back({address, heartbeat});
  }
}

std::vector<std::string> Controller::HeartbeatAddresses(const RegionLink& link,
                                                        base::Instant now) const {
  if (link.coordinator && now < link.coordinator_until) return {link.coordinator->peer_address};
  std::vector<std::string> out;
  for (const auto& info : members_.Live(link.region, now)) {
    if (info.ref.host != self_.ref.host) out.push_back(info.ref.peer_address);
  }
  return out;
}

/// A coordinator tells its members about all hosts, and the other regions about its members.
void Controller::SendSummaries(base::Instant now) {
  next_summary_ = now + kSummaryInterval;
  if (!lease_.IsHolder(now)) return;
  membership::RegionSummary summary;
  summary.sender = self_.ref;
  summary.region = self_.region;
  summary.epoch = lease_.epoch();
  summary.table_revision = revision();
  summary.marks = leaving_.Marks();
  const auto send = [&](const std::string& to) {
    for (auto& part : wire::SplitSummary(summary)) {
      effects_.messages.push_back({to, std::move(part)});
    }
  };
  const auto own = members_.Live(self_.region, now);
  const auto all = members_.AllLive(now);
  summary.hosts = all;
  for (const auto& info : own) {
    if (info.ref != self_.ref) send(info.ref.peer_address);
  }
  summary.hosts = own;
  for (const auto& info : all) {
    if (IsOwnRegion(info.region)) continue;
    const auto link = links_.find(info.region);
    const bool is_known = link != links_.end() && link->second.coordinator &&
                          now < link->second.coordinator_until + kSummaryInterval;
    if (!is_known || link->second.coordinator->host == info.ref.host) send(info.ref.peer_address);
  }
}

void Controller::OnTable(publication::Source source, SteeringTablePtr table, base::Instant now) {
  const auto result = table_state_.Offer(source, table->shared_table(), now);
  if (result == publication::OfferResult::kAccepted) AdoptTable(std::move(table), now);
}

void Controller::ForgetDeadPeers(base::Instant now) {
  std::vector<base::HostId> live;
  for (const auto& info : members_.AllLive(now)) live.push_back(info.ref.host);
  std::sort(live.begin(), live.end());
  for (const base::HostId& it : known_live_) {
    if (!std::binary_search(live.begin(), live.end(), it)) table_state_.NotePeerGone(it);
  }
  known_live_ = std::move(live);
}

void Controller::AdoptTable(SteeringTablePtr table, base::Instant now) {
  table_ = std::move(table);
  effects_.table = table_;
  is_snapshot_stale_ = true;
  are_grants_stale_ = true;
  leaving_.Retain(table_->target_keys());
  std::erase_if(leaving_in_gates_,
                [&](base::TargetKey key) { return table_->FindTarget(key) == nullptr; });
  ConfigureLedger(now);
  Announce(now);
}

void Controller::ConfigureLedger(base::Instant now) {
  const auto region = table_->FindRegion(self_.region);
  std::vector<shares::TargetSpec> targets;
  std::vector<shares::ServiceLimits> limits;
  shares::LongestDeadlines longest = shares::kDefaultLongestDeadlines;
  for (const table::Service& service : table_->table().services) {
    longest[0] = std::max(longest[0], base::Duration::Milliseconds(service.short_deadline_ms));
    longest[1] = std::max(longest[1], base::Duration::Milliseconds(service.long_deadline_ms));
    for (const table::Target& it : service.targets) {
      const TargetPlace& place = *table_->FindTarget(it.key);
      if (place.region != region) continue;
      targets.push_back({.target = it.key,
                         .service = service.key,
                         .short_slots = place.short_slots,
                         .long_slots = place.long_slots,
                         .zone = table_->table().ZoneName(it.zone)});
    }
    for (const table::ServiceRegion& it : service.regions) {
      if (it.region != region) continue;
      const std::uint32_t limit = it.weight == 0 ? 0 : it.limit;
      limits.push_back(
          {service.key,
           {.region_limit = limit,
            .cap_percent = kMovedHalf * it.moved_in_cap_percent,
            .ramp_points_per_minute = kMovedHalf * it.moved_in_ramp_percent_per_minute}});
      const MovedPlaces places = table_->MovedPlacesOf(*table_->FindService(service.name));
      const auto n = static_cast<std::uint16_t>(kMovedHalf * limit * it.moved_in_cap_percent / 100);
      targets.push_back({.target = places.target,
                         .service = places.service,
                         .short_slots = n,
                         .long_slots = 0,
                         .zone = self_.zone});
      limits.push_back({places.service, {.region_limit = n}});
    }
  }
  ledger_.SetLongestDeadlines(longest);
  ledger_.SetTargets(targets, now);
  ledger_.SetLimits(limits, now);
}

SnapshotPtr Controller::BuildSnapshot(base::Instant now) const {
  auto snapshot = std::make_shared<Snapshot>();
  if (is_steering_) snapshot->table = table_;
  snapshot->leaving = self_.leaving;
  snapshot->leaving_targets = leaving_in_gates_;
  for (const auto& [region, link] : links_) {
    if (link.coordinator) {
      snapshot->coordinators.push_back({region, link.coordinator->host, link.coordinator_epoch});
    }
  }
  if (!table_) return snapshot;
  std::vector<lookup::HostEntry> entries;
  for (auto& info : members_.AllLive(now)) {
    const auto region = table_->FindRegion(info.region);
    const auto zone = table_->FindZone(info.zone);
    if (!region || !zone) continue;
    // A host that holds no slots yet still takes callers: it asks for slots when they come.
    const std::uint16_t room = std::max<std::uint16_t>(info.room_per_mille, 1);
    entries.push_back(
        {.region = *region, .zone = *zone, .room_per_mille = room, .leaving = info.leaving});
    snapshot->hosts.push_back(std::move(info));
  }
  snapshot->directory = lookup::Directory(entries);
  return snapshot;
}

void Controller::CollectGrants(base::Instant now) {
  are_grants_stale_ = false;
  std::vector<GrantedLine> lines;
  for (auto& [region, link] : links_) {
    for (const shares::Grant& it : link.holdings.GrantsInForce(now)) {
      effects_.grants.push_back(it);
      lines.emplace_back(it.target, it.work_class);
    }
  }
  std::sort(lines.begin(), lines.end());
  // The gates keep what they are not told of, so a line that is gone is set to no slots.
  for (const GrantedLine& it : grants_in_gates_) {
    if (std::binary_search(lines.begin(), lines.end(), it)) continue;
    effects_.grants.push_back({it.first, it.second, 0, now});
  }
  grants_in_gates_ = std::move(lines);
}

Effects Controller::TakeEffects(base::Instant now) {
  if (are_grants_stale_) CollectGrants(now);
  if (is_snapshot_stale_ || now >= next_snapshot_) {
    is_snapshot_stale_ = false;
    next_snapshot_ = now + kSnapshotInterval;
    effects_.snapshot = BuildSnapshot(now);
  }
  Effects out = std::move(effects_);
  effects_ = {};
  return out;
}

}  // namespace mangonotch::control
