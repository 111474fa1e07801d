// Remembers the last report of each target that the store has removed, for a bounded time and in
// bounded memory. The store may carry out an older report of the target only after that, or list it
// again from an older copy; the target must not come back into use by it.
//
// A host that reads the store sets such a report aside: a live target whose entry has lapsed may be
// listed with nothing newer, since the store does not tell of a renewal that changes nothing else.
// What the store still lists when the removal is forgotten is confirmed to be of a live target, as
// entries that are not renewed expire before. Other hosts take the word of the one they follow.
//
// Nor does a newer report prove that the target lives while the store may still carry out one that
// was made before the removal. It is set aside, too, until the store has listed it for longer than
// an entry that is not renewed, or tells of another one when it carries out no earlier call any
// more.
#pragma once

#include <algorithm>
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

struct RemovalTiming {
  /// A removal is forgotten after this time, which is longer than the others together.
  base::Duration memory_time = base::Duration::Seconds(60);
  /// The store carries out a call within this time after its writer has made it, if at all.
  base::Duration late_call_time = base::Duration::Seconds(8);
  /// An entry that is not renewed has been removed after this time, and this host has read that.
  base::Duration lapse_time = base::Duration::Seconds(6);
};

/// Why the store no longer lists a sound entry of a target.
enum class RemovalCause : std::uint8_t {
  /// The entry is gone.
  kDeleted,
  /// It is there, but names no target to use.
  kUnreadable,
};

class RemovedTargets {
 public:
  /// Removals beyond these are forgotten early, the oldest first.
  static constexpr std::size_t kMaxRemovals = 4096;

  explicit RemovedTargets(const RemovalTiming& timing) : timing_(timing) {}

  /// The store has removed the target at `revision`. Returns the removal, with the later report if
  /// another host knows one.
  TargetRemoval Add(const catalog::Target& target, catalog::StoreRevision revision,
                    RemovalCause cause, base::Instant now);
  /// Another host has sent the removal.
  void Learn(const TargetRemoval& removal, base::Instant now);
  /// The target is back.
  void Forget(std::string_view id);

  /// The target is known to be removed, and has made this report before the last one that is known.
  bool IsOutdated(const catalog::Target& target) const;
  /// The target is known to be removed, and has drained in the same incarnation.
  bool HasLeft(const catalog::Target& target) const;
  /// The target is known to be removed, and the store may have carried out late what the target
  /// reported before, although it is newer than the last known report.
  bool IsDoubtful(const catalog::Target& target, base::Instant now) const;
  /// The same for a removal that may not be known here yet.
  bool IsDoubtful(const catalog::ReportPosition& report, const TargetRemoval& removal,
                  base::Instant now) const;
  /// Keeps an outdated or doubtful report that the store lists, unless the target has left, or says
  /// here that it drains. Returns whether the report is kept.
  bool SetAside(TargetChange report, base::Instant now);
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
  /// them or have been listed for long enough, as confirmed.
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
    /// The report is of a live target if the store lists it until then; Never() if only the end of
    /// the memory shows that.
    base::Instant proven_at = base::Instant::Never();
  };

  /// Null if the target is not known to be removed.
  const TargetRemoval* Find(std::string_view id) const;
  /// Joins `removal` with the known one of the target: the later report counts.
  const TargetRemoval& Insert(const TargetRemoval& removal);
  /// Drops what was read at or before `revision`.
  static void DropReport(Removed& removed, catalog::StoreRevision revision);
  /// When the report that is set aside may be used, if the store goes on listing it.
  static base::Instant DueAt(const Removed& removed) {
    return std::min(removed.proven_at, removed.removal.forget_at);
  }

  RemovalTiming timing_;
  std::uint64_t last_number_ = 0;
  std::map<std::string, Removed, std::less<>> removed_;
};

}  // namespace mangonotch::discovery
