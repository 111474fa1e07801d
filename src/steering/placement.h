// Selects the target with the earliest estimated answer to a request. The estimate combines network
// distance, the wait for a slot, the service time and the probability that the target has the
// request's object in its cache.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <vector>

#include "base/duration.h"
#include "base/instant.h"
#include "steering/object_demand.h"
#include "steering/target_state.h"

namespace mangonotch::steering {

struct PlacementSettings {
  /// Round-trip times to targets in this region and in other regions.
  base::Duration local_round_trip = base::Duration::Milliseconds(1);
  base::Duration remote_round_trip = base::Duration::Milliseconds(50);
  /// Cost of using the link to another region, added to its round trip.
  base::Duration remote_penalty;
  /// Cost of a cache miss relative to a cache hit: the longer service time of the request itself,
  /// and the wait of other requests for the slot that it occupies longer.
  double cold_cache_factor = 6;
  /// Weight of the local region's slots in the affinity ranking, relative to other regions' slots.
  double local_weight = 4;
  /// Targets other than an object's home targets count as full once this share of their slots is in
  /// use: a request takes longer there and evicts objects that other requests need.
  double non_home_load_share = 0.5;
  /// Maximum number of requests queued at a target, per slot.
  double queue_per_slot = 2;
};

/// Inputs of the choice other than the targets.
struct PlacementQuery {
  std::uint64_t affinity_key = 0;
  /// Number of the object's home targets: those with the lowest affinity ranks, which are expected
  /// to have the object in their caches.
  std::uint32_t homes = kMinHomes;
  std::string_view local_region{};
  /// Average service time of the service.
  base::Duration service_time{};
  /// Number of a target's own answers that count as much as the assumption that it is average.
  double prior_answers = 1;
  base::Instant now{};
};

struct Choice {
  TargetState* target = nullptr;
  /// Estimated time until the answer.
  base::Duration estimate{};
  /// Affinity rank of the target; 0 is the most preferred. Ranks far beyond the homes are not told
  /// apart.
  std::uint32_t rank = 0;
  /// Number of the object's home targets; 0 if the request has no object.
  std::uint32_t homes = 0;
  /// Number of candidate targets, and the sums of their loads and slots.
  std::uint32_t candidates = 0;
  std::uint32_t total_load = 0;
  std::uint32_t total_slots = 0;
  /// The target is at the load limit that applies to the request.
  bool is_full = false;

  bool IsHome() const { return rank < homes; }
};

/// Returns the affinity rank of each candidate by weighted rendezvous hashing. The ranks depend
/// only on the key, the region and weight, and the targets' identifiers, regions and slots, so that
/// all hosts of a region agree on them. Only the first `max_ranks` candidates are told apart, which
/// saves most of the sorting; all others have the rank `max_ranks`.
std::vector<std::uint32_t> AffinityRanks(
    std::uint64_t key, std::string_view local_region, double local_weight,
    std::span<TargetState* const> candidates,
    std::uint32_t max_ranks = std::numeric_limits<std::uint32_t>::max());

class Placement {
 public:
  explicit Placement(const PlacementSettings& settings) : settings_(settings) {}

  /// Returns the candidate with the lowest estimate, preferring candidates that are not full;
  /// nullopt when there are no candidates.
  std::optional<Choice> Choose(std::span<TargetState* const> candidates,
                               const PlacementQuery& query) const;

  /// Round trip to the target.
  base::Duration RoundTrip(const TargetState& target, std::string_view local_region) const {
    return target.region() == local_region ? settings_.local_round_trip
                                           : settings_.remote_round_trip;
  }

 private:
  base::Duration Estimate(const TargetState& target, std::uint32_t rank,
                          const PlacementQuery& query) const;
  bool IsFull(const TargetState& target, std::uint32_t rank, const PlacementQuery& query) const;

  PlacementSettings settings_;
};

}  // namespace mangonotch::steering
