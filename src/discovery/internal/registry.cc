// Registry: the targets, and the changes that hosts send each other.
#include "discovery/registry.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace mangonotch::discovery {

using catalog::IsNewEra;
using catalog::StartOfEra;

namespace {

/// Number of removals kept for incremental updates of other hosts; a host that has missed more gets
/// a full copy.
constexpr std::size_t kMaxRemovals = 512;

}  // namespace

void Registry::ObserveTargetsEra(StoreRevision revision, base::Instant now) {
  if (IsNewEra(std::max(targets_revision_, newest_.targets), revision)) outage_.OnRestored(now);
  AdvanceNewest({.targets = StartOfEra(revision)});
}

void Registry::PutTarget(const catalog::Target& target, StoreRevision revision, base::Instant now) {
  AdvanceNewest({.targets = revision});
  ReadTarget({.target = target, .revision = revision}, ReportOrigin::kWatch, now);
}

void Registry::ReadTarget(const TargetChange& report, ReportOrigin origin, base::Instant now) {
  // After an outage, many live targets are listed again.
  const bool is_doubtful = removed_.IsDoubtful(report.target, now) && !IsRecovering(now);
  if (!is_doubtful && !removed_.IsOutdated(report.target)) {
    ApplyTarget(report, origin);
    return;
  }
  const bool is_set_aside = removed_.SetAside(report, now);
  Observe(report, origin, is_set_aside ? ReportVerdict::kSetAside : ReportVerdict::kRemoved,
          std::nullopt);
}

void Registry::MergeTarget(const TargetChange& change, base::Instant now, StoreAccess access) {
  const bool is_outdated =
      change.is_confirmed ? removed_.HasLeft(change.target) : removed_.IsOutdated(change.target);
  const bool is_doubtful = access == StoreAccess::kReads && !change.is_confirmed &&
                           removed_.IsDoubtful(change.target, now);
  if (is_outdated || is_doubtful) {
    Observe(change, ReportOrigin::kHost, ReportVerdict::kRemoved, std::nullopt);
  } else {
    ApplyTarget(change, ReportOrigin::kHost);
  }
}

std::optional<bool> Registry::UseOf(std::string_view id) const {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return std::nullopt;
  return !it->second.target.is_draining;
}

void Registry::Observe(const TargetChange& report, ReportOrigin origin, ReportVerdict verdict,
                       std::optional<bool> use_before) const {
  if (!observer_) return;
  const std::optional<bool> use = UseOf(report.target.id);
  const bool is_one_of_many = origin == ReportOrigin::kListing || origin == ReportOrigin::kHost;
  // Nearly all targets of a first listing are new and may get requests.
  const bool is_new = !use_before && use == true;
  const bool has_changed = use != use_before && !is_new;
  if (is_one_of_many && verdict == ReportVerdict::kInForce && !has_changed) return;
  const auto it = targets_.find(report.target.id);
  observer_({.report = report,
             .origin = origin,
             .verdict = verdict,
             .believed = it == targets_.end() ? nullptr : &it->second.target});
}

bool Registry::IsNews(const Entry& entry, const catalog::Target& target, StoreRevision revision) {
  const std::partial_ordering order = catalog::Compare(target.report, entry.target.report);
  if (order == std::partial_ordering::less) return false;
  return order == std::partial_ordering::greater || revision > entry.revision;
}

void Registry::ApplyTarget(const TargetChange& change, ReportOrigin origin) {
  const catalog::Target& target = change.target;
  const std::optional<bool> use_before = UseOf(target.id);
  if (LastRemovalRevision(target.id) >= change.revision) {
    Observe(change, origin, ReportVerdict::kRemoved, use_before);
    return;
  }
  removed_.Forget(target.id);
  const auto [it, is_new] = targets_.try_emplace(target.id);
  Entry& entry = it->second;
  const bool is_newest = is_new || IsNews(entry, target, change.revision);
  bool is_in_force = is_newest || target.report == entry.target.report;
  if (is_newest) {
    UpdateTarget(entry, target);
    entry.is_confirmed = change.is_confirmed;
  } else if (TakeDraining(entry, target)) {
    is_in_force = true;
  }
  MarkListed(entry, change.revision);
  Observe(change, origin, is_in_force ? ReportVerdict::kInForce : ReportVerdict::kOutdated,
          use_before);
}

bool Registry::TakeDraining(Entry& entry, const catalog::Target& target) {
  const bool is_news = target.is_draining && !entry.target.is_draining &&
                       catalog::IsSameIncarnation(entry.target.report, target.report);
  if (!is_news) return false;
  entry.target.is_draining = true;
  entry.sequence = ++sequence_;
  return true;
}

