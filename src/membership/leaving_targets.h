// Tracks which targets are leaving. A mark carries a generation that grows with each change, so
// that an old mark never overrides a newer one, whatever its source.
//
// Health endpoints can lag behind the target or report a wrong state. A report of a live target
// therefore clears a mark only if it was requested at least kMaxHealthLag after the mark was last
// set, and if the endpoint had reported that the target was leaving since the mark was set, or had
// stopped listening (the process ended). Otherwise a target that announces draining only in its
// responses would receive new work again and again. A host that has itself just seen the target
// leave raises its generation above that of an older clearing mark from a peer.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "base/ids.h"
#include "base/instant.h"
#include "membership/messages.h"

namespace mangonotch::membership {

class LeavingTargets {
 public:
  /// Longest time by which a health endpoint may lag behind the target's own responses.
  static constexpr base::Duration kMaxHealthLag = base::Duration::Seconds(5);

  /// The host list or a response of the target shows that it is leaving. Returns true if the target
  /// was not marked as leaving before.
  bool OnLeaving(base::TargetKey target, base::Instant now);

  /// A health report that was requested at `requested_at`. Returns true if the state changed.
  bool OnHealthReport(base::TargetKey target, bool leaving, base::Instant requested_at,
                      base::Instant now);

  /// Nothing listens at the target's health endpoint. Returns true if that confirms a mark.
  bool OnHealthEndpointGone(base::TargetKey target);

  /// Merges marks from peers. Returns true if any changed the state, so that the caller forwards
  /// Marks().
  bool OnMarks(std::span<const LeavingMark> marks, base::Instant now);

  bool IsLeaving(base::TargetKey target) const;
  /// All marks, ordered by target. Targets that are live again keep their mark with its generation.
  std::vector<LeavingMark> Marks() const;
  /// Drops the marks of targets that are not in `targets`, the targets of the table in force.
  void Retain(std::span<const base::TargetKey> targets);

 private:
  struct State {
    bool leaving = false;
    /// Grows with each change of `leaving`, here or at a peer.
    std::uint64_t generation = 0;
    /// As in LeavingMark.
    bool confirmed = false;
    /// A health report clears the mark only if it was requested at or after this instant.
    base::Instant clear_from;
    /// Until this instant, a clearing mark from a peer is older than what this host has seen.
    base::Instant reject_clear_until;
  };

  bool Mark(State& state, base::Instant now);
  static bool Confirm(State& state);
  bool Merge(State& state, const LeavingMark& mark, base::Instant now);

  std::map<base::TargetKey, State> states_;
};

}  // namespace mangonotch::membership
