// Concept of a placement policy, which chooses one of the targets that have a free slot.
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>

#include "base/instant.h"
#include "base/random.h"

namespace mangonotch::placement {

/// Data about a target that a policy gets in addition to its own observations.
struct TargetLoad {
  std::uint32_t in_flight = 0;
  /// Capacity relative to other targets; reduced while the target warms up.
  float weight = 1.0F;
};

/// Targets are numbered from 0. `candidates` holds target numbers; `loads` is indexed by them.
struct Pool {
  std::span<const std::uint32_t> candidates;
  std::span<const TargetLoad> loads;
};

/// Each policy object serves one work class of one service, so that latencies of the classes are
/// not mixed. `Choose` is called with at least one candidate, returns an index into `candidates`
/// and must not allocate memory.
template <typename P>
concept PlacementPolicy = std::constructible_from<P, const typename P::Settings&> &&
    requires(P policy, const Pool& pool, std::uint32_t target, base::Duration latency,
             base::Instant now, base::Random& random, std::uint16_t load_per_mille) {
  policy.Resize(std::size_t{});
  policy.Reset(target);
  { policy.Choose(pool, now, random) } -> std::same_as<std::size_t>;
  policy.OnComplete(target, latency, now);
  policy.OnLoadReport(target, load_per_mille, now);
};

}  // namespace mangonotch::placement
