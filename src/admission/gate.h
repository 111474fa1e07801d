// Admission control for one service: assigns a request to a target within the grants of this host,
// queues it, or refuses it early. There is one gate per service; it is not thread-safe, so its
// owner guards it with a mutex.
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
    /// Queue capacity of each work class.
    std::array<std::size_t, base::kWorkClasses> queue_capacity = {256, 64};
    ClassLoadSettings load;
    typename Policy::Settings policy;
    placement::HealthSettings health;
    std::uint64_t seed = 1;
  };

  explicit Gate(const Settings& settings)
      : random_(settings.seed),
        health_(settings.health),
        schedulers_{ClassScheduler(settings, settings.queue_capacity[0]),
                    ClassScheduler(settings, settings.queue_capacity[1])} {
    ready_.reserve(settings.queue_capacity[0] + settings.queue_capacity[1]);
  }

  // Control operations. Call TakeReady after each of them, since they can free slots for waiters.

  /// Replaces the list of targets. Requests in flight at targets that are no longer listed
  /// continue.
  void SetTargets(std::span<const Target> targets, base::Instant now) {
    slots_.SetTargets(targets, now, [&](TargetPosition position) {
      for (ClassScheduler& scheduler : schedulers_) {
        scheduler.policy.Resize(slots_.targets().size());
      }
      for (ClassScheduler& scheduler : schedulers_) scheduler.policy.Reset(position);
      // Targets of the first list are new only to this host; targets added later start cold.
      health_.OnTargetAdded(position, has_targets_, now);
    });
    has_targets_ = has_targets_ || !targets.empty();
    Tick(now);
  }
  /// Sets the given grants; all other grants stay valid until their deadline.
  void SetGrants(std::span<const Grant> grants, base::Instant now) {
    slots_.SetGrants(grants, now);
    Tick(now);
  }
  /// Drains a target before a planned stop: it gets no new requests until ClearLeaving is called.
  /// Both return false for an unknown target.
  bool MarkLeaving(base::TargetKey target, base::Instant now) {
    return SetLeaving(target, true, now);
  }
  bool ClearLeaving(base::TargetKey target, base::Instant now) {
    return SetLeaving(target, false, now);
  }
  /// Passes a target's own load report to the policy as a hint.
  void ReportLoad(base::TargetKey target, std::uint16_t load_per_mille, base::Instant now) {
    const auto position = slots_.Find(target);
    if (!position) return;
    for (ClassScheduler& scheduler : schedulers_) {
      scheduler.policy.OnLoadReport(*position, load_per_mille, now);
    }
  }
  /// Detects overdue requests, ejects and readmits targets, and updates the counts of usable slots.
  /// To be called about ten times a second.
  void Tick(base::Instant now) {
    health_.Evaluate(slots_, {schedulers_[0].queue.size(), schedulers_[1].queue.size()}, now);
    slots_.UpdateUsableCounts(now);
  }

  // Traffic operations.

  Decision Admit(const Request& request, base::Instant now) {
    ClassScheduler& scheduler = SchedulerFor(request.work_class);
    if (now >= request.deadline) return Refused{RefusalReason::kDeadlinePassed, {}};
    const std::size_t n = scheduler.queue.size();
    if (const auto admitted = TryAcquire(request, n + 1, now)) return *admitted;
    if (!HasOpenTarget(request)) return Refuse(RefusalReason::kNoTarget, request);
    const base::Duration wait = scheduler.load.ExpectedWait(n + 1, UsableSlots(request));
    if (now + wait + scheduler.load.ServiceTime() > request.deadline) {
      return Refuse(RefusalReason::kExpectedWaitTooLong, request);
    }
    if (scheduler.queue.IsFull()) return Refuse(RefusalReason::kQueueFull, request);
    scheduler.queue.Push(++last_waiter_, request);
    return Waiting{last_waiter_};
  }

  /// Releases a slot. Returns false if the handle was completed before. Call TakeReady afterwards.
  bool Complete(Slot slot, const Outcome& outcome, base::Instant now) {
    const auto record = slots_.Release(slot, now);
    if (!record) return false;
    ClassScheduler& scheduler = SchedulerFor(record->work_class);
    scheduler.load.OnReleased(slots_.targets()[record->target].target.region,
                              now - record->started);
    if (outcome.result == Result::kAnswered) {
      scheduler.policy.OnComplete(record->target, outcome.latency, now);
    }
    if (health_.OnRequestEnded(*record, outcome, now)) Tick(now);
    return true;
  }

  /// Removes a waiter. Returns false if it is no longer queued because TakeReady has returned its
  /// result.
  bool Cancel(WaiterId waiter) {
    for (ClassScheduler& scheduler : schedulers_) {
      const auto position = scheduler.queue.Find(waiter);
      if (!position) continue;
      scheduler.queue.Erase(*position);
      return true;
    }
    return false;
  }

  /// Removes from the queues and returns the waiters that get a slot, and those refused because
  /// their deadline can no longer be met or no target is left. Valid until the next call.
  std::span<const Ready> TakeReady(base::Instant now) {
    ready_.clear();
    for (const auto work_class : {base::WorkClass::kShort, base::WorkClass::kLong}) {
      CollectReady(work_class, now);
    }
    return ready_;
  }

  /// Checks that a request may still be sent. To be called immediately before the request is
  /// written to the target.
  RecheckResult Recheck(Slot slot, base::Instant now) const { return slots_.Recheck(slot, now); }

  // Reports for heartbeats and operators.

  /// Usage of all targets and work classes with slots held or in use. Valid until the next call.
  std::span<const SlotUsage> Usage(base::Instant now) {
    usage_.clear();
    for (const TargetState& state : slots_.targets()) {
      for (std::size_t i = 0; i < base::kWorkClasses; ++i) {
        const ClassState& class_state = state.classes[i];
        const bool is_in_force = state.is_listed && now < class_state.grant_deadline;
        const auto held =
            std::max<std::uint16_t>(is_in_force ? class_state.granted : 0, class_state.in_use);
        if (held == 0) continue;
        usage_.push_back({.target = state.target.key,
                          .region = state.target.region,
                          .work_class = static_cast<base::WorkClass>(i),
                          .held = held,
                          .in_use = class_state.in_use,
                          .is_ejected = state.verdict.is_ejected});
      }
    }
    return usage_;
  }

  Demand DemandFor(base::WorkClass work_class, base::RegionIndex region, base::Instant now) const {
    const ClassScheduler& scheduler = schedulers_[static_cast<std::size_t>(work_class)];
    Demand demand = scheduler.load.DemandFor(region, now);
    demand.usable = slots_.CountUsableSlots(work_class, region, now);
    for (std::size_t i = 0; i < scheduler.queue.size(); ++i) {
      const Waiter& waiter = scheduler.queue.At(i);
      const std::span<const RegionPreference> regions(waiter.regions.data(), waiter.region_count);
      const auto it = std::find_if(regions.begin(), regions.end(),
                                   [&](const auto& r) { return r.region == region; });
      if (it == regions.end()) continue;
      auto& count = it == regions.begin() ? demand.waiting : demand.waiting_as_fallback;
      ++count;
    }
    return demand;
  }

  /// Capacity that remains without the target. A planned stop is delayed while it is not enough. An
  /// unknown target needs no capacity, so the result is always enough.
  Headroom HeadroomWithout(base::TargetKey target, base::WorkClass work_class,
                           base::Instant now) const {
    const auto position = slots_.Find(target);
    if (!position) return {};
    const base::RegionIndex region = slots_.targets()[*position].target.region;
    const std::uint32_t own = slots_.UsableSlots(*position, work_class, now);
    return {.slots_left = slots_.CountUsableSlots(work_class, region, now) - own,
            .slots_needed = health_.NeededSlots(region, work_class)};
  }

  /// For each listed target, the reason why the request would not be sent to it now. Valid until
  /// the next call.
  std::span<const Explanation> Explain(const Request& request, base::Instant now) {
    explanations_.clear();
    for (TargetPosition i = 0; i < slots_.targets().size(); ++i) {
      const TargetState& state = slots_.targets()[i];
      if (state.is_listed) explanations_.push_back({state.target.key, ReasonFor(request, i, now)});
    }
    return explanations_;
  }

  std::size_t WaitingCount(base::WorkClass work_class) const {
    return schedulers_[static_cast<std::size_t>(work_class)].queue.size();
  }

 private:
  /// State of one work class. The classes share only the targets.
  struct ClassScheduler {
    ClassScheduler(const Settings& settings, std::size_t queue_capacity)
        : policy(settings.policy), queue(queue_capacity), load(settings.load) {}

    Policy policy;
    WaitQueue queue;
    ClassLoad load;
  };

  ClassScheduler& SchedulerFor(base::WorkClass work_class) {
    return schedulers_[static_cast<std::size_t>(work_class)];
  }

  bool SetLeaving(base::TargetKey target, bool is_leaving, base::Instant now) {
    const bool is_known = slots_.SetLeaving(target, is_leaving, now);
    slots_.UpdateUsableCounts(now);
    return is_known;
  }

  static std::span<const RegionPreference> RegionsOf(const Request& request) {
    return request.regions.first(std::min(request.regions.size(), kMaxPreferredRegions));
  }

  static std::span<const base::TargetKey> ExcludedOf(const Request& request) {
    return request.excluded.first(std::min(request.excluded.size(), kMaxExcludedTargets));
  }

  /// Usable slots in the regions of the request, as of the last update.
  std::uint32_t UsableSlots(const Request& request) const {
    std::uint32_t n = 0;
    for (const RegionPreference& r : RegionsOf(request)) {
      n += slots_.CachedUsableSlots(request.work_class, r.region);
    }
    return n;
  }

  Refused Refuse(RefusalReason reason, const Request& request) const {
    const ClassScheduler& scheduler = schedulers_[static_cast<std::size_t>(request.work_class)];
    return {reason, scheduler.load.RetryAfter(scheduler.queue.size(), UsableSlots(request))};
  }

  bool HasOpenTarget(const Request& request) const {
    const auto regions = RegionsOf(request);
    return std::any_of(regions.begin(), regions.end(), [&](const RegionPreference& r) {
      return slots_.HasOpenTarget(r.region, ExcludedOf(request));
    });
  }

  /// `position` is the request's actual or prospective position in the queue, starting at 1.
  std::optional<Admitted> TryAcquire(const Request& request, std::size_t position,
                                     base::Instant now) {
    if (const auto admitted = TryAcquireFrom(Tier::kPrimary, request, position, now)) {
      return admitted;
    }
    return TryAcquireFrom(Tier::kReserve, request, position, now);
  }

  std::optional<Admitted> TryAcquireFrom(Tier tier, const Request& request, std::size_t position,
                                         base::Instant now) {
    // Each iteration either returns or removes a target with an expired grant from the candidates.
    while (const auto region = ChooseRegion(tier, request)) {
      const auto candidates =
          slots_.Candidates(request.work_class, tier, *region, ExcludedOf(request));
      ClassScheduler& scheduler = SchedulerFor(request.work_class);
      const auto chosen =
          candidates[scheduler.policy.Choose({candidates, slots_.loads()}, now, random_)];
      if (!slots_.IsGrantInForce(chosen, request.work_class, now)) {
        slots_.Refresh(chosen, request.work_class, now);
        continue;
      }
      const bool should_use =
          tier == Tier::kPrimary || ShouldUseReserve(request, chosen, position, now);
      if (!should_use) return std::nullopt;
      scheduler.load.OnAcquired(*region, now);
      const Slot slot = slots_.Acquire(chosen, request.work_class, request.deadline, now);
      return Admitted{slot, slots_.targets()[chosen].target.key};
    }
    return std::nullopt;
  }

  /// A slow target is used only if waiting for another target would take longer than the delay the
  /// slow one adds, if there is no other target, or if the queue is more than half full, since a
  /// refusal is worse than a slow answer.
  bool ShouldUseReserve(const Request& request, TargetPosition chosen, std::size_t position,
                        base::Instant now) {
    const ClassScheduler& scheduler = SchedulerFor(request.work_class);
    if (scheduler.queue.size() > scheduler.queue.capacity() / 2) return true;
    const auto regions = RegionsOf(request);
    const bool has_other =
        std::any_of(regions.begin(), regions.end(), [&](const RegionPreference& r) {
          return slots_.HasUsableTarget(request.work_class, r.region, ExcludedOf(request), now);
        });
    const float slowness = slots_.targets()[chosen].verdict.slowness;
    const double cost = (slowness - 1) * scheduler.load.ServiceTime().seconds();
    const base::Duration wait = scheduler.load.ExpectedWait(position, UsableSlots(request));
    return !has_other || wait.seconds() > cost;
  }

  /// Chooses a region with candidates at random in proportion to the weights, or the first one in
  /// list order if all weights are 0.
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

  void CollectReady(base::WorkClass work_class, base::Instant now) {
    ClassScheduler& scheduler = SchedulerFor(work_class);
    for (std::size_t i = 0; i < scheduler.queue.size();) {
      const Waiter& waiter = scheduler.queue.At(i);
      const Request request = waiter.MakeRequest(work_class);
      const WaiterId id = waiter.id;
      if (now + scheduler.load.ServiceTime() > request.deadline) {
        ready_.push_back({id, Refuse(RefusalReason::kDeadlinePassed, request)});
      } else if (!HasOpenTarget(request)) {
        ready_.push_back({id, Refuse(RefusalReason::kNoTarget, request)});
      } else if (const auto admitted = TryAcquire(request, i + 1, now)) {
        ready_.push_back({id, *admitted});
      } else {
        ++i;
        continue;
      }
      scheduler.queue.Erase(i);
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
  std::array<ClassScheduler, base::kWorkClasses> schedulers_;
  WaiterId last_waiter_ = 0;
  std::vector<Ready> ready_;
  std::vector<SlotUsage> usage_;
  std::vector<Explanation> explanations_;
};

}  // namespace mangonotch::admission
