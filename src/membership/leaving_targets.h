// Which targets are leaving. A mark carries a generation that grows with each change, so that an
// old mark never overrides a newer one, whichever source it comes from.
//
// Health endpoints lag and mislead: a live report clears a mark only when the endpoint had shown
// the leave after the mark was set, or was gone (the process ended), and when it was asked for some
// time after the mark. Otherwise a target that tells its drain in its answers alone would get new
// work again and again. A host that has itself just seen the target leave raises its mark above a
// peer's older clearing one.
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
  /// Longest time by which a health endpoint may lag behind the target's own answers.
  static constexpr base::Duration kSettle = base::Duration::Seconds(5);

  /// The host list or an answer of the target shows that it is leaving. Returns true when that was
  /// not known.
  bool OnLeaving(base::TargetKey target, base::Instant now);

  /// A health report that was asked for at `asked_at`. Returns true when the state changed.
  bool OnHealthReport(base::TargetKey target, bool leaving, base::Instant asked_at,
                      base::Instant now);

  /// Nothing listens at the target's health endpoint. Returns true when that confirms a mark.
  bool OnHealthGone(base::TargetKey target);

  /// Marks from peers. Returns true when any changed the state, so that Marks() is passed on.
  bool OnMarks(std::span<const LeavingMark> marks, base::Instant now);

  bool IsLeaving(base::TargetKey target) const;
  /// All marks, ordered by target; those of targets that are back keep their generation.
  std::vector<LeavingMark> Marks() const;
  /// Drops the marks of targets that are not in `targets`, those of the table in force.
  void Retain(std::span<const base::TargetKey> targets);

 private:
  struct State {
    bool leaving = false;
    /// Grows with each change of `leaving`, here or at a peer.
    std::uint64_t generation = 0;
    /// As in LeavingMark.
    bool confirmed = false;
    /// Reports asked for before then do not clear the mark.
    base::Instant clear_from;
    /// Until then a clearing mark of a peer is older than what was seen here.
    base::Instant seen_until;
  };

  bool Mark(State& state, base::Instant now);
  static bool Confirm(State& state);
  bool Merge(State& state, const LeavingMark& mark, base::Instant now);

  std::map<base::TargetKey, State> states_;
};

}  // namespace mangonotch::membership
