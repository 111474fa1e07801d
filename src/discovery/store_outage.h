// Decides whether entries that the store has removed may have expired in an outage of the store
// although their targets live. A host sees only that its own calls fail. The fault may as well be
// with its own link or with one connection, while the store and the targets are well.
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

  /// The store answers this host again; before, it was last known to be reachable at `lost_at`.
  void OnRegained(base::Instant lost_at, base::Instant now);

  /// Until then, a target without an entry may be a live one that has not registered again. nullopt
  /// if no outage has been seen.
  std::optional<base::Instant> recovery_end() const;

 private:
  OutageTiming timing_;
  /// End of the last interruption of this host's calls that may have been an outage.
  std::optional<base::Instant> regained_at_;
};

}  // namespace mangonotch::discovery
