// Estimates when each target would answer a request and chooses the best: distance, wait for a
// slot, service time, and how likely the target still holds the request's object in its cache.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/duration.h"
#include "base/instant.h"
#include "steering/target_state.h"

namespace mangonotch::steering {

struct PlacementSettings {
  /// Round trip to targets of this region and of others.
  base::Duration local_round_trip = base::Duration::Milliseconds(1);
  base::Duration remote_round_trip = base::Duration::Milliseconds(50);
  /// Added for another region: what the link's use is worth beyond the round trip.
  base::Duration remote_penalty;
  /// Cost of a request at a target without the object in its cache, relative to one that has it:
  /// its own time, and the time that others wait for the slot it holds longer.
  double cold_cache_factor = 6;
  /// Weight of the local region's slots in the order of affinity, relative to other regions'.
  double local_weight = 4;
  /// Targets of these ranks, from 0, are expected to hold an object.
  std::uint32_t home_ranks = 2;
  /// Other targets take a request only while less than this share of their slots is taken: it runs
  /// long there and drives out objects that others need.
  double foreign_share = 0.5;
  /// Requests that may wait at a target for each of its slots.
  double queue_per_slot = 2;
};

/// What the choice depends on beside the targets.
struct PlacementQuery {
  std::uint64_t affinity_key = 0;
  std::string_view local_region{};
  /// Usual service time of the service.
  base::Duration service_time{};
  base::Instant now{};
};

struct Choice {
  TargetState* target = nullptr;
  /// Time from now to the answer.
  base::Duration estimate{};
  /// Position by affinity, 0 first.
  std::uint32_t rank = 0;
  /// Targets that were weighed, and the load and the slots of all of them together.
  std::uint32_t candidates = 0;
  std::uint32_t total_load = 0;
  std::uint32_t total_slots = 0;
  /// The target has neither a free slot nor a free place in its queue.
  bool is_full = false;
};

/// Rank of the candidates by affinity: the position of each in an order that depends on the key,
/// the region and the targets' identifiers and slots alone, so that all hosts of a region agree.
std::vector<std::uint32_t> AffinityRanks(std::uint64_t key, std::string_view local_region,
                                         double local_weight,
                                         std::span<TargetState* const> candidates);

class Placement {
 public:
  explicit Placement(const PlacementSettings& settings) : settings_(settings) {}

  /// The best of the candidates, one with room before one without; nothing when there are none.
  std::optional<Choice> Choose(std::span<TargetState* const> candidates,
                               const PlacementQuery& query) const;

 private:
  base::Duration Estimate(const TargetState& target, std::uint32_t rank,
                          const PlacementQuery& query) const;
  bool IsFull(const TargetState& target, std::uint32_t rank, const PlacementQuery& query) const;

  PlacementSettings settings_;
};

}  // namespace mangonotch::steering
