// Ranks entry hosts for a caller. Built once per snapshot; lookups do not allocate.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/ids.h"

namespace mangonotch::lookup {

inline constexpr std::size_t kMaxRankedHosts = 4;

/// An entry host as recorded in the snapshot.
struct HostEntry {
  base::RegionIndex region;
  base::ZoneIndex zone;
  /// Free share of the host's slots, in thousandths; 0 means that the host has no room.
  std::uint16_t room_per_mille = 0;
  bool leaving = false;
  /// Relative capacity. A host with weight 0 is ranked like one without room.
  std::uint32_t weight = 1;
};

struct Caller {
  base::RegionIndex region;
  base::ZoneIndex zone;
  /// Hash of the caller's address or name; distributes callers over equivalent hosts.
  std::uint64_t seed = 0;
};

class Directory {
 public:
  Directory() = default;
  explicit Directory(std::span<const HostEntry> hosts);

  /// Writes indices into the span of hosts to `out`, best host first, and returns their number (at
  /// most kMaxRankedHosts). `distances` holds the distance of each region from the caller's region,
  /// lower is nearer; a region past its end counts as farthest, the caller's own region as nearest.
  ///
  /// Order: hosts with room by region distance, within a region those of the caller's zone first;
  /// then hosts without room; leaving hosts only if there are no others. The last place goes to a
  /// zone other than the caller's if one has a host, so that the caller still has a host to connect
  /// to when its zone fails.
  std::size_t Rank(const Caller& caller, std::span<const std::uint32_t> distances,
                   std::span<std::uint32_t> out) const;

 private:
  /// In order of preference: all hosts of a tier are ranked before those of the next one.
  enum Tier : std::uint8_t { kWithRoom, kWithoutRoom, kLeaving, kTierCount };

  /// Hosts of one tier in the same zone and region: a range of `host_indices_`.
  struct Group {
    base::RegionIndex region;
    base::ZoneIndex zone;
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
  };

  struct Selection;
  void SelectFromGroup(const Group& group, std::size_t limit, Selection& selection) const;
  void SelectFromTier(Tier tier, const Caller& caller, std::span<const std::uint32_t> distances,
                      Selection& selection) const;
  void SelectFromRegion(std::span<const Group> groups, const Caller& caller,
                        Selection& selection) const;

  static Tier TierOf(const HostEntry& host);

  /// Indices into the span of hosts, sorted by tier, region and zone.
  std::vector<std::uint32_t> host_indices_;
  /// Cumulative shares of `host_indices_` within each group.
  std::vector<std::uint64_t> cumulative_shares_;
  /// Groups of each tier, sorted by region, then zone.
  std::array<std::vector<Group>, kTierCount> groups_;
  /// For each tier and region, the index of the region's first group, followed by the number of
  /// groups of the tier.
  std::array<std::vector<std::uint32_t>, kTierCount> region_starts_;
};

}  // namespace mangonotch::lookup
