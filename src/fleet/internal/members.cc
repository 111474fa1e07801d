// Membership, liveness and store watcher selection.
#include "fleet/members.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace mangonotch::fleet {
namespace {

/// Two, so that the region still receives store changes when one watcher fails.
constexpr std::uint32_t kWatchersPerRegion = 2;
/// Limits the number of requests to a store that does not respond.
constexpr std::uint32_t kMaxActiveWatchersPerRegion = 5;

/// Two, so that a host stays known in another region when one of its relays there fails.
constexpr std::size_t kRelaysPerRegion = 2;
/// A heartbeat that names a longer period is not believed: its sender would seem alive for ever.
constexpr base::Duration kMaxPeriod = base::Duration::Seconds(8);

/// Time without a heartbeat after which a host whose heartbeats have the given period counts as
/// stopped: two heartbeats in a row may be lost. At least `minimum`, since a short pause of a host
/// is no reason to avoid it.
base::Duration TimeoutOf(base::Duration period, base::Duration minimum) {
  return std::max(minimum, period * 5 / 2);
}

/// Hosts with lower ranks, that is higher bandwidth, are selected first.
using WatcherRank = std::pair<std::int64_t, std::uint64_t>;

WatcherRank WatcherRankOf(const HostRecord& record) {
  return {-static_cast<std::int64_t>(record.link_mbps), base::Hash(record.host)};
}

}  // namespace

Members::Members(HostRecord self, std::map<std::string, std::string, std::less<>> zones,
                 const MemberTiming& timing)
    : self_(std::move(self)),
      self_key_(base::Hash(self_.host)),
      zones_(std::move(zones)),
      timing_(timing) {}

bool Members::OnHeartbeat(const Heartbeat& heartbeat, base::Instant now) {
  if (!Apply(heartbeat, false, now)) return false;
  for (const Heartbeat& it : heartbeat.relayed) Apply(it, true, now);
  for (const base::Endpoint& contact : heartbeat.contacts) {
    const bool is_known = std::any_of(contacts_.begin(), contacts_.end(),
                                      [&](const auto& known) { return known.first == contact; });
    // A contact reported by another host does not refresh a known address, which may be long out of
    // use.
    if (!is_known) AddContact(contact, now);
  }
  return true;
}

bool Members::Apply(const Heartbeat& heartbeat, bool is_relayed, base::Instant now) {
  if (heartbeat.sender.host == self_.host) return false;
  const auto [it, is_new] = members_.try_emplace(heartbeat.sender.host);
  Member& member = it->second;
  const base::Incarnation known = member.last_heartbeat.incarnation;
  const bool is_same_incarnation = !is_new && known == heartbeat.incarnation;
  if (is_same_incarnation && heartbeat.sequence <= member.last_heartbeat.sequence) {
    const bool was_passed_on = is_relayed && heartbeat.sequence == member.last_heartbeat.sequence;
    if (was_passed_on) member.is_relay_due = false;
    return false;
  }
  if (!is_new && heartbeat.incarnation == member.previous_incarnation) return false;
  if (!is_new && !is_same_incarnation) member.previous_incarnation = known;
  if (is_new) member.key = base::Hash(heartbeat.sender.host);
  member.last_heartbeat = heartbeat;
  member.last_heartbeat.relayed.clear();
  member.received_at = now;
  member.is_local = IsInOwnRegion(heartbeat.sender);
  member.is_relay_due = !is_relayed && !member.is_local;
  const base::Duration minimum =
      member.is_local ? timing_.min_local_timeout : timing_.min_remote_timeout;
  member.live_until = now + TimeoutOf(std::min(heartbeat.period, kMaxPeriod), minimum);
  AddContact(heartbeat.sender.peers, now);
  if (member.is_local && !is_same_incarnation) newcomers_.push_back(heartbeat.sender.peers);
  return true;
}

void Members::AddContact(const base::Endpoint& address, base::Instant now) {
  if (address == self_.peers) return;
  for (auto& [contact, refreshed_at] : contacts_) {
    if (contact == address) {
      refreshed_at = now;
      return;
    }
  }
  contacts_.emplace_back(address, now);
}

void Members::Expire(base::Instant now) {
  std::erase_if(members_,
                [&](const auto& it) { return now - it.second.received_at > timing_.retention; });
  std::erase_if(contacts_,
                [&](const auto& it) { return now - it.second > timing_.contact_retention; });
}

