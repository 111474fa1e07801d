// Decides whether entries that the store has removed may have expired in an outage of the store, or
// may be missing from an older copy that it was restored from, although their targets live. A host
// sees only that its own calls fail. The fault may as well be with its own link or with one
// connection, while the store and the targets are well. The other hosts know whether the store has
// served them meanwhile.
#pragma once

#include <optional>

#include "base/instant.h"

namespace mangonotch::discovery {

struct OutageTiming {
  /// No entry of a live target expires in an outage that is shorter.
  base::Duration min_outage;
  /// A live target whose entry has expired is registered again within this time after the outage.
  base::Duration recovery_time;
};

class StoreOutage {
 public:
  explicit StoreOutage(const OutageTiming& timing) : timing_(timing) {}

  /// Whether an interruption was long enough for entries of live targets to expire.
  bool IsOutage(base::Instant lost_at, base::Instant now) const {
    return now - lost_at >= timing_.min_outage;
  }

  /// The store answers this host again; before, it was last known to be reachable at `lost_at`.
  void OnRegained(base::Instant lost_at, base::Instant now);

  /// The store has served another host since `since` without an interruption that may have been an
  /// outage, so that an outage ended before that. Call it only with what that host has said after
  /// `regained_at()`.
  void OnServedElsewhere(base::Instant since);

  /// The store has been restored from an older copy. Unlike an outage, this is certain, and may
  /// come with an interruption of any length.
  void OnRestored(base::Instant now) { restored_at_ = now; }

  /// For how long the store has served this host without an interruption that may have been an
  /// outage. Zero if an outage may have begun since the last answer: a watch that waits cannot
  /// tell.
  base::Duration ServiceTime(base::Instant answered_since, base::Instant last_answer_at,
                             base::Instant now) const;

  /// Until then, a target without an entry may be a live one that has not registered again. nullopt
  /// if no outage or restore has been seen.
  std::optional<base::Instant> recovery_end() const;
  /// As `recovery_end()`, for outages only, which other hosts may deny.
  std::optional<base::Instant> outage_recovery_end() const;
  /// End of the last interruption of this host's calls that may have been an outage; nullopt before
  /// the first.
  std::optional<base::Instant> regained_at() const;

 private:
  struct Interruption {
    base::Instant lost_at;
    base::Instant regained_at;
    /// The earliest instant since which the store has served any host; at most `regained_at`.
    base::Instant served_since;
  };

  OutageTiming timing_;
  /// The last one that was long enough for an outage.
  std::optional<Interruption> last_;
  /// When this host last learned of a restore.
  std::optional<base::Instant> restored_at_;
};

}  // namespace mangonotch::discovery
