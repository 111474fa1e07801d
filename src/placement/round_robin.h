// Baseline policy: unweighted round robin that ignores the load of the candidates.
#pragma once

#include "placement/policy.h"

namespace mangonotch::placement {

class RoundRobin {
 public:
  struct Settings {};

  explicit RoundRobin(const Settings& /*settings*/) {}

  void Resize(std::size_t /*targets*/) {}
  void Reset(std::uint32_t /*target*/) {}
  std::size_t Choose(const Pool& pool, base::Instant /*now*/, base::Random& /*random*/) {
    return next_++ % pool.candidates.size();
  }
  void OnComplete(std::uint32_t /*target*/, base::Duration /*latency*/, base::Instant /*now*/) {}
  void OnLoadReport(std::uint32_t /*target*/, std::uint16_t /*per_mille*/, base::Instant /*now*/) {}

 private:
  std::size_t next_ = 0;
};

static_assert(PlacementPolicy<RoundRobin>);

}  // namespace mangonotch::placement
