// Messages that control::Controller receives from peers and sends to them.
#include <algorithm>

#include "control/controller.h"
#include "wire/split.h"

namespace mangonotch::control {
namespace {

constexpr base::Duration kSummaryInterval = base::Duration::Seconds(1);
/// When a coordinator has not replied for this long, heartbeats go to all hosts of its region to
/// find the current one.
constexpr base::Duration kCoordinatorSilence = base::Duration::Milliseconds(1500);
/// Minimum interval between heartbeats to one region that waiting requests trigger.
constexpr base::Duration kUrgentInterval = base::Duration::Milliseconds(5);
/// Minimum delay before an unsuccessful pull is retried, from the next peer that names the
/// revision.
constexpr base::Duration kPullRetry = base::Duration::Milliseconds(500);

}  // namespace

bool Controller::Receive(const membership::HostInfo& sender, std::uint64_t sequence,
                         base::Instant now) {
  const membership::HeartbeatResult result = members_.OnHeartbeat(sender, sequence, now);
  if (result.confirmed_sender) lease_.OnIncarnationConfirmed(*result.confirmed_sender, now);
  if (result.refusal != membership::Refusal::kNone) ++refused_messages_;
  return result.refusal == membership::Refusal::kNone;
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
  if (leaving_.OnMarks(heartbeat.marks, now)) OnLeavingTargetsChanged(now);
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
  if (leaving_.OnMarks(reply.marks, now)) OnLeavingTargetsChanged(now);
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
  if (IsOwnRegion(region)) lease_.OnHolderReply(epoch, now);
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
  if (leaving_.OnMarks(announcement.marks, now)) OnLeavingTargetsChanged(now);
}

void Controller::Handle(const membership::RegionSummary& summary, base::Instant now) {
  ConsiderRevision(summary.sender, summary.table_revision, now);
  members_.OnRelayedHosts(summary.hosts, now);
  if (leaving_.OnMarks(summary.marks, now)) OnLeavingTargetsChanged(now);
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

/// Sends an announcement to the hosts of the own region and the coordinators of the others.
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
std::vector<shares::SlotsInUse> Controller::AddUsage(const GateUsage& usage,
                                                     shares::Heartbeat& heartbeat) const {
  std::vector<shares::SlotsInUse> in_use;
  const auto region = table_ ? table_->FindRegion(heartbeat.region) : std::nullopt;
  if (!region) return in_use;
  for (const shares::SlotsInUse& it : usage.in_use) {
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
  const std::vector<shares::SlotsInUse> in_use = AddUsage(usage, heartbeat);
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

/// A coordinator sends the list of all hosts to the hosts of its region, and the list of its
/// region's hosts to the other regions.
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

}  // namespace mangonotch::control
