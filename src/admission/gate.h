// Admits requests of one service to targets under the grants of this host: chooses a target, or
// queues the request, or refuses it early. One gate per service; its owner guards it with a mutex.
#pragma once

#include <algorithm>
#include <array>
#include <span>
#include <vector>

#include "admission/class_load.h"
#include "admission/pool_health.h"
#include "admission/slot_table.h"
#include "admission/types.h"
#include "admission/wait_queue.h"
#include "base/random.h"
#include "placement/policy.h"

namespace mangonotch::admission {

template <placement::PlacementPolicy Policy>
class Gate {
 public:
  struct Settings {
    /// Queue places of each class.
    std::array<std::size_t, base::kWorkClasses> queue_places = {256, 64};
    ClassLoadSettings load;
    typename Policy::Settings policy;
    placement::HealthSettings health;
    std::uint64_t seed = 1;
  };

  explicit Gate(const Settings& settings)
      : random_(settings.seed),
        health_(settings.health),
        lanes_{Lane(settings, settings.queue_places[0]), Lane(settings, settings.queue_places[1])} {
    ready_.reserve(settings.queue_places[0] + settings.queue_places[1]);
  }

  // Control operations. Call TakeReady after each of them: they can free slots for waiters.

  /// Replaces the targets; the requests at targets that are no longer listed go on.
  void SetTargets(std::span<const Target> targets, base::Instant now) {
    slots_.SetTargets(targets, now, [&](TargetPosition position) {
      for (Lane& lane : lanes_) lane.policy.Resize(slots_.targets().size());
      for (Lane& lane : lanes_) lane.policy.Reset(position);
      // The targets of the first list are new to this host only, later ones are cold.
      health_.OnListed(position, has_targets_, now);
    });
    has_targets_ = has_targets_ || !targets.empty();
    Tick(now);
  }
  /// Sets the listed grants; grants that are not listed stay until their deadline.
  void SetGrants(std::span<const Grant> grants, base::Instant now) {
    slots_.SetGrants(grants, now);
    Tick(now);
  }
  /// The target gets nothing new until the mark is cleared. False for an unknown target.
  bool MarkLeaving(base::TargetKey target, base::Instant now) {
    return SetLeaving(target, true, now);
  }
  bool ClearLeaving(base::TargetKey target, base::Instant now) {
    return SetLeaving(target, false, now);
  }
  /// A target's own report of its load; advice to the policy.
  void ReportLoad(base::TargetKey target, std::uint16_t load_per_mille, base::Instant now) {
    const auto position = slots_.Find(target);
    if (!position) return;
    for (Lane& lane : lanes_) lane.policy.OnLoadReport(*position, load_per_mille, now);
  }
  /// Looks for overdue requests, ejects and returns targets, and renews the estimates. Call it
  /// about ten times a second.
  void Tick(base::Instant now) {
    health_.Evaluate(slots_, {lanes_[0].queue.size(), lanes_[1].queue.size()}, now);
    UpdateUsable(now);
  }

  // Traffic operations.

  Decision Admit(const Request& request, base::Instant now) {
    Lane& lane = LaneOf(request.work_class);
    if (now >= request.deadline) return Refused{RefusalReason::kDeadlinePassed, {}};
    const std::size_t n = lane.queue.size();
    if (const auto admitted = TryTake(request, n + 1, now)) return *admitted;
    if (!HasOpenTarget(request)) return Refused{RefusalReason::kNoTarget, lane.load.RetryAfter(0)};
    const base::Instant expected_end =
        now + lane.load.ExpectedWait(n + 1) + lane.load.ServiceTime();
    if (expected_end > request.deadline) {
      return Refused{RefusalReason::kExpectedWaitTooLong, lane.load.RetryAfter(n)};
    }
    if (lane.queue.IsFull()) return Refused{RefusalReason::kQueueFull, lane.load.RetryAfter(n)};
    lane.queue.Push(++last_waiter_, request);
    return Waiting{last_waiter_};
  }

  /// Ends the use of a slot; false when the handle was completed before. Call TakeReady after it.
  bool Complete(Slot slot, const Outcome& outcome, base::Instant now) {
    const auto record = slots_.Release(slot, now);
    if (!record) return false;
    Lane& lane = LaneOf(record->work_class);
    lane.load.OnReleased(slots_.targets()[record->target].target.region, now - record->started);
    if (outcome.result == Result::kAnswered) {
      lane.policy.OnComplete(record->target, outcome.latency, now);
    }
    if (health_.OnEnded(*record, outcome, now)) Tick(now);
    return true;
  }

  /// False when the waiter is not in a queue: TakeReady has given its result already.
  bool Cancel(WaiterId waiter) {
    for (Lane& lane : lanes_) {
      const auto position = lane.queue.Find(waiter);
      if (!position) continue;
      lane.queue.Erase(*position);
      return true;
    }
    return false;
  }

