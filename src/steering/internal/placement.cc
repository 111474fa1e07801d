// Cost model for the choice of a target.
#include "steering/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace mangonotch::steering {
namespace {

/// If a target has not answered for more than this many service times, the time since its last
/// answer is added to the estimate.
constexpr double kSilenceThreshold = 4;
/// Cost of a certain failure, in service times.
constexpr double kFailurePenalty = 6;
/// Bounds of a target's service time relative to the average of its service.
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 20;
/// Probability that the second of two homes has the object in its cache: it gets few requests.
constexpr double kSecondHomeHitProbability = 0.75;
/// Decrease of the probability from one home to the next of an object with the most homes that one
/// in average demand has. A further home is used when the ones before are busy; with a smaller
/// decrease, chance differences spread requests over all homes, which then miss more often.
constexpr double kHitProbabilityStep = 0.25;
/// The probabilities of the targets that follow the homes. Targets of further ranks have the object
/// only by chance, which counts as 0.
constexpr std::array<double, 2> kHitProbabilityAfterHomes = {0.2, 0.1};

/// Targets of further ranks are all alike.
constexpr std::uint32_t kMaxRanks = kMaxHomes + kHitProbabilityAfterHomes.size();

/// Probability that the target of an affinity rank has the object in its cache.
double HitProbability(std::uint32_t rank, std::uint32_t homes) {
  if (rank < homes) {
    if (homes <= kMinHomes) return rank == 0 ? 1 : kSecondHomeHitProbability;
    // An object has more homes than average because of its demand, which keeps all of them warm.
    const double relative = static_cast<double>(kMaxAverageHomes) / homes;
    return 1 - kHitProbabilityStep * relative * relative * rank;
  }
  const std::uint32_t rank_after = rank - homes;
  return rank_after < kHitProbabilityAfterHomes.size() ? kHitProbabilityAfterHomes[rank_after] : 0;
}

double Ms(base::Duration d) { return d.seconds() * 1e3; }

base::Duration FromMs(double ms) {
  return base::Duration::Nanoseconds(static_cast<std::int64_t>(ms * 1e6));
}

/// Weighted rendezvous hashing: the share of keys for which a target has the lowest score equals
/// its share of the weighted slots.
double RendezvousScore(std::uint64_t key, const TargetState& target, double weight) {
  const std::uint64_t h = base::Mix(key ^ target.key());
  const double unit = (static_cast<double>(h >> 11) + 0.5) * 0x1.0p-53;
  return -std::log(unit) / (std::max(target.slots(), 1U) * weight);
}

}  // namespace

std::vector<std::uint32_t> AffinityRanks(std::uint64_t key, std::string_view local_region,
                                         double local_weight,
                                         std::span<TargetState* const> candidates,
                                         std::uint32_t max_ranks) {
  std::vector<std::pair<double, std::uint32_t>> order;
  order.reserve(candidates.size());
  for (std::uint32_t i = 0; i < candidates.size(); ++i) {
    const double weight = candidates[i]->region() == local_region ? local_weight : 1;
    order.emplace_back(RendezvousScore(key, *candidates[i], weight), i);
  }
  const auto ranked = std::min<std::size_t>(max_ranks, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(ranked),
                    order.end());
  std::vector<std::uint32_t> ranks(candidates.size(), max_ranks);
  for (std::uint32_t rank = 0; rank < ranked; ++rank) ranks[order[rank].second] = rank;
  return ranks;
}

bool Placement::IsFull(const TargetState& target, std::uint32_t rank,
                       const PlacementQuery& query) const {
  const bool holds_object = query.affinity_key == 0 || rank < query.homes;
  const double max_load_per_slot =
      holds_object ? 1 + settings_.queue_per_slot : settings_.non_home_load_share;
  return target.Load(query.now) >= target.slots() * max_load_per_slot;
}

base::Duration Placement::Estimate(const TargetState& target, std::uint32_t rank,
                                   const PlacementQuery& query) const {
  const double average = Ms(query.service_time);
  const double slots = std::max(target.slots(), 1U);
  const double load = target.Load(query.now);
  const double expected = average * target.ReportedSlowness(query.now);
  const TargetSpeed::Line line =
      target.speed().Fit(expected, query.prior_answers, target.slots(), query.now);
  const double slowness =
      average > 0 ? std::clamp(line.At(std::min(load, slots)) / average, kMinSlowness, kMaxSlowness)
                  : 1;
  const bool is_local = target.region() == query.local_region;
  const double distance =
      Ms(RoundTrip(target, query.local_region)) + (is_local ? 0 : Ms(settings_.remote_penalty));
  const double miss_probability =
      query.affinity_key == 0 ? 0 : 1 - HitProbability(rank, query.homes);
  const double service =
      average * slowness * (1 + (settings_.cold_cache_factor - 1) * miss_probability);
  // Requests ahead of this one, divided by the slots. Part of the load counts even while slots are
  // free, since the load reported by other hosts is out of date.
  const double wait = average * slowness * std::max(load + 1 - slots, 0.5 * load / slots) / slots;
  const double silence = Ms(target.SilentFor(query.now));
  const double silent_wait = silence > kSilenceThreshold * average * slowness ? silence : 0;
  return FromMs(distance + service + wait + silent_wait +
                kFailurePenalty * average * target.failure_ratio());
}

std::optional<Choice> Placement::Choose(std::span<TargetState* const> candidates,
                                        const PlacementQuery& query) const {
  std::optional<Choice> best;
  const std::vector<std::uint32_t> ranks = AffinityRanks(
      query.affinity_key, query.local_region, settings_.local_weight, candidates, kMaxRanks);
  std::uint32_t total_load = 0;
  std::uint32_t total_slots = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total_load += candidates[i]->Load(query.now);
    total_slots += candidates[i]->slots();
    const Choice choice{.target = candidates[i],
                        .estimate = Estimate(*candidates[i], ranks[i], query),
                        .rank = ranks[i],
                        .homes = query.affinity_key == 0 ? 0 : query.homes,
                        .is_full = IsFull(*candidates[i], ranks[i], query)};
    if (!best ||
        std::pair(choice.is_full, choice.estimate) < std::pair(best->is_full, best->estimate)) {
      best = choice;
    }
  }
  if (best) {
    best->candidates = static_cast<std::uint32_t>(candidates.size());
    best->total_load = total_load;
    best->total_slots = total_slots;
  }
  return best;
}

}  // namespace mangonotch::steering
