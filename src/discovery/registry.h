// Builds the catalog from decoded store records and from changes received from other hosts. Does
// not access the store and does not depend on any encoding.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/instant.h"
#include "catalog/catalog.h"
#include "catalog/store_position.h"
#include "discovery/catalog_changes.h"
#include "discovery/removed_targets.h"
#include "discovery/report_decision.h"
#include "discovery/store_outage.h"

namespace mangonotch::discovery {

/// How a host learns which targets the store lists.
enum class StoreAccess : std::uint8_t {
  /// Another host tells it.
  kFollows,
  /// It reads the store itself.
  kReads,
};

class Registry {
 public:
  /// `observer` may be empty.
  explicit Registry(const OutageTiming& outage, const RemovalTiming& removal = {},
                    ReportObserver observer = {})
      : outage_(outage), removed_(removal), observer_(std::move(observer)) {}

  // Call these in the order of the revisions. A report of a target that the target made before the
  // known one, a configuration without a higher version and an evacuation older than the applied
  // operator records are ignored. A target drains from the first report that says so, in whatever
  // order they are read, until the end of its incarnation, and one that was removed does not come
  // back by what it had reported before. A revision of a newer era means that the store has been
  // restored from an older copy; what the copy lacks is then kept for the recovery time.

  /// `now` matters only for a target that was removed.
  void PutTarget(const catalog::Target& target, StoreRevision revision, base::Instant now = {});
  /// A target that is removed during the recovery from a store outage without having been draining
  /// is kept until the end of the recovery: its lease may have expired in the outage.
  void RemoveTarget(std::string_view id, StoreRevision revision, base::Instant now,
                    RemovalCause cause = RemovalCause::kDeleted);
  /// The store does not answer this host. Removals are not forgotten until it does, or until
  /// another host has sent changes.
  void OnStoreLost() { is_store_lost_ = true; }
  /// Forwards to StoreOutage::OnRegained.
  void OnStoreRegained(base::Instant lost_at, base::Instant now);
  void PutConfiguration(std::shared_ptr<const catalog::Configuration> configuration,
                        StoreRevision revision);
  void PutEvacuation(std::string_view zone, bool is_evacuated, StoreRevision revision,
                     base::Instant now);
  /// Records that all changes up to `revision` have been applied.
  void AdvanceTargets(StoreRevision revision);
  void AdvanceOperatorRecords(StoreRevision revision);
  /// Records the newest changes among listed records, whose own revisions are lower than that of
  /// the listing.
  void AdvanceNewest(const StorePosition& newest) { newest_ = catalog::Latest(newest_, newest); }

  /// Replaces the targets by a full listing at `revision`. Those missing from the listing are
  /// removed as by RemoveTarget; `unreadable` are the identifiers of entries that name no target.
  void ReplaceTargets(std::span<const catalog::Target> targets, StoreRevision revision,
                      base::Instant now, const std::set<std::string_view>& unreadable = {});
  /// Replaces the operator records (the configuration and the zone evacuations) by a full listing
  /// at `revision`.
  void ReplaceOperatorRecords(std::shared_ptr<const catalog::Configuration> configuration,
                              std::span<const std::string> evacuated_zones, StoreRevision revision,
                              base::Instant now);

  /// Increases with each change of the catalog.
  std::uint64_t sequence() const { return sequence_; }
  /// Changes made after `sequence`; the full catalog if `sequence` is 0, greater than the current
  /// one, or older than the recorded removals.
  CatalogChanges ChangesSince(std::uint64_t sequence) const;
  /// Applies those changes of another host that are newer than the local state. `access` is that of
  /// this host.
  void Merge(const CatalogChanges& changes, base::Instant now,
             StoreAccess access = StoreAccess::kFollows);

  /// All changes up to this position have been applied.
  StorePosition applied() const {
    return {.operator_records = operator_revision_,
            .targets = targets_revision_,
            .configuration_version = configuration_ ? configuration_->version : 0};
  }
  /// The newest changes that have been applied; never after `applied()`, which also advances while
  /// nothing changes. Other hosts that have applied less are behind this one. The later pages of a
  /// listing may hold newer changes than those up to which the listing counts as applied.
  StorePosition newest() const { return catalog::Earliest(newest_, applied()); }
  const StoreOutage& outage() const { return outage_; }
  /// Forwards to StoreOutage::OnServedElsewhere. Targets that are kept by mistake are removed by
  /// the next call of Expire.
  void OnStoreServedElsewhere(base::Instant since);
  /// The highest era of the records known to this host.
  std::uint64_t era() const {
    return catalog::EraOf(std::max(operator_revision_, targets_revision_));
  }
  /// A target that the store removes now is kept for a while; see RemoveTarget.
  bool IsRecovering(base::Instant now) const {
    const auto end = outage_.recovery_end();
    return end && now < *end;
  }

  /// Removes entries whose recovery time has expired, and uses reports that were set aside for
  /// removals which are forgotten now. Returns the time of the next expiry, Never() if there is
  /// none.
  base::Instant Expire(base::Instant now);
  /// Returns the catalog if it has changed since the last call, null otherwise.
  catalog::CatalogPtr TakeUpdatedCatalog();

