// The table in force and what follows from it: ledger, grants at the gates, snapshots.
#include <algorithm>

#include "control/controller.h"

namespace mangonotch::control {
namespace {

/// Membership and free slots change slowly, and look-ups are cached for seconds.
constexpr base::Duration kSnapshotInterval = base::Duration::Milliseconds(500);

}  // namespace

void Controller::OnTable(publication::Source source, SteeringTablePtr table, base::Instant now) {
  const auto result = table_state_.Offer(source, table->shared_table(), now);
  if (result == publication::OfferResult::kAccepted) AdoptTable(std::move(table), now);
}

void Controller::ForgetDeadPeers(base::Instant now) {
  std::vector<base::HostId> live;
  for (const auto& info : members_.AllLive(now)) live.push_back(info.ref.host);
  std::sort(live.begin(), live.end());
  for (const base::HostId& it : known_live_hosts_) {
    if (!std::binary_search(live.begin(), live.end(), it)) table_state_.NotePeerGone(it);
  }
  known_live_hosts_ = std::move(live);
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
    // A host without slots still accepts callers: it requests slots when they arrive.
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
  std::vector<GrantKey> lines;
  for (auto& [region, link] : links_) {
    for (const shares::Grant& it : link.holdings.GrantsInForce(now)) {
      effects_.grants.push_back(it);
      lines.emplace_back(it.target, it.work_class);
    }
  }
  std::sort(lines.begin(), lines.end());
  // Gates keep grants that an update leaves out, so a withdrawn grant is sent with 0 slots.
  for (const GrantKey& it : grants_in_gates_) {
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
