#include "membership/leaving_targets.h"

#include <algorithm>

namespace mangonotch::membership {

bool LeavingTargets::Mark(State& state, base::Instant now) {
  state.clear_from = now + kMaxHealthLag;
  state.reject_clear_until = now + kMaxHealthLag;
  if (state.leaving) {
    return false;
  }
  state.leaving = true;
  state.confirmed = false;
  ++state.generation;
  return true;
}

bool LeavingTargets::Confirm(State& state) {
  if (!state.leaving || state.confirmed) {
    return false;
  }
  state.confirmed = true;
  return true;
}

bool LeavingTargets::OnHealthEndpointGone(base::TargetKey target) {
  const auto it = states_.find(target);
  return it != states_.end() && Confirm(it->second);
}

bool LeavingTargets::OnLeaving(base::TargetKey target, base::Instant now) {
  return Mark(states_[target], now);
}

bool LeavingTargets::OnHealthReport(base::TargetKey target, bool leaving,
                                    base::Instant requested_at, base::Instant now) {
  if (leaving) {
    const bool is_new = Mark(states_[target], now);
    return Confirm(states_[target]) || is_new;
  }
  const auto it = states_.find(target);
  if (it == states_.end() || !it->second.leaving || !it->second.confirmed ||
      requested_at < it->second.clear_from) {
    return false;
  }
  it->second.leaving = false;
  ++it->second.generation;
  return true;
}

bool LeavingTargets::OnMarks(std::span<const LeavingMark> marks, base::Instant now) {
  bool is_changed = false;
  for (const LeavingMark& it : marks) {
    is_changed = Merge(states_[it.target], it, now) || is_changed;
  }
  return is_changed;
}

bool LeavingTargets::Merge(State& state, const LeavingMark& mark, base::Instant now) {
  // Of two marks with the same generation the leaving one wins, so that all hosts converge.
  const bool is_newer = mark.generation > state.generation ||
                        (mark.generation == state.generation && mark.leaving && !state.leaving);
  if (!is_newer) {
    const bool is_same = mark.generation == state.generation && mark.leaving;
    return is_same && mark.confirmed && Confirm(state);
  }
  if (state.leaving && !mark.leaving && now < state.reject_clear_until) {
    state.generation = mark.generation + 1;
    return true;
  }
  if (mark.leaving && !state.leaving) {
    state.clear_from = now + kMaxHealthLag;
  }
  state.leaving = mark.leaving;
  state.confirmed = mark.confirmed;
  state.generation = mark.generation;
  return true;
}

bool LeavingTargets::IsLeaving(base::TargetKey target) const {
  const auto it = states_.find(target);
  return it != states_.end() && it->second.leaving;
}

std::vector<LeavingMark> LeavingTargets::Marks() const {
  std::vector<LeavingMark> marks;
  for (const auto& [target, state] : states_) {
    if (state.generation > 0) {
      marks.push_back({target, state.leaving, state.generation, state.confirmed});
    }
  }
  return marks;
}

void LeavingTargets::Retain(std::span<const base::TargetKey> targets) {
  std::erase_if(states_, [&](const auto& it) {
    return std::find(targets.begin(), targets.end(), it.first) == targets.end();
  });
}

}  // namespace mangonotch::membership