Members::ContactLists Members::Contacts(base::Instant now) const {
  std::map<std::pair<base::IpAddress, std::uint16_t>, bool> is_local_host;
  std::map<std::string_view, std::vector<const Member*>> remote_regions;
  for (const auto& [host, member] : members_) {
    const HostRecord& sender = member.last_heartbeat.sender;
    is_local_host[{sender.peers.address, sender.peers.port}] = member.is_local;
    if (!member.is_local) remote_regions[RegionOf(sender.zone)].push_back(&member);
  }
  ContactLists lists;
  lists.remote_regions = remote_regions.size();
  for (const auto& [region, region_members] : remote_regions) {
    AddRelays(region_members, now, lists.relays);
  }
  for (const auto& [contact, refreshed_at] : contacts_) {
    const auto it = is_local_host.find({contact.address, contact.port});
    if (it == is_local_host.end()) {
      lists.unconfirmed.push_back(contact);
    } else {
      (it->second ? lists.local : lists.remote).push_back(contact);
    }
  }
  return lists;
}

void Members::AddRelays(std::span<const Member* const> region, base::Instant now,
                        std::vector<base::Endpoint>& relays) const {
  std::vector<const Member*> candidates;
  for (const Member* it : region) {
    if (IsLive(*it, now) && !it->last_heartbeat.is_leaving) candidates.push_back(it);
  }
  if (candidates.empty()) {
    // The region may be cut off. Any of its hosts may be the first that is reached again.
    for (const Member* it : region) relays.push_back(it->last_heartbeat.sender.peers);
    return;
  }
  const std::size_t n = std::min(kRelaysPerRegion, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n),
                    candidates.end(),
                    [&](const Member* a, const Member* b) { return RankOf(*a) < RankOf(*b); });
  for (std::size_t i = 0; i < n; ++i) relays.push_back(candidates[i]->last_heartbeat.sender.peers);
}

std::vector<Heartbeat> Members::TakeRelayed(std::size_t max_count) {
  std::vector<Heartbeat> relayed;
  const auto take_from = [&](MemberMap::iterator it, MemberMap::iterator end) {
    for (; it != end && relayed.size() < max_count; ++it) {
      Member& member = it->second;
      if (!std::exchange(member.is_relay_due, false)) continue;
      relayed.push_back(member.last_heartbeat);
      relayed.back().loads.clear();
      relayed.back().contacts.clear();
      last_relayed_ = it->first;
    }
  };
  const auto start = members_.upper_bound(last_relayed_);
  take_from(start, members_.end());
  take_from(members_.begin(), start);
  return relayed;
}

std::uint32_t Members::CountPossiblyAlive(base::Instant now) const {
  std::uint32_t n = 1;
  for (const auto& [host, member] : members_) {
    if (now - member.received_at <= timing_.retention) ++n;
  }
  return n;
}

std::uint32_t Members::CountLive(base::Instant now) const {
  std::uint32_t n = 1;
  for (const auto& [host, member] : members_) n += IsLive(member, now) ? 1 : 0;
  return n;
}

std::vector<std::uint64_t> Members::LocalHostKeys(base::Instant now) const {
  std::vector<std::uint64_t> keys;
  for (const auto& [host, member] : members_) {
    const bool may_be_alive = now - member.received_at <= timing_.retention;
    if (may_be_alive && member.is_local) keys.push_back(base::Hash(host));
  }
  return keys;
}

std::vector<TargetLoad> Members::PeerLoads(base::Instant now) const {
  std::map<std::uint64_t, std::uint32_t> sums;
  for (const auto& [host, member] : members_) {
    if (!IsLive(member, now)) continue;
    for (const TargetLoad& it : member.last_heartbeat.loads) sums[it.target_key] += it.in_flight;
  }
  std::vector<TargetLoad> loads;
  loads.reserve(sums.size());
  for (const auto& [key, in_flight] : sums) loads.push_back({key, in_flight});
  return loads;
}

bool Members::ShouldWatchStore(base::Instant now) const {
  const WatcherRank own_rank = WatcherRankOf(self_);
  std::uint32_t fresh_count = 0;
  std::uint32_t watching_count = 0;
  for (const auto& [host, member] : members_) {
    const bool is_before = WatcherRankOf(member.last_heartbeat.sender) < own_rank;
    if (!is_before || !member.is_local || !IsLive(member, now) ||
        member.last_heartbeat.is_leaving) {
      continue;
    }
    fresh_count += member.last_heartbeat.has_fresh_catalog ? 1 : 0;
    watching_count += member.last_heartbeat.watches_store ? 1 : 0;
  }
  return fresh_count < kWatchersPerRegion && watching_count < kMaxActiveWatchersPerRegion;
}