 private:
  struct Entry {
    catalog::Target target;
    /// The highest at which this host knows that the target was listed or removed.
    StoreRevision revision = 0;
    /// Sequence number of the last change of this entry.
    std::uint64_t sequence = 0;
    /// Set for an entry that the store has removed and that is kept until the end of the recovery
    /// from an outage.
    base::Instant keep_until = base::Instant::Never();
    /// As in TargetChange; false again with a newer report.
    bool is_confirmed = false;
  };

  using Entries = std::map<std::string, Entry, std::less<>>;

  /// Begins the recovery from a restore if `revision`, up to which targets are read now, is of a
  /// newer era.
  void ObserveTargetsEra(StoreRevision revision, base::Instant now);
  /// Applies a report that this host has read in the store, or sets it aside.
  void ReadTarget(const TargetChange& report, ReportOrigin origin, base::Instant now);
  /// Applies a change that another host has sent, unless it is known to be outdated.
  void MergeTarget(const TargetChange& change, base::Instant now, StoreAccess access);
  /// Enters or updates the target, unless it was removed at or after the revision.
  void ApplyTarget(const TargetChange& change, ReportOrigin origin);
  /// Whether the target may get requests; nullopt if it is not listed.
  std::optional<bool> UseOf(std::string_view id) const;
  /// Tells the observer of the decision if it asks for it. `use_before`: UseOf() before it.
  void Observe(const TargetChange& report, ReportOrigin origin, ReportVerdict verdict,
               std::optional<bool> use_before) const;
  /// Whether `target`, read at `revision`, says more of the target than `entry`. The target's own
  /// order of its reports decides, and the revision only where that order is not known.
  static bool IsNews(const Entry& entry, const catalog::Target& target, StoreRevision revision);
  /// Takes over that the incarnation drains if `target` says so. Returns whether that is news.
  bool TakeDraining(Entry& entry, const catalog::Target& target);
  /// Takes over what `target` says.
  void UpdateTarget(Entry& entry, const catalog::Target& target);
  /// The store lists the target at `revision`, with whatever report.
  void MarkListed(Entry& entry, StoreRevision revision);
  void ApplyConfiguration(std::shared_ptr<const catalog::Configuration> configuration);

  /// Revision of the target's latest recorded removal, 0 if there is none. Older records of the
  /// target, which partitioned hosts may still send, must not add it again.
  StoreRevision LastRemovalRevision(std::string_view id) const;
  /// The end of the recovery for an entry that is to be kept until then; nullopt for one that is to
  /// be removed at once.
  std::optional<base::Instant> KeepUntil(const Entry& entry, base::Instant now) const;
  void MergeTargets(const CatalogChanges& changes, base::Instant now, StoreAccess access);
  /// `is_listed_by_sender`: the sender has the target in use again.
  void MergeRemoval(const TargetRemoval& removal, bool is_listed_by_sender, base::Instant now,
                    StoreAccess access);
  /// Removes the entry, records the removal and returns the next entry.
  Entries::iterator Erase(Entries::iterator it, StoreRevision revision, base::Instant now,
                          RemovalCause cause = RemovalCause::kDeleted);
  void SetEvacuated(std::string_view zone, bool is_evacuated, base::Instant now);
  /// Keeps evacuations in force that the copy lacks which the store was restored from.
  void KeepEvacuations(std::span<const std::string> listed, base::Instant now);
  /// Forgets removals whose time has expired; returns when the next report that was set aside is
  /// due.
  base::Instant ExpireRemovals(base::Instant now);
  /// Ends kept evacuations whose time has expired; returns the time of the next expiry.
  base::Instant ExpireEvacuations(base::Instant now);
  base::Duration ColdTimeOf(std::string_view service) const;

  StoreOutage outage_;
  StoreRevision targets_revision_ = 0;
  StoreRevision operator_revision_ = 0;
  StorePosition newest_;
  std::shared_ptr<const catalog::Configuration> configuration_;
  Entries targets_;
  RemovedTargets removed_;
  ReportObserver observer_;
  /// The store does not answer this host, and no other host has sent changes since.
  bool is_store_lost_ = false;
  std::set<std::string, std::less<>> evacuated_zones_;
  /// Those of `evacuated_zones_` that the restored store lacks, with the end of the recovery.
  std::map<std::string, base::Instant, std::less<>> kept_evacuations_;
  std::uint64_t sequence_ = 0;
  /// Sequence number of the last change of the configuration or the evacuated zones.
  std::uint64_t operator_sequence_ = 0;
  /// The most recent removals, oldest first, each with its sequence number.
  std::deque<std::pair<std::uint64_t, TargetRemoval>> removals_;
  /// Removals up to and including this sequence number have been discarded.
  std::uint64_t compacted_sequence_ = 0;
  /// Value of `sequence_` at the last call of TakeUpdatedCatalog.
  std::uint64_t published_sequence_ = 0;
};

}  // namespace mangonotch::discovery
