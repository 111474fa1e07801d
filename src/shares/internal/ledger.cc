// Accounting of the ledger: host reports, grants sent in replies, and expiry.
#include "shares/ledger.h"

#include <algorithm>

namespace mangonotch::shares {

namespace {

/// Demand that is not reported again expires after this time, which exceeds the longest heartbeat
/// interval.
constexpr base::Duration kDemandTerm = base::Duration::Seconds(3);

}  // namespace

Ledger::Ledger(std::string region, const LongestDeadlines& longest_deadlines)
    : region_(std::move(region)), longest_deadlines_(longest_deadlines) {}

void Ledger::BeginEpoch(base::Epoch epoch, std::span<const membership::HostRef> grantees,
                        base::Instant took_over_at) {
  epoch_ = epoch;
  hosts_.clear();
  unreported_grantees_.assign(grantees.begin(), grantees.end());
  const base::Duration longest =
      *std::max_element(longest_deadlines_.begin(), longest_deadlines_.end());
  recovered_at_ = took_over_at + kGrantTerm + longest + kClockMargin;
  std::erase_if(targets_, [](const auto& it) { return it.second.removed; });
  for (auto& [key, target] : targets_) {
    target.claimed = {};
  }
  for (auto& [key, service] : services_) {
    service.claimed = 0;
    service.moved_in = 0;
    service.moves.StartFrom(0, took_over_at);
  }
}

void Ledger::SetTargets(std::span<const TargetSpec> targets, base::Instant now) {
  for (auto& [key, target] : targets_) {
    target.removed = true;
  }
  for (const TargetSpec& it : targets) {
    Target& target = targets_[it.target];
    target.spec = it;
    target.removed = false;
  }
  for (auto& [key, service] : services_) {
    service.targets.clear();
  }
  for (const auto& [key, target] : targets_) {
    services_[target.spec.service].targets.push_back(key);
  }
  Trim(now);
}

void Ledger::SetLimits(std::span<const ServiceLimits> limits, base::Instant now) {
  for (auto& [key, service] : services_) {
    service.limits = {};
  }
  for (const ServiceLimits& it : limits) {
    services_[it.service].limits = it.limits;
  }
  for (auto& [key, service] : services_) {
    service.moves.SetLimits(service.limits, now);
  }
  Trim(now);
}

void Ledger::SetLeaving(base::TargetKey target, bool leaving) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return;
  }
  it->second.leaving = leaving;
  for (const base::WorkClass c : kAllClasses) {
    TrimTarget(it->second, c);
  }
}

void Ledger::SetLongestDeadlines(const LongestDeadlines& longest_deadlines) {
  for (const base::WorkClass c : kAllClasses) {
    base::Duration& present = longest_deadlines_[ClassIndex(c)];
    const base::Duration longer = longest_deadlines[ClassIndex(c)];
    if (longer <= present) {
      continue;
    }
    for (auto& [ref, host] : hosts_) {
      for (auto& [key, line] : host.lines) {
        if (key.work_class == c) {
          line.expires_at = line.expires_at + (longer - present);
        }
      }
    }
    recovered_at_ = recovered_at_ + (longer - present);
    present = longer;
  }
}

bool Ledger::IsRecovering(base::Instant now) const {
  return !unreported_grantees_.empty() && now < recovered_at_;
}

base::Duration Ledger::MaxHoldTime(base::WorkClass c) const {
  return kGrantTerm + longest_deadlines_[ClassIndex(c)] + kClockMargin;
}

std::optional<HeartbeatReply> Ledger::OnHeartbeat(const Heartbeat& heartbeat, bool is_grantee,
                                                  base::Instant now) {
  if (heartbeat.region != region_ || heartbeat.epoch > epoch_) {
    return std::nullopt;
  }
  Host& host = FindOrAdd(heartbeat);
  if (heartbeat.sequence <= host.sequence) {
    return std::nullopt;
  }
  ApplyReport(host, heartbeat, now);
  HeartbeatReply reply;
  reply.region = region_;
  reply.sequence = heartbeat.sequence;
  reply.epoch = epoch_;
  if (is_grantee) {
    if (host.has_joined_epoch && !IsRecovering(now)) {
      AllocateSlots(host, now);
    }
    AddGrants(host, reply, now);
  }
  return reply;
}

Ledger::Host& Ledger::FindOrAdd(const Heartbeat& heartbeat) {
  Host& host = hosts_[heartbeat.sender.ref];
  host.info = heartbeat.sender;
  host.moved_in = heartbeat.sender.region != region_;
  return host;
}

void Ledger::ApplyReport(Host& host, const Heartbeat& heartbeat, base::Instant now) {
  ExpireGrants(host, now);
  const bool had_joined_epoch = host.has_joined_epoch;
  host.sequence = heartbeat.sequence;
  host.silent_at = now + kGrantTerm;
  host.has_joined_epoch = heartbeat.epoch == epoch_;
  const auto unreported =
      std::find(unreported_grantees_.begin(), unreported_grantees_.end(), heartbeat.sender.ref);
  const bool is_inherited = IsRecovering(now) && unreported != unreported_grantees_.end();
  std::map<LineKey, HoldingLine> reported;
  for (const auto& [key, line] : host.lines) {
    reported[key] = {key.target, key.work_class, 0, 0};
  }
  for (const HoldingLine& it : heartbeat.holdings) {
    if (targets_.contains(it.target)) {
      reported[{it.target, it.work_class}] = it;
    }
  }
  for (const auto& [key, line] : reported) {
    ApplyHolding(host, line, host.has_joined_epoch ? heartbeat.applied : 0, is_inherited, now);
    if (!had_joined_epoch) {
      // Before it joined the epoch, the host may have held less than it reported, and replies could
      // not raise its holdings.
      SetGrant(host, key, host.lines[key].held);
    }
  }
  if (host.has_joined_epoch && unreported != unreported_grantees_.end()) {
    unreported_grantees_.erase(unreported);
  }
  ApplyDemand(host, heartbeat, now);
}