void Registry::UpdateTarget(Entry& entry, const catalog::Target& target) {
  catalog::Target next = target;
  // Reports of the same incarnation may round the cold time differently; the longer one is used.
  if (entry.target.report.started_at_ms == target.report.started_at_ms) {
    next.cold_until = std::max(next.cold_until, entry.target.cold_until);
  }
  if (catalog::IsSameIncarnation(entry.target.report, target.report)) {
    next.is_draining = next.is_draining || entry.target.is_draining;
  }
  // A report that says nothing but its own number changes nothing.
  entry.target.report.sequence = next.report.sequence;
  if (entry.target == next) return;
  entry.sequence = ++sequence_;
  entry.target = std::move(next);
}

void Registry::MarkListed(Entry& entry, StoreRevision revision) {
  // Another host may name a newer report at a lower revision.
  if (revision <= entry.revision) return;
  // Read in a new era, it is sent on in any case: a follower may have dropped the older record.
  if (IsNewEra(entry.revision, revision)) entry.sequence = ++sequence_;
  entry.revision = revision;
  entry.keep_until = base::Instant::Never();
}

StoreRevision Registry::LastRemovalRevision(std::string_view id) const {
  StoreRevision revision = 0;
  for (const auto& [sequence, removal] : removals_) {
    if (removal.id == id) revision = std::max(revision, removal.revision);
  }
  return revision;
}

Registry::Entries::iterator Registry::Erase(Entries::iterator it, StoreRevision revision,
                                            base::Instant now, RemovalCause cause) {
  removals_.emplace_back(++sequence_, removed_.Add(it->second.target, revision, cause, now));
  if (removals_.size() > kMaxRemovals) {
    compacted_sequence_ = removals_.front().first;
    removals_.pop_front();
  }
  return targets_.erase(it);
}

void Registry::RemoveTarget(std::string_view id, StoreRevision revision, base::Instant now,
                            RemovalCause cause) {
  AdvanceNewest({.targets = revision});
  removed_.OnMissing(id, revision);
  const auto it = targets_.find(id);
  if (it == targets_.end() || revision <= it->second.revision) return;
  if (const auto keep_until = KeepUntil(it->second, now)) {
    it->second.revision = revision;
    it->second.keep_until = *keep_until;
    return;
  }
  Erase(it, revision, now, cause);
}

void Registry::OnStoreRegained(base::Instant lost_at, base::Instant now) {
  is_store_lost_ = false;
  // The store may have kept entries of its own as they were.
  if (outage_.IsOutage(lost_at, now)) removed_.Renew(now);
  outage_.OnRegained(lost_at, now);
}

std::optional<base::Instant> Registry::KeepUntil(const Entry& entry, base::Instant now) const {
  const bool is_kept = IsRecovering(now) && !entry.target.is_draining;
  return is_kept ? outage_.recovery_end() : std::nullopt;
}

void Registry::OnStoreServedElsewhere(base::Instant since) {
  outage_.OnServedElsewhere(since);
  // Without an outage, what the store has removed is gone.
  const base::Instant end = outage_.recovery_end().value_or(base::Instant());
  for (auto& [id, entry] : targets_) {
    if (entry.keep_until != base::Instant::Never()) entry.keep_until = end;
  }
}

void Registry::AdvanceTargets(StoreRevision revision) {
  targets_revision_ = std::max(targets_revision_, revision);
}

void Registry::ReplaceTargets(std::span<const catalog::Target> targets, StoreRevision revision,
                              base::Instant now, const std::set<std::string_view>& unreadable) {
  if (revision < targets_revision_) return;
  ObserveTargetsEra(revision, now);
  std::set<std::string_view> listed;
  for (const catalog::Target& it : targets) {
    listed.insert(it.id);
    ReadTarget({.target = it, .revision = revision}, ReportOrigin::kListing, now);
  }
  for (auto it = targets_.begin(); it != targets_.end();) {
    Entry& entry = it->second;
    if (listed.contains(it->first) || entry.revision > revision) {
      ++it;
    } else if (const auto keep_until = KeepUntil(entry, now)) {
      entry.keep_until = *keep_until;
      ++it;
    } else {
      const bool is_unreadable = unreadable.contains(it->first);
      it = Erase(it, revision, now,
                 is_unreadable ? RemovalCause::kUnreadable : RemovalCause::kDeleted);
    }
  }
  removed_.OnListing([&](std::string_view id) { return listed.contains(id); }, revision);
  AdvanceTargets(revision);
}

CatalogChanges Registry::ChangesSince(std::uint64_t sequence) const {
  CatalogChanges changes{
      .sequence = sequence_,
      .is_full = sequence == 0 || sequence < compacted_sequence_ || sequence > sequence_,
      .targets_revision = targets_revision_,
      .operator_revision = operator_revision_,
      .newest = newest()};
  for (const auto& [id, entry] : targets_) {
    if (changes.is_full || entry.sequence > sequence) {
      changes.targets.push_back({entry.target, entry.revision, entry.is_confirmed});
    }
  }
  if (changes.is_full) changes.removals = removed_.removals();
  for (const auto& [removal_sequence, removal] : removals_) {
    if (!changes.is_full && removal_sequence > sequence) changes.removals.push_back(removal);
  }
  if (changes.is_full || operator_sequence_ > sequence) {
    changes.configuration = configuration_;
    for (const std::string& it : evacuated_zones_) {
      if (!kept_evacuations_.contains(it)) changes.evacuated_zones.push_back(it);
    }
  }
  return changes;
}

