// Membership, liveness and store watcher selection.
#include "fleet/members.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace mangonotch::fleet {
namespace {

/// Two, so that the region still receives store changes when one watcher fails.
constexpr std::uint32_t kWatchersPerRegion = 2;
/// Limits the number of requests to a store that does not respond.
constexpr std::uint32_t kMaxActiveWatchersPerRegion = 5;

/// Hosts with lower ranks, that is higher bandwidth, are selected first.
using WatcherRank = std::pair<std::int64_t, std::uint64_t>;

WatcherRank RankOf(const HostRecord& record) {
  return {-static_cast<std::int64_t>(record.link_mbps), base::Hash(record.host)};
}

}  // namespace

bool Members::OnHeartbeat(const Heartbeat& heartbeat, base::Instant now) {
  if (heartbeat.sender.host == self_.host) return false;
  const auto [it, is_new] = members_.try_emplace(heartbeat.sender.host);
  Member& member = it->second;
  const bool is_same_incarnation =
      !is_new && member.last_heartbeat.incarnation == heartbeat.incarnation;
  if (is_same_incarnation && heartbeat.sequence <= member.last_heartbeat.sequence) return false;
  member = {
      .last_heartbeat = heartbeat, .received_at = now, .is_local = IsInOwnRegion(heartbeat.sender)};
  AddContact(heartbeat.sender.peers, now);
  for (const base::Endpoint& contact : heartbeat.contacts) {
    const bool is_known = std::any_of(contacts_.begin(), contacts_.end(),
                                      [&](const auto& known) { return known.first == contact; });
    // A contact reported by another host does not refresh a known address, which may be long out of
    // use.
    if (!is_known) AddContact(contact, now);
  }
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

Members::ContactLists Members::Contacts() const {
  std::map<std::pair<base::IpAddress, std::uint16_t>, bool> is_local_host;
  for (const auto& [host, member] : members_) {
    const base::Endpoint& peers = member.last_heartbeat.sender.peers;
    is_local_host[{peers.address, peers.port}] = member.is_local;
  }
  ContactLists lists;
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

bool Members::IsLive(const Member& member, base::Instant now) const {
  const base::Duration limit = member.is_local ? timing_.local_timeout : timing_.remote_timeout;
  return now - member.received_at <= limit;
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
  const WatcherRank own_rank = RankOf(self_);
  std::uint32_t fresh_count = 0;
  std::uint32_t watching_count = 0;
  for (const auto& [host, member] : members_) {
    const bool is_before = RankOf(member.last_heartbeat.sender) < own_rank;
    if (!is_before || !member.is_local || !IsLive(member, now) ||
        member.last_heartbeat.is_leaving) {
      continue;
    }
    fresh_count += member.last_heartbeat.has_fresh_catalog ? 1 : 0;
    watching_count += member.last_heartbeat.watches_store ? 1 : 0;
  }
  return fresh_count < kWatchersPerRegion && watching_count < kMaxActiveWatchersPerRegion;
}

template <typename Condition>
const Heartbeat* Members::FindNearest(base::Incarnation avoided, base::Instant now,
                                      Condition condition) const {
  const Member* best = nullptr;
  // Lower ranks are preferred: any other host before the avoided one, hosts of this region before
  // those of others.
  std::pair<bool, bool> best_rank;
  for (const auto& [host, member] : members_) {
    if (!IsLive(member, now) || !condition(member.last_heartbeat)) continue;
    const std::pair rank{member.last_heartbeat.incarnation == avoided, !member.is_local};
    if (best != nullptr && rank >= best_rank) continue;
    best = &member;
    best_rank = rank;
  }
  return best == nullptr ? nullptr : &best->last_heartbeat;
}

const Heartbeat* Members::FindCatalogSource(base::Incarnation avoided, base::Instant now) const {
  return FindNearest(avoided, now, [](const Heartbeat& it) { return it.has_fresh_catalog; });
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
  std::vector<base::Endpoint> local;
  std::vector<base::Endpoint> all;
  const auto add = [&](const HostRecord& record) {
    all.push_back(record.callers);
    if (RegionOf(record.zone) == region) local.push_back(record.callers);
  };
  if (!is_leaving) add(self_);
  for (const auto& [host, member] : members_) {
    if (IsLive(member, now) && !member.last_heartbeat.is_leaving) add(member.last_heartbeat.sender);
  }
  std::vector<base::Endpoint> addresses = local.empty() ? std::move(all) : std::move(local);
  if (addresses.empty()) addresses.push_back(self_.callers);
  if (addresses.size() > max_count) addresses.resize(max_count);
  return addresses;
}

}  // namespace mangonotch::fleet