void Ledger::ApplyHolding(Host& host, const HoldingLine& reported, std::uint64_t applied,
                          bool is_inherited, base::Instant now) {
  const LineKey key{reported.target, reported.work_class};
  const std::uint32_t room = Headroom(host, key, now);
  Update(host, key, [&](LedgerLine& line) {
    // Only a heartbeat that was sent before the host's grants expired reports more than the claim.
    const std::uint32_t limit = is_inherited ? reported.held : line.Claim() + room;
    line.held = static_cast<std::uint16_t>(std::min<std::uint32_t>(reported.held, limit));
    line.in_use = std::min(reported.in_use, line.held);
    line.Acknowledge(applied);
    if (line.held > 0) {
      line.expires_at = std::max(
          line.expires_at, now + longest_deadlines_[ClassIndex(key.work_class)] + kClockMargin);
    }
  });
  Service& service = services_[targets_.at(key.target).spec.service];
  if (is_inherited && host.moved_in) {
    service.moves.StartFrom(service.moved_in, now);
  }
}

void Ledger::ApplyDemand(Host& host, const Heartbeat& heartbeat, base::Instant now) {
  if (host.info.leaving) {
    // A leaving host's demand ends with its requests. Slots granted for earlier demand would remain
    // claimed after the host has stopped.
    for (auto& [key, demand] : host.demand) demand.wanted = 0;
  }
  for (const DemandLine& it : heartbeat.demand) {
    Demand& demand = host.demand[{it.service, it.work_class}];
    demand.wanted = it.wanted;
    demand.until = now + kDemandTerm;
  }
}

void Ledger::AddGrants(Host& host, HeartbeatReply& reply, base::Instant now) {
  for (auto& [key, line] : host.lines) {
    if (line.Claim() == 0) {
      continue;
    }
    reply.grants.push_back({key.target, key.work_class, line.grant});
    line.RecordSent(reply.sequence);
    if (line.grant > 0) {
      line.expires_at = std::max(line.expires_at, now + MaxHoldTime(key.work_class));
    }
  }
  std::erase_if(host.lines, [](const auto& it) { return it.second.Claim() == 0; });
}

void Ledger::Tick(base::Instant now) {
  for (auto& [ref, host] : hosts_) {
    ExpireGrants(host, now);
  }
  std::erase_if(hosts_, [&](const auto& it) {
    return now >= it.second.silent_at && it.second.lines.empty();
  });
  std::erase_if(targets_, [](const auto& it) {
    return it.second.removed && it.second.claimed[0] + it.second.claimed[1] == 0;
  });
  for (auto& [key, service] : services_) {
    std::erase_if(service.targets, [&](base::TargetKey t) { return !targets_.contains(t); });
  }
  Trim(now);
}

void Ledger::ExpireGrants(Host& host, base::Instant now) {
  const bool is_silent = now >= host.silent_at;
  for (auto it = host.lines.begin(); it != host.lines.end();) {
    const LineKey key = it->first;
    Update(host, key, [&](LedgerLine& line) {
      if (is_silent) {
        line.grant = 0;
      }
      if (now >= line.expires_at) {
        line.held = 0;
        line.sent_grants.clear();
      }
    });
    it = it->second.Claim() == 0 ? host.lines.erase(it) : std::next(it);
  }
}

template <typename Change>
void Ledger::Update(Host& host, const LineKey& key, Change change) {
  const auto target = targets_.find(key.target);
  if (target == targets_.end()) {
    return;
  }
  Service& service = services_[target->second.spec.service];
  LedgerLine& line = host.lines[key];
  const std::uint32_t before = line.Claim();
  change(line);
  const std::uint32_t after = line.Claim();
  std::uint32_t& claimed = target->second.claimed[ClassIndex(key.work_class)];
  claimed = claimed - before + after;
  service.claimed = service.claimed - before + after;
  if (host.moved_in) {
    service.moved_in = service.moved_in - before + after;
  }
}

void Ledger::SetGrant(Host& host, const LineKey& key, std::uint16_t slots) {
  Update(host, key, [&](LedgerLine& line) { line.grant = slots; });
}

/// True if the host is leaving and has neither slots nor demand, so that the next coordinator need
/// not wait for it.
bool Ledger::HasStopped(const Host& host, base::Instant now) {
  return host.info.leaving && host.lines.empty() &&
         std::all_of(host.demand.begin(), host.demand.end(), [&](const auto& it) {
           return it.second.wanted == 0 || now >= it.second.until;
         });
}

std::vector<membership::HostRef> Ledger::WantedGrantees(base::Instant now) const {
  std::vector<membership::HostRef> wanted;
  for (const auto& [ref, host] : hosts_) {
    const bool is_heard = now < host.silent_at && !HasStopped(host, now);
    if (is_heard || !host.lines.empty()) {
      wanted.push_back(ref);
    }
  }
  if (now < recovered_at_) {
    for (const membership::HostRef& it : unreported_grantees_) {
      if (!hosts_.contains(it)) {
        wanted.push_back(it);
      }
    }
  }
  return wanted;
}

std::vector<ServiceUse> Ledger::ServiceUses() const {
  std::vector<ServiceUse> uses;
  for (const auto& [key, service] : services_) {
    ServiceUse use{key, 0, service.claimed, service.moved_in};
    for (const base::TargetKey t : service.targets) {
      use.slots += targets_.at(t).AllSlots();
    }
    uses.push_back(use);
  }
  return uses;
}

}  // namespace mangonotch::shares