std::vector<HostRecord> Members::BestConnected(std::size_t max_count, bool is_leaving,
                                               base::Instant now) const {
  std::vector<HostRecord> hosts;
  if (!is_leaving) hosts.push_back(self_);
  for (const auto& [host, member] : members_) {
    if (!IsLive(member, now) || member.last_heartbeat.is_leaving) continue;
    hosts.push_back(member.last_heartbeat.sender);
  }
  const auto by_rank = [](const HostRecord& a, const HostRecord& b) {
    return WatcherRankOf(a) < WatcherRankOf(b);
  };
  const std::size_t n = std::min(max_count, hosts.size());
  std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(n), hosts.end(),
                    by_rank);
  hosts.resize(n);
  return hosts;
}

std::optional<std::uint64_t> Members::FindHostKey(const base::Endpoint& peers) const {
  for (const auto& [host, member] : members_) {
    if (member.last_heartbeat.sender.peers == peers) return member.key;
  }
  return std::nullopt;
}

base::Instant Members::StoreServedSince(base::Instant heard_after, base::Instant now) const {
  base::Instant since = base::Instant::Never();
  for (const auto& [host, member] : members_) {
    const base::Duration service_time = member.last_heartbeat.store_service_time;
    if (!IsLive(member, now) || member.received_at <= heard_after) continue;
    // The time on the way makes the instant later than it was, which claims less.
    if (service_time > base::Duration()) since = std::min(since, member.received_at - service_time);
  }
  return since;
}

template <typename Condition>
const Heartbeat* Members::FindNearest(base::Incarnation avoided, base::Instant now,
                                      Condition condition) const {
  const Member* best = nullptr;
  // Lower ranks are preferred: any other host before the avoided one, hosts of this region before
  // those of others. The hash spreads the hosts that look for the same thing.
  std::tuple<bool, bool, std::uint64_t> best_rank;
  for (const auto& [host, member] : members_) {
    if (!IsLive(member, now) || !condition(member.last_heartbeat)) continue;
    const std::tuple rank{member.last_heartbeat.incarnation == avoided, !member.is_local,
                          RankOf(member)};
    if (best != nullptr && rank >= best_rank) continue;
    best = &member;
    best_rank = rank;
  }
  return best == nullptr ? nullptr : &best->last_heartbeat;
}

const Heartbeat* Members::FindCatalogSource(base::Incarnation avoided, base::Instant now) const {
  return FindNearest(avoided, now, [](const Heartbeat& it) { return it.has_fresh_catalog; });
}

const Heartbeat* Members::FindWithCatalog(base::Incarnation avoided, base::Instant now) const {
  return FindNearest(avoided, now, [](const Heartbeat& it) { return it.catalog_sequence > 0; });
}

const Heartbeat* Members::FindAhead(const catalog::StorePosition& applied,
                                    base::Incarnation avoided, base::Instant now) const {
  return FindNearest(avoided, now,
                     [&](const Heartbeat& it) { return catalog::IsBehind(applied, it.newest); });
}

const Heartbeat* Members::FindLive(base::Incarnation incarnation, base::Instant now) const {
  return FindNearest(0, now, [&](const Heartbeat& it) { return it.incarnation == incarnation; });
}

std::string_view Members::RegionOf(std::string_view zone) const {
  const auto it = zones_.find(zone);
  if (it == zones_.end()) return {};
  return it->second;
}

std::vector<base::Endpoint> Members::Resolve(std::string_view region, bool is_leaving,
                                             std::size_t max_count, base::Instant now) const {
  using RankedAddress = std::pair<std::uint64_t, base::Endpoint>;
  std::vector<RankedAddress> local;
  std::vector<RankedAddress> all;
  const auto add = [&](std::uint64_t rank, const HostRecord& record) {
    all.emplace_back(rank, record.callers);
    if (RegionOf(record.zone) == region) local.emplace_back(rank, record.callers);
  };
  // Ranked like any other host, so that it is not part of all subsets that it returns itself.
  if (!is_leaving) add(base::Mix(self_key_), self_);
  for (const auto& [host, member] : members_) {
    if (!IsLive(member, now) || member.last_heartbeat.is_leaving) continue;
    add(RankOf(member), member.last_heartbeat.sender);
  }
  std::vector<RankedAddress>& ranked = local.empty() ? all : local;
  if (ranked.empty()) ranked.emplace_back(0, self_.callers);
  if (ranked.size() > max_count) {
    std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(max_count),
                     ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    ranked.resize(max_count);
  }
  std::vector<base::Endpoint> addresses;
  addresses.reserve(ranked.size());
  for (const RankedAddress& it : ranked) addresses.push_back(it.second);
  return addresses;
}

}  // namespace mangonotch::fleet
