// Remembers the last report of each target that the store has removed, for a bounded time and in
// bounded memory. The store may carry out an older report of the target only after that, or list it
// again from an older copy; the target must not come back into use by it.
//
// A host that reads the store sets such a report aside: a live target whose entry has lapsed may be
// listed with nothing newer, since the store does not tell of a renewal that changes nothing else.
// What the store still lists when the removal is forgotten is confirmed to be of a live target, as
// entries that are not renewed expire before. Other hosts take the word of the one they follow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "base/instant.h"
#include "catalog/catalog.h"
#include "catalog/store_position.h"
#include "discovery/catalog_changes.h"

namespace mangonotch::discovery {

/// Whether a target has made `report` before `removal`, or drains in that incarnation.
bool IsOutdated(const catalog::ReportPosition& report, const TargetRemoval& removal);

class RemovedTargets {
 public:
  /// Removals beyond these are forgotten early, the oldest first.
  static constexpr std::size_t kMaxRemovals = 4096;

  /// A removal is forgotten after `memory_time`, which is longer than the store takes to carry out
  /// a call and to remove an entry that nobody renews, together.
  explicit RemovedTargets(base::Duration memory_time) : memory_time_(memory_time) {}

  /// The store has removed the target at `revision`. Returns the removal, with the later report if
  /// another host knows one.
  TargetRemoval Add(const catalog::Target& target, catalog::StoreRevision revision,
                    base::Instant now);
  /// Another host has sent the removal.
  void Learn(const TargetRemoval& removal, base::Instant now);
  /// The target is back.
  void Forget(std::string_view id);

  /// The target is known to be removed, and has made this report before the last one that is known.
  bool IsOutdated(const catalog::Target& target) const;
  /// The target is known to be removed, and has drained in the same incarnation.
  bool HasLeft(const catalog::Target& target) const;
  /// Keeps an outdated report that the store lists, unless the target has left, or says here that
  /// it drains. Returns whether the report is kept.
  bool SetAside(TargetChange report);
  /// The store does not list the target at `revision`.
  void OnMissing(std::string_view id, catalog::StoreRevision revision);
  /// The store lists only the targets that `is_listed` names at `revision`.
  template <typename IsListed>
  void OnListing(IsListed is_listed, catalog::StoreRevision revision) {
    for (auto& [id, it] : removed_) {
      if (!is_listed(id)) DropReport(it, revision);
    }
  }
  /// Forgets what is set aside: another host tells this one what the store lists.
  void DropReports();
  /// Keeps all removals for the full time from `now` on.
  void Renew(base::Instant now);
  /// Forgets the removals whose time has expired, and returns the reports that were set aside for
  /// them, as confirmed.
  std::vector<TargetChange> TakeExpired(base::Instant now);
  /// When the next report that is set aside is due; Never() if there is none.
  base::Instant NextExpiry() const;
  /// All that are remembered.
  std::vector<TargetRemoval> removals() const;

 private:
  struct Removed {
    TargetRemoval removal;
    /// Increases with each removal.
    std::uint64_t number = 0;
    /// The latest record that was set aside.
    std::optional<TargetChange> report{};
  };

  /// Null if the target is not known to be removed.
  const TargetRemoval* Find(std::string_view id) const;
  /// Joins `removal` with the known one of the target: the later report counts.
  const TargetRemoval& Insert(const TargetRemoval& removal);
  /// Drops what was read at or before `revision`.
  static void DropReport(Removed& removed, catalog::StoreRevision revision);

  base::Duration memory_time_;
  std::uint64_t last_number_ = 0;
  std::map<std::string, Removed, std::less<>> removed_;
};

}  // namespace mangonotch::discovery
