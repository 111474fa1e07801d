// Ranks entry hosts for a caller. Built once per snapshot; a look-up reads it without allocation.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/ids.h"

namespace mangonotch::lookup {

inline constexpr std::size_t kMaxRankedHosts = 4;

/// An entry host as the snapshot knows it.
struct HostEntry {
  base::RegionIndex region;
  base::ZoneIndex zone;
  /// Share of the host's slots that is free; 0 means it has no room.
  std::uint16_t room_per_mille = 0;
  bool leaving = false;
  /// Relative capacity; a host with weight 0 gets no callers while others are there.
  std::uint32_t weight = 1;
};

struct Caller {
  base::RegionIndex region;
  base::ZoneIndex zone;
  /// Hash of the caller's address or name: spreads callers over equal hosts.
  std::uint64_t seed = 0;
};

class Directory {
 public:
  Directory() = default;
  explicit Directory(std::span<const HostEntry> hosts);

  /// Fills `out` with positions in the span of hosts, best first, and returns their number (at most
  /// kMaxRankedHosts). `distances` holds the distance of each region from the caller's, lower is
  /// nearer; a region past its end counts as farthest, the caller's own as nearest.
  ///
  /// Order: hosts with room by region distance, own zone first; then hosts without room; leaving
  /// hosts only when there is nothing else. The last place goes to another zone than the caller's
  /// where one has a host, so that the loss of a zone leaves the caller a host to turn to.
  std::size_t Rank(const Caller& caller, std::span<const std::uint32_t> distances,
                   std::span<std::uint32_t> out) const;

 private:
  /// Order of preference; hosts of a worse tier follow all hosts of a better one.
  enum Tier : std::uint8_t { kWithRoom, kWithoutRoom, kLeaving, kTiers };

  /// Hosts of one tier in one zone of one region: a range of `hosts_`.
  struct Group {
    base::RegionIndex region;
    base::ZoneIndex zone;
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
  };

  struct Selection;
  void TakeFrom(const Group& group, std::size_t limit, Selection& selection) const;
  void TakeTier(Tier tier, const Caller& caller, std::span<const std::uint32_t> distances,
                Selection& selection) const;
  void TakeRegion(std::span<const Group> groups, const Caller& caller, Selection& selection) const;

  static Tier TierOf(const HostEntry& host);

  /// Positions of hosts, and the running sum of their shares within the group.
  std::vector<std::uint32_t> hosts_;
  std::vector<std::uint64_t> shares_;
  /// Sorted by region, then zone.
  std::array<std::vector<Group>, kTiers> groups_;
  /// Start of each region's groups, with an end mark.
  std::array<std::vector<std::uint32_t>, kTiers> regions_;
};

}  // namespace mangonotch::lookup
