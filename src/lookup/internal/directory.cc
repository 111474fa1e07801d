// Weighted selection by hash within groups of equivalent hosts.
#include "lookup/directory.h"

#include <algorithm>
#include <array>
#include <limits>
#include <numeric>
#include <tuple>

#include "base/hash.h"

namespace mangonotch::lookup {

struct Directory::Selection {
  std::span<std::uint32_t> out;
  std::uint64_t seed = 0;
  std::size_t size = 0;

  bool IsFull() const { return size == out.size(); }
};

Directory::Tier Directory::TierOf(const HostEntry& host) {
  if (host.leaving) return kLeaving;
  return host.room_per_mille > 0 && host.weight > 0 ? kWithRoom : kWithoutRoom;
}

Directory::Directory(std::span<const HostEntry> hosts) {
  host_indices_.resize(hosts.size());
  std::iota(host_indices_.begin(), host_indices_.end(), 0U);
  const auto key = [&](std::uint32_t i) {
    return std::tuple(TierOf(hosts[i]), hosts[i].region, hosts[i].zone, i);
  };
  std::sort(host_indices_.begin(), host_indices_.end(),
            [&](auto a, auto b) { return key(a) < key(b); });
  cumulative_shares_.resize(hosts.size());
  for (std::uint32_t i = 0; i < host_indices_.size(); ++i) {
    const HostEntry& host = hosts[host_indices_[i]];
    const Tier tier = TierOf(host);
    auto& groups = groups_[tier];
    const bool is_new = groups.empty() || std::tie(groups.back().region, groups.back().zone) !=
                                              std::tie(host.region, host.zone);
    if (is_new) groups.push_back({host.region, host.zone, i, i});
    groups.back().end = i + 1;
    const std::uint64_t share =
        tier == kWithRoom ? std::uint64_t{host.weight} * host.room_per_mille : 1;
    cumulative_shares_[i] = share + (is_new ? 0 : cumulative_shares_[i - 1]);
  }
  for (int tier = 0; tier < kTierCount; ++tier) {
    for (std::uint32_t i = 0; i < groups_[tier].size(); ++i) {
      while (region_starts_[tier].size() <= groups_[tier][i].region.value) {
        region_starts_[tier].push_back(i);
      }
    }
    region_starts_[tier].push_back(static_cast<std::uint32_t>(groups_[tier].size()));
  }
}

/// Draws up to `limit` distinct hosts with probabilities proportional to their shares. If a host is
/// drawn again, the next host that is not selected yet replaces it, which bounds the loop.
void Directory::SelectFromGroup(const Group& group, std::size_t limit, Selection& selection) const {
  const std::uint32_t n = group.end - group.begin;
  const std::size_t first = selection.size;
  const std::size_t count = std::min<std::size_t>({limit, n, selection.out.size() - first});
  const std::uint64_t total = cumulative_shares_[group.end - 1];
  for (std::size_t selected_count = 0; selected_count < count; ++selected_count) {
    selection.seed = base::Mix(selection.seed + 0x9e3779b97f4a7c15ULL);
    const std::uint64_t draw = selection.seed % total;
    const auto begin = cumulative_shares_.begin() + group.begin;
    const auto it = std::upper_bound(begin, cumulative_shares_.begin() + group.end, draw);
    auto offset = static_cast<std::uint32_t>(it - begin);
    const auto is_selected = [&](std::uint32_t host) {
      const auto chosen = selection.out.subspan(first, selected_count);
      return std::find(chosen.begin(), chosen.end(), host) != chosen.end();
    };
    while (is_selected(host_indices_[group.begin + offset])) offset = (offset + 1) % n;
    selection.out[selection.size++] = host_indices_[group.begin + offset];
  }
}

void Directory::SelectFromRegion(std::span<const Group> groups, const Caller& caller,
                                 Selection& selection) const {
  const auto own = std::find_if(groups.begin(), groups.end(), [&](const Group& group) {
    return group.region == caller.region && group.zone == caller.zone;
  });
  const std::size_t remaining = selection.out.size() - selection.size;
  if (own != groups.end()) {
    const bool is_only_group = groups.size() == 1;
    SelectFromGroup(*own, is_only_group ? remaining : std::max<std::size_t>(remaining, 2) - 1,
                    selection);
  }
  // All other zones are equally good for the caller: select from them in turn, starting at a zone
  // determined by the hash.
  const std::size_t start = base::Mix(selection.seed) % groups.size();
  for (std::size_t i = 0; i < groups.size() && !selection.IsFull(); ++i) {
    const Group& group = groups[(start + i) % groups.size()];
    if (own == groups.end() || &group != &*own) SelectFromGroup(group, remaining, selection);
  }
}

void Directory::SelectFromTier(Tier tier, const Caller& caller,
                               std::span<const std::uint32_t> distances,
                               Selection& selection) const {
  const auto& starts = region_starts_[tier];
  const auto distance = [&](std::size_t region) -> std::uint64_t {
    if (region == caller.region.value) return 0;
    if (region >= distances.size()) return std::numeric_limits<std::uint64_t>::max();
    return std::uint64_t{distances[region]} + 1;
  };
  // At most four regions are selected, so scanning for the next nearest one is cheaper than
  // sorting.
  std::array<std::size_t, kMaxRankedHosts> visited{};
  std::size_t n = 0;
  while (!selection.IsFull() && n < visited.size()) {
    std::size_t nearest = starts.size();
    for (std::size_t region = 0; region + 1 < starts.size(); ++region) {
      if (starts[region] == starts[region + 1]) continue;
      if (std::find(visited.begin(), visited.begin() + n, region) != visited.begin() + n) continue;
      if (nearest == starts.size() || distance(region) < distance(nearest)) nearest = region;
    }
    if (nearest == starts.size()) return;
    const std::span<const Group> groups(groups_[tier]);
    SelectFromRegion(groups.subspan(starts[nearest], starts[nearest + 1] - starts[nearest]), caller,
                     selection);
    visited[n++] = nearest;
  }
}

std::size_t Directory::Rank(const Caller& caller, std::span<const std::uint32_t> distances,
                            std::span<std::uint32_t> out) const {
  Selection selection{.out = out.first(std::min(out.size(), kMaxRankedHosts)), .seed = caller.seed};
  SelectFromTier(kWithRoom, caller, distances, selection);
  SelectFromTier(kWithoutRoom, caller, distances, selection);
  if (selection.size == 0) SelectFromTier(kLeaving, caller, distances, selection);
  return selection.size;
}

}  // namespace mangonotch::lookup