  /// Waiters that have left the queue: admitted with a slot, or refused because their deadline can
  /// no longer be met or no target is left. Valid until the next call.
  std::span<const Ready> TakeReady(base::Instant now) {
    ready_.clear();
    for (const auto work_class : {base::WorkClass::kShort, base::WorkClass::kLong}) {
      TakeReadyOf(work_class, now);
    }
    return ready_;
  }

  /// To be called right before the request is written to the target.
  RecheckResult Recheck(Slot slot, base::Instant now) const { return slots_.Recheck(slot, now); }

  // For heartbeats and operators.

  /// Targets and classes with slots held or in use. Valid until the next call.
  std::span<const SlotUsage> Usage(base::Instant now) {
    usage_.clear();
    for (const TargetState& state : slots_.targets()) {
      for (std::size_t i = 0; i < base::kWorkClasses; ++i) {
        const ClassState& of_class = state.classes[i];
        const bool is_in_force = state.is_listed && now < of_class.grant_deadline;
        const auto held =
            std::max<std::uint16_t>(is_in_force ? of_class.granted : 0, of_class.in_use);
        if (held == 0) continue;
        usage_.push_back({.target = state.target.key,
                          .region = state.target.region,
                          .work_class = static_cast<base::WorkClass>(i),
                          .held = held,
                          .in_use = of_class.in_use,
                          .is_ejected = state.verdict.is_ejected});
      }
    }
    return usage_;
  }

  Demand DemandFor(base::WorkClass work_class, base::RegionIndex region, base::Instant now) const {
    const Lane& lane = lanes_[static_cast<std::size_t>(work_class)];
    Demand demand = lane.load.DemandFor(region, now);
    demand.usable = slots_.CountUsableSlots(work_class, region, now);
    for (std::size_t i = 0; i < lane.queue.size(); ++i) {
      const Waiter& waiter = lane.queue.At(i);
      const std::span<const RegionPreference> regions(waiter.regions.data(), waiter.region_count);
      const auto it = std::find_if(regions.begin(), regions.end(),
                                   [&](const auto& r) { return r.region == region; });
      if (it == regions.end()) continue;
      auto& count = it == regions.begin() ? demand.waiting : demand.waiting_otherwise;
      ++count;
    }
    return demand;
  }

  /// Room that is left when the target stops; a planned stop is delayed while it is not enough. An
  /// unknown target takes nothing away.
  Headroom HeadroomWithout(base::TargetKey target, base::WorkClass work_class,
                           base::Instant now) const {
    const auto position = slots_.Find(target);
    if (!position) return {};
    const base::RegionIndex region = slots_.targets()[*position].target.region;
    const std::uint32_t own = slots_.UsableSlots(*position, work_class, now);
    return {.slots_left = slots_.CountUsableSlots(work_class, region, now) - own,
            .slots_needed = health_.NeededSlots(region, work_class)};
  }

  /// For each listed target why a request would not go there now. Valid until the next call.
  std::span<const Explanation> Explain(const Request& request, base::Instant now) {
    explanations_.clear();
    for (TargetPosition i = 0; i < slots_.targets().size(); ++i) {
      const TargetState& state = slots_.targets()[i];
      if (state.is_listed) explanations_.push_back({state.target.key, ReasonFor(request, i, now)});
    }
    return explanations_;
  }

  std::size_t WaitingCount(base::WorkClass work_class) const {
    return lanes_[static_cast<std::size_t>(work_class)].queue.size();
  }

 private:
  /// All that belongs to one work class, so that the classes share nothing but the targets.
  struct Lane {
    Lane(const Settings& settings, std::size_t places)
        : policy(settings.policy), queue(places), load(settings.load) {}

    Policy policy;
    WaitQueue queue;
    ClassLoad load;
  };

  Lane& LaneOf(base::WorkClass work_class) { return lanes_[static_cast<std::size_t>(work_class)]; }

  bool SetLeaving(base::TargetKey target, bool is_leaving, base::Instant now) {
    const bool is_known = slots_.SetLeaving(target, is_leaving, now);
    UpdateUsable(now);
    return is_known;
  }

  void UpdateUsable(base::Instant now) {
    slots_.UpdateUsable(now);
    for (const auto work_class : {base::WorkClass::kShort, base::WorkClass::kLong}) {
      LaneOf(work_class).load.SetUsableSlots(slots_.usable_slots(work_class));
    }
  }

  static std::span<const RegionPreference> RegionsOf(const Request& request) {
    return request.regions.first(std::min(request.regions.size(), kMaxPreferredRegions));
  }

  static std::span<const base::TargetKey> ExcludedOf(const Request& request) {
    return request.excluded.first(std::min(request.excluded.size(), kMaxExcludedTargets));
  }

  bool HasOpenTarget(const Request& request) const {
    const auto regions = RegionsOf(request);
    return std::any_of(regions.begin(), regions.end(), [&](const RegionPreference& r) {
      return slots_.HasOpenTarget(r.region, ExcludedOf(request));
    });
  }

