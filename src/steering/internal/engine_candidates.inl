// Engine: the targets that may serve a request, and the choice among them.
#pragma once

#include <algorithm>

#include "base/hash.h"
#include "steering/engine.h"

namespace mangonotch::steering {

template <typename Port, DecisionObserver Observer>
typename Engine<Port, Observer>::Candidates Engine<Port, Observer>::CandidatesOf(
    const Exchange& exchange, base::Instant now, bool with_ejected) {
  Candidates candidates;
  for (const auto& it : exchange.service->targets()) {
    if (it->IsLeaving()) continue;
    if (catalog_->evacuated_zones.contains(it->record().zone)) continue;
    if (!exchange.IsRegionAllowed(it->region())) continue;
    if (!with_ejected && it->IsEjected(now)) continue;
    if (!IsWithinColdRate(*it, now)) continue;
    const bool was_tried =
        std::any_of(exchange.attempts.begin(), exchange.attempts.end(),
                    [&](const Attempt& attempt) { return attempt.target == it; });
    if (was_tried) continue;
    const base::Instant next = NextSendAt(*it, now);
    if (next <= now) {
      candidates.targets.push_back(it.get());
    } else if (next < candidates.next_send) {
      candidates.next_send = next;
      candidates.is_backoff = it->signals().backoff_until() == next;
    }
  }
  return candidates;
}

template <typename Port, DecisionObserver Observer>
bool Engine<Port, Observer>::IsWithinColdRate(TargetState& target, base::Instant now) {
  if (!target.IsCold(now)) return true;
  const double rate =
      settings_.cold_rate_factor * services_.find(target.record().service)->second.cold_rate();
  if (rate == 0) return true;
  // The rate is divided among the hosts of the target's region; hosts of other regions send
  // nothing.
  if (target.region() != settings_.region) return false;
  const double part = rate / static_cast<double>(local_host_keys_.size() + 1);
  if (part >= 1) return target.RecentSends(now) + 1 <= part;
  return target.RecentSends(now) == 0 && RankAmongHosts(target.key()) + 1 <= rate;
}

template <typename Port, DecisionObserver Observer>
std::size_t Engine<Port, Observer>::RankAmongHosts(std::uint64_t target_key) const {
  const std::uint64_t own = base::Mix(settings_.host_key ^ target_key);
  return static_cast<std::size_t>(
      std::count_if(local_host_keys_.begin(), local_host_keys_.end(),
                    [&](std::uint64_t it) { return base::Mix(it ^ target_key) < own; }));
}

template <typename Port, DecisionObserver Observer>
typename Engine<Port, Observer>::Selection Engine<Port, Observer>::SelectTarget(
    const Exchange& exchange, base::Instant now) {
  const PlacementQuery query{
      .affinity_key = exchange.affinity_key,
      .homes = exchange.service->demand().HomesOf(exchange.affinity_key,
                                                  exchange.service->targets().size()),
      .local_region = settings_.region,
      .service_time = exchange.service->ServiceTime(exchange.route->latency_objective / 2),
      .prior_answers = exchange.service->speed_variation().PriorAnswers(),
      .now = now};
  Candidates candidates = CandidatesOf(exchange, now, false);
  auto choice = placement_.Choose(candidates.targets, query);
  if (!choice) {
    // If no other target is left, try the ejected ones: they may have recovered.
    candidates = CandidatesOf(exchange, now, true);
    choice = placement_.Choose(candidates.targets, query);
  }
  return {.choice = choice, .next_send = candidates.next_send, .is_backoff = candidates.is_backoff};
}

}  // namespace mangonotch::steering