void Registry::Merge(const CatalogChanges& changes, base::Instant now, StoreAccess access) {
  is_store_lost_ = false;
  if (changes.configuration && changes.operator_revision > operator_revision_) {
    ReplaceOperatorRecords(changes.configuration, changes.evacuated_zones,
                           changes.operator_revision, now);
  } else {
    // At the same revision, a host that has started after a restore knows an older version.
    ApplyConfiguration(changes.configuration);
  }
  // Targets of an earlier era may have left in it.
  const bool is_era_known =
      catalog::EraOf(changes.targets_revision) >= catalog::EraOf(targets_revision_);
  if (is_era_known) MergeTargets(changes, now, access);
  AdvanceOperatorRecords(changes.operator_revision);
  AdvanceNewest(changes.newest);
}

void Registry::MergeTargets(const CatalogChanges& changes, base::Instant now, StoreAccess access) {
  ObserveTargetsEra(changes.targets_revision, now);
  if (access == StoreAccess::kFollows) removed_.DropReports();
  std::set<std::string_view> listed;
  for (const TargetChange& it : changes.targets) {
    listed.insert(it.target.id);
    MergeTarget(it, now, access);
  }
  for (const TargetRemoval& it : changes.removals) {
    MergeRemoval(it, listed.contains(it.id), now, access);
  }
  // What this host has read in the store at a later position says more than a copy without it.
  const bool is_listing_newer =
      access == StoreAccess::kReads && changes.targets_revision <= targets_revision_;
  if (changes.is_full && !is_listing_newer) {
    for (auto it = targets_.begin(); it != targets_.end();) {
      Entry& entry = it->second;
      if (listed.contains(it->first) || entry.revision > changes.targets_revision) {
        ++it;
        continue;
      }
      const auto keep_until =
          IsNewEra(entry.revision, changes.targets_revision) ? KeepUntil(entry, now) : std::nullopt;
      if (keep_until) entry.keep_until = *keep_until;
      it = keep_until ? std::next(it) : Erase(it, changes.targets_revision, now);
    }
  }
  AdvanceTargets(changes.targets_revision);
}

void Registry::MergeRemoval(const TargetRemoval& removal, bool is_listed_by_sender,
                            base::Instant now, StoreAccess access) {
  const auto it = targets_.find(removal.id);
  if (it == targets_.end()) {
    removed_.Learn(removal, now);
    return;
  }
  // If it is listed since, this host may have read nothing but a report that was carried out late.
  const Entry& entry = it->second;
  const bool is_doubtful = access == StoreAccess::kReads && !is_listed_by_sender &&
                           removed_.IsDoubtful(entry.target.report, removal, now);
  const bool is_proven =
      entry.is_confirmed || (!IsOutdated(entry.target.report, removal) && !is_doubtful);
  if (entry.revision > removal.revision && is_proven) return;
  TargetChange listed{.target = entry.target, .revision = entry.revision};
  removed_.Learn(removal, now);
  // The target may be live, and the store may not tell of a newer report.
  if (access == StoreAccess::kReads) removed_.SetAside(std::move(listed), now);
  Erase(it, removal.revision, now);
}

base::Instant Registry::Expire(base::Instant now) {
  base::Instant next = std::min(ExpireEvacuations(now), ExpireRemovals(now));
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (it->second.keep_until <= now) {
      // Not the entry's own revision: other hosts may know a later record of the target.
      it = Erase(it, std::max(it->second.revision, targets_revision_), now);
      continue;
    }
    next = std::min(next, it->second.keep_until);
    ++it;
  }
  return next;
}

base::Instant Registry::ExpireRemovals(base::Instant now) {
  if (is_store_lost_) return base::Instant::Never();
  for (const TargetChange& it : removed_.TakeExpired(now)) {
    ApplyTarget(it, ReportOrigin::kMemory);
  }
  return removed_.NextExpiry();
}

catalog::CatalogPtr Registry::TakeUpdatedCatalog() {
  if (std::exchange(published_sequence_, sequence_) == sequence_) return nullptr;
  auto catalog = std::make_shared<catalog::Catalog>();
  catalog->configuration = configuration_;
  catalog->evacuated_zones = evacuated_zones_;
  catalog->targets.reserve(targets_.size());
  for (const auto& [id, entry] : targets_) catalog->targets.push_back(entry.target);
  return catalog;
}

}  // namespace mangonotch::discovery
