// Baseline policy: power of two choices by requests in flight per weight.
#pragma once

#include "placement/policy.h"

namespace mangonotch::placement {

class LeastInFlight {
 public:
  struct Settings {};

  explicit LeastInFlight(const Settings& /*settings*/) {}

  void Resize(std::size_t /*targets*/) {}
  void Reset(std::uint32_t /*target*/) {}
  std::size_t Choose(const Pool& pool, base::Instant /*now*/, base::Random& random) {
    const auto n = static_cast<std::uint32_t>(pool.candidates.size());
    const std::uint32_t a = random.Below(n);
    if (n == 1) return a;
    const std::uint32_t b = (a + 1 + random.Below(n - 1)) % n;
    return Cost(pool, b) < Cost(pool, a) ? b : a;
  }
  void OnComplete(std::uint32_t /*target*/, base::Duration /*latency*/, base::Instant /*now*/) {}
  void OnLoadReport(std::uint32_t /*target*/, std::uint16_t /*per_mille*/, base::Instant /*now*/) {}

 private:
  static float Cost(const Pool& pool, std::uint32_t position) {
    const TargetLoad& load = pool.loads[pool.candidates[position]];
    return static_cast<float>(load.in_flight + 1) / load.weight;
  }
};

static_assert(PlacementPolicy<LeastInFlight>);

}  // namespace mangonotch::placement
