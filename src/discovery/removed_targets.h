// Remembers the last report of each target that the store has removed, for a bounded time and in
// bounded memory. The store may carry out an older report of the target only after that, or list it
// again from an older copy; the target must not come back into use by it.
//
// Such a report is set aside: a live target whose entry has lapsed may be listed with nothing
// newer, since the store keeps its entry as it is while it renews it. What the store still lists
// when the removal is forgotten is of a live target, as entries that are not renewed expire before.
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

class RemovedTargets {
 public:
  /// Removals beyond these are forgotten early, the oldest first.
  static constexpr std::size_t kMaxRemovals = 4096;

  /// A removal is forgotten after `memory_time`, which is longer than the store takes to carry out
  /// a call and to remove an entry that nobody renews, together.
  explicit RemovedTargets(base::Duration memory_time) : memory_time_(memory_time) {}

  /// Replaces an earlier removal of the same target.
  void Add(const TargetRemoval& removal, base::Instant now);
  /// Whether `target`, read at `revision`, may come into use: it is not known to be removed,
  /// another incarnation has started since, or the target has reported after what it had reported
  /// last. Its removal is then forgotten. Otherwise the report is set aside.
  bool Admit(const catalog::Target& target, catalog::StoreRevision revision);
  /// The store does not list the target at `revision`.
  void OnMissing(std::string_view id, catalog::StoreRevision revision);
  /// The store lists only the targets that `is_listed` names at `revision`.
  template <typename IsListed>
  void OnListing(IsListed is_listed, catalog::StoreRevision revision) {
    for (auto& [id, it] : removed_) {
      if (!is_listed(id)) DropReport(it, revision);
    }
  }
  /// Keeps all removals for the full time from `now` on.
  void Renew(base::Instant now);
  /// Forgets the removals whose time has expired, and returns the reports that were set aside for
  /// them.
  std::vector<TargetChange> TakeExpired(base::Instant now);
  /// When the next report that is set aside is due; Never() if there is none.
  base::Instant NextExpiry() const;

 private:
  struct Removed {
    TargetRemoval removal;
    /// Increases with each removal.
    std::uint64_t number = 0;
    base::Instant forget_at;
    /// The latest record that was set aside.
    std::optional<TargetChange> report{};
  };

  static void DropReport(Removed& removed, catalog::StoreRevision revision);

  base::Duration memory_time_;
  std::uint64_t last_number_ = 0;
  std::map<std::string, Removed, std::less<>> removed_;
};

}  // namespace mangonotch::discovery
