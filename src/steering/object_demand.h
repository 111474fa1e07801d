// The demand for a service's objects as this host sees it, and the number of home targets that each
// object gets from it. Nothing is exchanged between hosts: homes are the first targets of a ranking
// that the hosts of a region share, so hosts that differ in the number differ in the last homes
// only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/duration.h"
#include "base/instant.h"

namespace mangonotch::steering {

/// Number of home targets of an object that nothing is known of.
inline constexpr std::uint32_t kMinHomes = 2;
/// Most homes of an object in average demand. More of them spread misses over more targets, which
/// costs more than the shorter queues gain at high load (docs/design/placement-of-objects.md).
inline constexpr std::uint32_t kMaxAverageHomes = 3;
/// Bounds the homes of an object in high demand, and with them the ranks to sort for each request.
inline constexpr std::uint32_t kMaxHomes = 12;

class ObjectDemand {
 public:
  /// Counts a request for the object; 0 stands for no object and is ignored.
  void OnRequest(std::uint64_t key, base::Instant now);

  /// Number of home targets of the object among `targets`, between kMinHomes and kMaxHomes.
  std::uint32_t HomesOf(std::uint64_t key, std::size_t targets) const;

  /// Estimated number of objects in demand, including those that this host has not seen yet; 0 if
  /// there are too few requests to tell.
  double ObjectCount() const;

 private:
  /// Requests of a period. The objects of the last full period and of the current one count.
  struct Period {
    std::unordered_map<std::uint64_t, std::uint32_t> counts;
    std::uint32_t requests = 0;
    /// The map is full, and the number of objects is unknown.
    bool has_overflowed = false;
  };

  std::uint32_t CountOf(std::uint64_t key) const;

  Period current_;
  Period previous_;
  base::Instant period_end_;
  /// Over both periods: objects, and those requested exactly once. Kept up to date by OnRequest.
  std::uint32_t objects_ = 0;
  std::uint32_t objects_seen_once_ = 0;
};

}  // namespace mangonotch::steering
