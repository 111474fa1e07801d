// Selection by hash within groups of equal hosts.
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
  hosts_.resize(hosts.size());
  std::iota(hosts_.begin(), hosts_.end(), 0U);
  const auto key = [&](std::uint32_t i) {
    return std::tuple(TierOf(hosts[i]), hosts[i].region, hosts[i].zone, i);
  };
  std::sort(hosts_.begin(), hosts_.end(), [&](auto a, auto b) { return key(a) < key(b); });
  shares_.resize(hosts.size());
  for (std::uint32_t i = 0; i < hosts_.size(); ++i) {
    const HostEntry& host = hosts[hosts_[i]];
    const Tier tier = TierOf(host);
    auto& groups = groups_[tier];
    const bool is_new = groups.empty() || std::tie(groups.back().region, groups.back().zone) !=
                                              std::tie(host.region, host.zone);
    if (is_new) groups.push_back({host.region, host.zone, i, i});
    groups.back().end = i + 1;
    const std::uint64_t share =
        tier == kWithRoom ? std::uint64_t{host.weight} * host.room_per_mille : 1;
    shares_[i] = share + (is_new ? 0 : shares_[i - 1]);
  }
  for (int tier = 0; tier < kTiers; ++tier) {
    for (std::uint32_t i = 0; i < groups_[tier].size(); ++i) {
      while (regions_[tier].size() <= groups_[tier][i].region.value) regions_[tier].push_back(i);
    }
    regions_[tier].push_back(static_cast<std::uint32_t>(groups_[tier].size()));
  }
}

/// Draws up to `limit` different hosts in proportion to their shares. A draw that repeats moves on
/// to the next host that is not taken, so the loop is bounded.
void Directory::TakeFrom(const Group& group, std::size_t limit, Selection& selection) const {
  const std::uint32_t n = group.end - group.begin;
  const std::size_t first = selection.size;
  const std::size_t count = std::min<std::size_t>({limit, n, selection.out.size() - first});
  const std::uint64_t total = shares_[group.end - 1];
  for (std::size_t taken = 0; taken < count; ++taken) {
    selection.seed = base::Mix(selection.seed + 0x9e3779b97f4a7c15ULL);
    const std::uint64_t draw = selection.seed % total;
    const auto begin = shares_.begin() + group.begin;
    const auto it = std::upper_bound(begin, shares_.begin() + group.end, draw);
    auto offset = static_cast<std::uint32_t>(it - begin);
    const auto is_taken = [&](std::uint32_t host) {
      const auto chosen = selection.out.subspan(first, taken);
      return std::find(chosen.begin(), chosen.end(), host) != chosen.end();
    };
    while (is_taken(hosts_[group.begin + offset])) offset = (offset + 1) % n;
    selection.out[selection.size++] = hosts_[group.begin + offset];
  }
}

void Directory::TakeRegion(std::span<const Group> groups, const Caller& caller,
                           Selection& selection) const {
  const auto own = std::find_if(groups.begin(), groups.end(), [&](const Group& group) {
    return group.region == caller.region && group.zone == caller.zone;
  });
  const std::size_t left = selection.out.size() - selection.size;
  if (own != groups.end()) {
    const bool is_alone = groups.size() == 1;
    TakeFrom(*own, is_alone ? left : std::max<std::size_t>(left, 2) - 1, selection);
  }
  // The other zones are equal to the caller: take turns, from a zone given by the hash.
  const std::size_t start = base::Mix(selection.seed) % groups.size();
  for (std::size_t i = 0; i < groups.size() && !selection.IsFull(); ++i) {
    const Group& group = groups[(start + i) % groups.size()];
    if (own == groups.end() || &group != &*own) TakeFrom(group, left, selection);
  }
}

void Directory::TakeTier(Tier tier, const Caller& caller, std::span<const std::uint32_t> distances,
                         Selection& selection) const {
  const auto& starts = regions_[tier];
  const auto distance = [&](std::size_t region) -> std::uint64_t {
    if (region == caller.region.value) return 0;
    if (region >= distances.size()) return std::numeric_limits<std::uint64_t>::max();
    return std::uint64_t{distances[region]} + 1;
  };
  // At most four regions are taken, so a scan for the next nearest costs less than sorting.
  std::array<std::size_t, kMaxRankedHosts> done{};
  std::size_t n = 0;
  while (!selection.IsFull() && n < done.size()) {
    std::size_t best = starts.size();
    for (std::size_t region = 0; region + 1 < starts.size(); ++region) {
      if (starts[region] == starts[region + 1]) continue;
      if (std::find(done.begin(), done.begin() + n, region) != done.begin() + n) continue;
      if (best == starts.size() || distance(region) < distance(best)) best = region;
    }
    if (best == starts.size()) return;
    const std::span<const Group> groups(groups_[tier]);
    TakeRegion(groups.subspan(starts[best], starts[best + 1] - starts[best]), caller, selection);
    done[n++] = best;
  }
}

std::size_t Directory::Rank(const Caller& caller, std::span<const std::uint32_t> distances,
                            std::span<std::uint32_t> out) const {
  Selection selection{.out = out.first(std::min(out.size(), kMaxRankedHosts)), .seed = caller.seed};
  TakeTier(kWithRoom, caller, distances, selection);
  TakeTier(kWithoutRoom, caller, distances, selection);
  if (selection.size == 0) TakeTier(kLeaving, caller, distances, selection);
  return selection.size;
}

}  // namespace mangonotch::lookup
