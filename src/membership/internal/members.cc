#include "membership/members.h"

#include <algorithm>

#include "base/hash.h"

namespace mangonotch::membership {

namespace {

constexpr base::Duration kSeedGrace = base::Duration::Seconds(5);
constexpr base::Duration kLeastInterval = base::Duration::Milliseconds(500);
constexpr base::Duration kIntervalPerMember = base::Duration::Milliseconds(25);
/// A host is suspected after this many heartbeats missed.
constexpr std::int64_t kMissedHeartbeats = 4;
/// Relayed hosts were heard by another host, and summaries come once a second.
constexpr base::Duration kRelayDelay = base::Duration::Seconds(2);
/// Replaced incarnations kept for each host; older ones are long gone from the network.
constexpr std::size_t kReplacedKept = 8;

}  // namespace

std::uint64_t CandidateRank(std::string_view region, std::string_view host) {
  return base::Hash(host, base::Hash(region));
}

Members::Members(HostInfo self, std::span<const HostInfo> seeds, base::Instant now)
    : self_(self.ref.host) {
  for (const HostInfo& it : seeds) {
    members_[it.ref.host] = Member{.info = it, .live_until = now + kSeedGrace, .replaced = {}};
  }
  members_[self_] =
      Member{.info = std::move(self), .live_until = base::Instant::Never(), .replaced = {}};
}

void Members::SetSelf(const HostInfo& self) { members_[self_].info = self; }

bool Members::IsKnown(std::string_view host) const { return members_.contains(host); }

void Members::OnHostList(std::span<const HostListEntry> entries) {
  for (const HostListEntry& it : entries) {
    const auto [member, is_new] = members_.try_emplace(it.host);
    if (is_new) {
      HostInfo& info = member->second.info;
      info.ref = {it.host, it.peer_address, 0};
      info.region = it.region;
      info.zone = it.zone;
    }
    member->second.listed_leaving = it.leaving;
  }
}

Refusal Members::Check(const Member& member, const HostInfo& sender, base::Instant now) const {
  if (sender.ref.peer_address != member.info.ref.peer_address ||
      sender.region != member.info.region) {
    return Refusal::kMismatch;
  }
  const bool is_replaced = WasReplaced(member, sender.ref.incarnation) && now < member.live_until;
  if (sender.ref.host == self_ || is_replaced) {
    return Refusal::kReplaced;
  }
  return Refusal::kNone;
}

bool Members::WasReplaced(const Member& member, base::Incarnation incarnation) {
  return std::find(member.replaced.begin(), member.replaced.end(), incarnation) !=
         member.replaced.end();
}

bool Members::IsPresent(const Member& member, const HostInfo& sender, base::Instant now) {
  const base::Incarnation present = member.info.ref.incarnation;
  return present == sender.ref.incarnation || present == 0 || now >= member.live_until;
}

void Members::Replace(Member& member, const HostInfo& info) {
  const base::Incarnation former = member.info.ref.incarnation;
  if (former == info.ref.incarnation) {
    return;
  }
  std::erase(member.replaced, info.ref.incarnation);
  if (former != 0) {
    member.replaced.push_back(former);
  }
  if (member.replaced.size() > kReplacedKept) {
    member.replaced.erase(member.replaced.begin());
  }
  member.sequence = 0;
  member.attested = false;
}

void Members::Hear(Member& member, const HostInfo& info, std::uint64_t sequence,
                   base::Instant now) {
  Replace(member, info);
  member.info = info;
  member.sequence = sequence;
  member.challenger = 0;
  member.live_until = now + HeartbeatInterval(info.region, now) * kMissedHeartbeats;
}

Receipt Members::OnHeartbeat(const HostInfo& sender, std::uint64_t sequence, base::Instant now) {
  const auto it = members_.find(sender.ref.host);
  if (it == members_.end()) {
    return {Refusal::kStranger, std::nullopt};
  }
  Member& member = it->second;
  const Refusal refusal = Check(member, sender, now);
  if (refusal != Refusal::kNone) {
    return {refusal, std::nullopt};
  }
  if (!IsPresent(member, sender, now)) {
    return OnChallenger(member, sender, sequence, now);
  }
  const bool is_same = member.info.ref.incarnation == sender.ref.incarnation;
  if (is_same && sequence <= member.sequence) {
    return {};
  }
  const bool is_second = is_same && member.sequence > 0;
  Hear(member, sender, sequence, now);
  member.attested = member.attested || is_second;
  return {Refusal::kNone, member.attested ? std::optional(sender.ref) : std::nullopt};
}

Receipt Members::OnChallenger(Member& member, const HostInfo& sender, std::uint64_t sequence,
                              base::Instant now) {
  if (member.challenger != sender.ref.incarnation || sequence <= member.challenger_sequence) {
    member.challenger = sender.ref.incarnation;
    member.challenger_sequence = sequence;
    return {};
  }
  Hear(member, sender, sequence, now);
  member.attested = true;
  return {Refusal::kNone, sender.ref};
}

std::size_t Members::OnRelayed(std::span<const HostInfo> hosts, base::Instant now) {
  std::size_t unknown = 0;
  for (const HostInfo& it : hosts) {
    const auto found = members_.find(it.ref.host);
    if (found == members_.end()) {
      ++unknown;
      continue;
    }
    Member& member = found->second;
    if (Check(member, it, now) != Refusal::kNone || !IsPresent(member, it, now)) {
      continue;
    }
    Replace(member, it);
    member.info = it;
    const base::Duration term = HeartbeatInterval(it.region, now) * kMissedHeartbeats + kRelayDelay;
    member.live_until = std::max(member.live_until, now + term);
  }
  return unknown;
}

std::vector<HostInfo> Members::Live(std::string_view region, base::Instant now) const {
  std::vector<HostInfo> live;
  for (const auto& [host, member] : members_) {
    if (member.info.region == region && now < member.live_until) {
      live.push_back(member.info);
      live.back().leaving = member.info.leaving || member.listed_leaving;
    }
  }
  return live;
}

std::vector<HostInfo> Members::AllLive(base::Instant now) const {
  std::vector<HostInfo> live;
  for (const auto& [host, member] : members_) {
    if (now < member.live_until) {
      live.push_back(member.info);
    }
  }
  return live;
}

std::vector<HostInfo> Members::Candidates(std::string_view region, base::Instant now) const {
  std::vector<HostInfo> candidates = Live(region, now);
  std::erase_if(candidates, [](const HostInfo& it) { return it.leaving; });
  std::sort(candidates.begin(), candidates.end(), [&](const HostInfo& a, const HostInfo& b) {
    return CandidateRank(region, a.ref.host) > CandidateRank(region, b.ref.host);
  });
  return candidates;
}

base::Duration Members::HeartbeatInterval(std::string_view region, base::Instant now) const {
  std::int64_t n = 0;
  for (const auto& [host, member] : members_) {
    n += member.info.region == region && now < member.live_until ? 1 : 0;
  }
  return std::max(kLeastInterval, kIntervalPerMember * n);
}

}  // namespace mangonotch::membership