  /// `position` is the place in the queue that the request has or would have, from 1.
  std::optional<Admitted> TryTake(const Request& request, std::size_t position, base::Instant now) {
    if (const auto admitted = TryTakeFrom(Tier::kPrimary, request, position, now)) return admitted;
    return TryTakeFrom(Tier::kReserve, request, position, now);
  }

  std::optional<Admitted> TryTakeFrom(Tier tier, const Request& request, std::size_t position,
                                      base::Instant now) {
    // Each pass either returns or drops an expired target from the candidates.
    while (const auto region = ChooseRegion(tier, request)) {
      const auto candidates =
          slots_.Candidates(request.work_class, tier, *region, ExcludedOf(request));
      Lane& lane = LaneOf(request.work_class);
      const auto chosen =
          candidates[lane.policy.Choose({candidates, slots_.loads()}, now, random_)];
      if (!slots_.IsGrantInForce(chosen, request.work_class, now)) {
        slots_.Refresh(chosen, request.work_class, now);
        continue;
      }
      const bool is_worth_it =
          tier == Tier::kPrimary || IsWorthReserve(request, chosen, position, now);
      if (!is_worth_it) return std::nullopt;
      lane.load.OnTaken(*region, now);
      const Slot slot = slots_.Take(chosen, request.work_class, request.deadline, now);
      return Admitted{slot, slots_.targets()[chosen].target.key};
    }
    return std::nullopt;
  }

  /// A slow target is used only when the wait for another one would cost more than its slowness,
  /// when there is no other, or when the queue fills up, since refusing is worse than slowness.
  bool IsWorthReserve(const Request& request, TargetPosition chosen, std::size_t position,
                      base::Instant now) {
    const Lane& lane = LaneOf(request.work_class);
    if (lane.queue.size() > lane.queue.capacity() / 2) return true;
    const auto regions = RegionsOf(request);
    const bool has_other =
        std::any_of(regions.begin(), regions.end(), [&](const RegionPreference& r) {
          return slots_.HasUsableTarget(request.work_class, r.region, ExcludedOf(request), now);
        });
    const float slowness = slots_.targets()[chosen].verdict.slowness;
    const double cost = (slowness - 1) * lane.load.ServiceTime().seconds();
    return !has_other || lane.load.ExpectedWait(position).seconds() > cost;
  }

  /// Draws a region with candidates in proportion to the weights, else the first in order.
  std::optional<base::RegionIndex> ChooseRegion(Tier tier, const Request& request) {
    if (!slots_.HasAvailable(request.work_class, tier)) return std::nullopt;
    const auto excluded = ExcludedOf(request);
    std::optional<base::RegionIndex> chosen;
    std::uint64_t total = 0;
    for (const RegionPreference& r : RegionsOf(request)) {
      if (slots_.Candidates(request.work_class, tier, r.region, excluded).empty()) continue;
      total += r.weight;
      // Reservoir sampling: the region replaces the earlier choice with probability weight / total.
      const bool is_drawn = r.weight > 0 && random_.Next() % total < r.weight;
      if (is_drawn || !chosen) chosen = r.region;
    }
    return chosen;
  }

  void TakeReadyOf(base::WorkClass work_class, base::Instant now) {
    Lane& lane = LaneOf(work_class);
    for (std::size_t i = 0; i < lane.queue.size();) {
      const Waiter& waiter = lane.queue.At(i);
      const Request request = waiter.MakeRequest(work_class);
      const WaiterId id = waiter.id;
      if (now + lane.load.ServiceTime() > request.deadline) {
        ready_.push_back(
            {id, Refused{RefusalReason::kDeadlinePassed, lane.load.RetryAfter(lane.queue.size())}});
      } else if (!HasOpenTarget(request)) {
        ready_.push_back({id, Refused{RefusalReason::kNoTarget, lane.load.RetryAfter(0)}});
      } else if (const auto admitted = TryTake(request, i + 1, now)) {
        ready_.push_back({id, *admitted});
      } else {
        ++i;
        continue;
      }
      lane.queue.Erase(i);
    }
  }

  ExclusionReason ReasonFor(const Request& request, TargetPosition position,
                            base::Instant now) const {
    const Target& target = slots_.targets()[position].target;
    const auto regions = RegionsOf(request);
    const bool is_allowed = std::any_of(regions.begin(), regions.end(),
                                        [&](const auto& r) { return r.region == target.region; });
    if (!is_allowed) return ExclusionReason::kOtherRegion;
    const auto excluded = ExcludedOf(request);
    if (std::find(excluded.begin(), excluded.end(), target.key) != excluded.end()) {
      return ExclusionReason::kExcluded;
    }
    return slots_.Explain(position, request.work_class, now);
  }

  base::Random random_;
  SlotTable slots_;
  PoolHealth health_;
  bool has_targets_ = false;
  std::array<Lane, base::kWorkClasses> lanes_;
  WaiterId last_waiter_ = 0;
  std::vector<Ready> ready_;
  std::vector<SlotUsage> usage_;
  std::vector<Explanation> explanations_;
};

}  // namespace mangonotch::admission
