// Cost model of the choice among targets.
#include "steering/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

#include "base/hash.h"

namespace mangonotch::steering {
namespace {

/// A target that has been silent for this many service times counts its silence as wait.
constexpr double kSilenceFactor = 4;
/// Cost of a sure failure, in service times.
constexpr double kFailureFactor = 6;
/// Bounds of a target's slowness relative to its service.
constexpr double kLeastSlowness = 0.5;
constexpr double kMostSlowness = 20;
/// How likely the target of each rank holds the object; those behind hold it by chance only.
constexpr std::array<double, 4> kWarmthOfRank = {1, 0.75, 0.2, 0.1};

double Ms(base::Duration d) { return d.seconds() * 1e3; }

base::Duration FromMs(double ms) {
  return base::Duration::Nanoseconds(static_cast<std::int64_t>(ms * 1e6));
}

/// Weighted rendezvous: the share of keys for which a target scores highest is its share of slots.
double RendezvousScore(std::uint64_t key, const TargetState& target, double weight) {
  const std::uint64_t h = base::Mix(key ^ target.key());
  const double unit = (static_cast<double>(h >> 11) + 0.5) * 0x1.0p-53;
  return -std::log(unit) / (std::max(target.slots(), 1U) * weight);
}

}  // namespace

std::vector<std::uint32_t> AffinityRanks(std::uint64_t key, std::string_view local_region,
                                         double local_weight,
                                         std::span<TargetState* const> candidates) {
  std::vector<std::pair<double, std::uint32_t>> order;
  order.reserve(candidates.size());
  for (std::uint32_t i = 0; i < candidates.size(); ++i) {
    const double weight = candidates[i]->region() == local_region ? local_weight : 1;
    order.emplace_back(RendezvousScore(key, *candidates[i], weight), i);
  }
  std::sort(order.begin(), order.end());
  std::vector<std::uint32_t> ranks(candidates.size());
  for (std::uint32_t rank = 0; rank < order.size(); ++rank) ranks[order[rank].second] = rank;
  return ranks;
}

bool Placement::IsFull(const TargetState& target, std::uint32_t rank,
                       const PlacementQuery& query) const {
  const bool holds_object = query.affinity_key == 0 || rank < settings_.home_ranks;
  const double most = holds_object ? 1 + settings_.queue_per_slot : settings_.foreign_share;
  return target.Load(query.now) >= target.slots() * most;
}

base::Duration Placement::Estimate(const TargetState& target, std::uint32_t rank,
                                   const PlacementQuery& query) const {
  const double usual = Ms(query.service_time);
  double slowness = target.ReportedSlowness(query.now);
  if (const auto own = target.service_time(query.now); own && usual > 0) {
    slowness = std::clamp(Ms(*own) / usual, kLeastSlowness, kMostSlowness);
  }
  const bool is_local = target.region() == query.local_region;
  const double distance = is_local ? Ms(settings_.local_round_trip)
                                   : Ms(settings_.remote_round_trip) + Ms(settings_.remote_penalty);
  const double warmth = rank < kWarmthOfRank.size() ? kWarmthOfRank[rank] : 0;
  const double missing = query.affinity_key == 0 ? 0 : 1 - warmth;
  const double service = usual * slowness * (1 + (settings_.cold_cache_factor - 1) * missing);
  const double slots = std::max(target.slots(), 1U);
  const double load = target.Load(query.now);
  // Work ahead of the request, spread over the slots; a part counts before all slots are taken,
  // since reports of other hosts' work are late.
  const double wait = usual * slowness * std::max(load + 1 - slots, 0.5 * load / slots) / slots;
  const double silence = Ms(target.SilentFor(query.now));
  const double silent_wait = silence > kSilenceFactor * usual * slowness ? silence : 0;
  return FromMs(distance + service + wait + silent_wait +
                kFailureFactor * usual * target.failure_ratio());
}

std::optional<Choice> Placement::Choose(std::span<TargetState* const> candidates,
                                        const PlacementQuery& query) const {
  std::optional<Choice> best;
  const std::vector<std::uint32_t> ranks =
      AffinityRanks(query.affinity_key, query.local_region, settings_.local_weight, candidates);
  std::uint32_t total_load = 0;
  std::uint32_t total_slots = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total_load += candidates[i]->Load(query.now);
    total_slots += candidates[i]->slots();
    const Choice choice{.target = candidates[i],
                        .estimate = Estimate(*candidates[i], ranks[i], query),
                        .rank = ranks[i],
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
