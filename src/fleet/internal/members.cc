// Bookkeeping of the other hosts.
#include "fleet/members.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace mangonotch::fleet {
namespace {

/// Two, so that the loss of one leaves the region informed.
constexpr std::uint32_t kWatchersPerRegion = 2;
/// Bounds the calls to a store that does not answer.
constexpr std::uint32_t kMostTryingPerRegion = 5;

/// Lower ranks watch first.
using WatcherRank = std::pair<std::int64_t, std::uint64_t>;

WatcherRank RankOf(const HostRecord& record) {
  return {-static_cast<std::int64_t>(record.link_mbps), base::Hash(record.host)};
}

}  // namespace

bool Members::OnHeartbeat(const Heartbeat& heartbeat, base::Instant now) {
  if (heartbeat.sender.host == self_.host) return false;
  const auto [it, is_new] = members_.try_emplace(heartbeat.sender.host);
  Member& member = it->second;
  const bool is_same_run = !is_new && member.last.incarnation == heartbeat.incarnation;
  if (is_same_run && heartbeat.sequence <= member.last.sequence) return false;
  member = {.last = heartbeat, .heard_at = now};
  AddContact(heartbeat.sender.peers, now);
  for (const base::Endpoint& contact : heartbeat.contacts) {
    const bool is_known = std::any_of(contacts_.begin(), contacts_.end(),
                                      [&](const auto& known) { return known.first == contact; });
    // A contact that others name is not refreshed: it may be long dead.
    if (!is_known) AddContact(contact, now);
  }
  return true;
}

void Members::AddContact(const base::Endpoint& peers, base::Instant now) {
  if (peers == self_.peers) return;
  for (auto& [contact, named_at] : contacts_) {
    if (contact == peers) {
      named_at = now;
      return;
    }
  }
  contacts_.emplace_back(peers, now);
}

void Members::Expire(base::Instant now) {
  std::erase_if(members_,
                [&](const auto& it) { return now - it.second.heard_at > timing_.memory; });
  std::erase_if(contacts_,
                [&](const auto& it) { return now - it.second > timing_.contact_memory; });
}

Members::ContactLists Members::Contacts() const {
  std::map<std::pair<base::IpAddress, std::uint16_t>, bool> heard;
  for (const auto& [host, member] : members_) {
    const base::Endpoint& peers = member.last.sender.peers;
    heard[{peers.address, peers.port}] = IsLocal(member);
  }
  ContactLists lists;
  for (const auto& [contact, named_at] : contacts_) {
    const auto it = heard.find({contact.address, contact.port});
    if (it == heard.end()) {
      lists.unheard.push_back(contact);
    } else {
      (it->second ? lists.local : lists.remote).push_back(contact);
    }
  }
  return lists;
}

bool Members::IsLive(const Member& member, base::Instant now) const {
  const base::Duration limit = IsLocal(member) ? timing_.silence : timing_.remote_silence;
  return now - member.heard_at <= limit;
}

std::uint32_t Members::CountForSums(base::Instant now) const {
  std::uint32_t n = 1;
  for (const auto& [host, member] : members_) {
    if (now - member.heard_at <= timing_.memory) ++n;
  }
  return n;
}

std::uint32_t Members::CountLive(base::Instant now) const {
  std::uint32_t n = 1;
  for (const auto& [host, member] : members_) n += IsLive(member, now) ? 1 : 0;
  return n;
}

std::vector<std::uint64_t> Members::LocalKeys(base::Instant now) const {
  std::vector<std::uint64_t> keys;
  for (const auto& [host, member] : members_) {
    const bool may_live = now - member.heard_at <= timing_.memory;
    if (may_live && IsLocal(member)) keys.push_back(base::Hash(host));
  }
  return keys;
}

std::vector<TargetLoad> Members::PeerLoads(base::Instant now) const {
  std::map<std::uint64_t, std::uint32_t> sums;
  for (const auto& [host, member] : members_) {
    if (!IsLive(member, now)) continue;
    for (const TargetLoad& it : member.last.loads) sums[it.target_key] += it.in_flight;
  }
  std::vector<TargetLoad> loads;
  loads.reserve(sums.size());
  for (const auto& [key, in_flight] : sums) loads.push_back({key, in_flight});
  return loads;
}

bool Members::ShouldWatchStore(base::Instant now) const {
  const WatcherRank own_rank = RankOf(self_);
  std::uint32_t fresh = 0;
  std::uint32_t trying = 0;
  for (const auto& [host, member] : members_) {
    const bool is_before = RankOf(member.last.sender) < own_rank;
    if (!is_before || !IsLocal(member) || !IsLive(member, now) || member.last.is_leaving) continue;
    fresh += member.last.has_fresh_catalog ? 1 : 0;
    trying += member.last.watches_store ? 1 : 0;
  }
  return fresh < kWatchersPerRegion && trying < kMostTryingPerRegion;
}

const Heartbeat* Members::FindFreshCatalog(base::Instant now) const {
  const Member* best = nullptr;
  for (const auto& [host, member] : members_) {
    if (!IsLive(member, now) || !member.last.has_fresh_catalog) continue;
    if (best == nullptr || (IsLocal(member) && !IsLocal(*best))) best = &member;
  }
  return best == nullptr ? nullptr : &best->last;
}

std::string_view Members::RegionOf(std::string_view zone) const {
  const auto it = zones_.find(zone);
  if (it == zones_.end()) return {};
  return it->second;
}

std::vector<base::Endpoint> Members::Resolve(std::string_view region, bool is_leaving,
                                             std::size_t most, base::Instant now) const {
  std::vector<base::Endpoint> local;
  std::vector<base::Endpoint> all;
  const auto add = [&](const HostRecord& record) {
    all.push_back(record.callers);
    if (RegionOf(record.zone) == region) local.push_back(record.callers);
  };
  if (!is_leaving) add(self_);
  for (const auto& [host, member] : members_) {
    if (IsLive(member, now) && !member.last.is_leaving) add(member.last.sender);
  }
  std::vector<base::Endpoint> answer = local.empty() ? std::move(all) : std::move(local);
  if (answer.empty()) answer.push_back(self_.callers);
  if (answer.size() > most) answer.resize(most);
  return answer;
}

}  // namespace mangonotch::fleet
