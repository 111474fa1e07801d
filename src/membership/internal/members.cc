#include "membership/members.h"

#include <algorithm>

#include "base/hash.h"

namespace mangonotch::membership {

namespace {

constexpr base::Duration kSeedGrace = base::Duration::Seconds(5);
constexpr base::Duration kMinHeartbeatInterval = base::Duration::Milliseconds(500);
constexpr base::Duration kIntervalPerMember = base::Duration::Milliseconds(25);
/// A host no longer counts as live after this many missed heartbeats.
constexpr std::int64_t kMissedHeartbeats = 4;
/// Extra time for relayed hosts: another host received their heartbeats, and summaries are sent
/// once a second.
constexpr base::Duration kRelayDelay = base::Duration::Seconds(2);
/// Replaced incarnations kept per host. The network no longer carries messages of older ones.
constexpr std::size_t kMaxReplacedIncarnations = 8;

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

Refusal Members::CheckSender(const Member& member, const HostInfo& sender,
                             base::Instant now) const {
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

bool Members::CanAcceptIncarnation(const Member& member, const HostInfo& sender,
                                   base::Instant now) {
  const base::Incarnation current = member.info.ref.incarnation;
  return current == sender.ref.incarnation || current == 0 || now >= member.live_until;
}

void Members::UpdateIncarnation(Member& member, const HostInfo& info) {
  const base::Incarnation former = member.info.ref.incarnation;
  if (former == info.ref.incarnation) {
    return;
  }
  std::erase(member.replaced, info.ref.incarnation);
  if (former != 0) {
    member.replaced.push_back(former);
  }
  if (member.replaced.size() > kMaxReplacedIncarnations) {
    member.replaced.erase(member.replaced.begin());
  }
  member.sequence = 0;
  member.confirmed = false;
}

void Members::AcceptHeartbeat(Member& member, const HostInfo& info, std::uint64_t sequence,
                              base::Instant now) {
  UpdateIncarnation(member, info);
  member.info = info;
  member.sequence = sequence;
  member.pending_incarnation = 0;
  member.live_until = now + HeartbeatInterval(info.region, now) * kMissedHeartbeats;
}

HeartbeatResult Members::OnHeartbeat(const HostInfo& sender, std::uint64_t sequence,
                                     base::Instant now) {
  const auto it = members_.find(sender.ref.host);
  if (it == members_.end()) {
    return {Refusal::kUnknownHost, std::nullopt};
  }
  Member& member = it->second;
  const Refusal refusal = CheckSender(member, sender, now);
  if (refusal != Refusal::kNone) {
    return {refusal, std::nullopt};
  }
  if (!CanAcceptIncarnation(member, sender, now)) {
    return OnPendingIncarnation(member, sender, sequence, now);
  }
  const bool is_same = member.info.ref.incarnation == sender.ref.incarnation;
  if (is_same && sequence <= member.sequence) {
    return {};
  }
  const bool is_second = is_same && member.sequence > 0;
  AcceptHeartbeat(member, sender, sequence, now);
  member.confirmed = member.confirmed || is_second;
  return {Refusal::kNone, member.confirmed ? std::optional(sender.ref) : std::nullopt};
}

HeartbeatResult Members::OnPendingIncarnation(Member& member, const HostInfo& sender,
                                              std::uint64_t sequence, base::Instant now) {
  if (member.pending_incarnation != sender.ref.incarnation || sequence <= member.pending_sequence) {
    member.pending_incarnation = sender.ref.incarnation;
    member.pending_sequence = sequence;
    return {};
  }
  AcceptHeartbeat(member, sender, sequence, now);
  member.confirmed = true;
  return {Refusal::kNone, sender.ref};
}

std::size_t Members::OnRelayedHosts(std::span<const HostInfo> hosts, base::Instant now) {
  std::size_t unknown = 0;
  for (const HostInfo& it : hosts) {
    const auto found = members_.find(it.ref.host);
    if (found == members_.end()) {
      ++unknown;
      continue;
    }
    Member& member = found->second;
    if (CheckSender(member, it, now) != Refusal::kNone || !CanAcceptIncarnation(member, it, now)) {
      continue;
    }
    UpdateIncarnation(member, it);
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
  return std::max(kMinHeartbeatInterval, kIntervalPerMember * n);
}

}  // namespace mangonotch::membership
