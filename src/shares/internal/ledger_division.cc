// Allocation of slots by demand. A host with demand gets free slots first, preferably of targets in
// its own zone. If none are free, idle slots of other hosts are recalled, then busy slots of hosts
// that hold more than the requesting host. Hosts of the region without demand get an equal share of
// the free slots, so that their first request need not wait.
#include <algorithm>
#include <tuple>

#include "shares/ledger.h"

namespace mangonotch::shares {

namespace {

/// A slot is not recalled within this time after its grant, so that slots do not move back and
/// forth.
constexpr base::Duration kMinIdleHold = base::Duration::Seconds(1);
/// Extra time before a busy slot is recalled: recalling it improves fairness but frees no capacity.
constexpr base::Duration kExtraBusyHold = base::Duration::Seconds(1);

}  // namespace

std::uint32_t Ledger::GrantedSlots(const Host& host, const DemandKey& key) const {
  std::uint32_t n = 0;
  for (const base::TargetKey t : services_.at(key.service).targets) {
    const auto it = host.lines.find({t, key.work_class});
    n += it == host.lines.end() ? 0 : it->second.grant;
  }
  return n;
}

std::uint32_t Ledger::IdleSlots(const Host& host, const DemandKey& key) const {
  std::uint32_t n = 0;
  for (const base::TargetKey t : services_.at(key.service).targets) {
    const auto it = host.lines.find({t, key.work_class});
    if (it != host.lines.end() && it->second.grant > it->second.in_use) {
      n += it->second.grant - it->second.in_use;
    }
  }
  return n;
}

std::uint32_t Ledger::SlotsInRecall(const DemandKey& key) const {
  std::uint32_t n = 0;
  for (const auto& [ref, host] : hosts_) {
    for (const base::TargetKey t : services_.at(key.service).targets) {
      const auto it = host.lines.find({t, key.work_class});
      n += it == host.lines.end() ? 0 : it->second.Claim() - it->second.grant;
    }
  }
  return n;
}

Ledger::UnmetDemand Ledger::UnmetDemandOf(const DemandKey& key, base::Instant now) const {
  UnmetDemand unmet_demand;
  for (const auto& [ref, host] : hosts_) {
    const auto it = host.demand.find(key);
    if (it != host.demand.end() && now < it->second.until && it->second.unmet > 0) {
      ++unmet_demand.hosts;
      unmet_demand.slots += it->second.unmet;
    }
  }
  return unmet_demand;
}

std::uint32_t Ledger::SlotsOwedToOthers(const Host& host, const DemandKey& key,
                                        base::Instant now) const {
  const Demand& own = host.demand.at(key);
  const std::uint32_t own_granted = GrantedSlots(host, key);
  std::uint32_t n = 0;
  for (const auto& [ref, other] : hosts_) {
    const auto it = other.demand.find(key);
    if (&other == &host || it == other.demand.end() || now >= it->second.until) {
      continue;
    }
    const Demand& demand = it->second;
    if (own.unmet == 0 || other.moved_in != host.moved_in) {
      n += own.unmet == 0 || host.moved_in ? demand.unmet : 0;
      continue;
    }
    const std::uint32_t granted = GrantedSlots(other, key);
    const bool waits_longer = demand.unmet_since < own.unmet_since;
    const std::uint32_t level = own_granted + (waits_longer ? 1 : 0);
    n += level > granted ? std::min(demand.unmet, level - granted) : 0;
  }
  return n;
}

std::uint32_t Ledger::FairShare(const Host& host, const DemandKey& key, base::Instant now) const {
  if (host.moved_in || host.info.leaving) {
    return 0;
  }
  const Service& service = services_.at(key.service);
  std::uint32_t of_class = 0;
  std::uint32_t all = 0;
  for (const base::TargetKey t : service.targets) {
    of_class += targets_.at(t).Slots(key.work_class);
    all += targets_.at(t).AllSlots();
  }
  std::uint32_t n = 0;
  for (const auto& [ref, other] : hosts_) {
    n += !other.moved_in && !other.info.leaving && now < other.silent_at ? 1 : 0;
  }
  if (n == 0 || all == 0) {
    return 0;
  }
  const std::uint64_t limited = std::min(all, service.limits.region_limit);
  return static_cast<std::uint32_t>(limited * of_class / all / n);
}

/// Recalls the idle slots of a leaving host, which keeps only slots that it uses or asks for, so
/// that no slot has to expire after the host has stopped.
void Ledger::RecallIdleSlots(Host& host) {
  std::vector<LineKey> idle;
  for (const auto& [key, line] : host.lines) {
    if (line.grant > line.in_use) idle.push_back(key);
  }
  for (const LineKey& key : idle) SetGrant(host, key, host.lines[key].in_use);
}

void Ledger::AllocateSlots(Host& host, base::Instant now) {
  if (host.info.leaving) {
    RecallIdleSlots(host);
  }
  for (const auto& [service, unused] : services_) {
    for (const base::WorkClass c : kAllClasses) {
      AllocateForDemand(host, {service, c}, now);
    }
  }
}

void Ledger::AllocateForDemand(Host& host, const DemandKey& key, base::Instant now) {
  Demand& demand = host.demand[key];
  const std::uint32_t wanted = now < demand.until ? demand.wanted : 0;
  const std::uint32_t idle = IdleSlots(host, key);
  std::uint32_t granted = GrantedSlots(host, key);
  const std::uint32_t needed = granted + (wanted > idle ? wanted - idle : 0);
  if (needed > granted && demand.unmet == 0) {
    demand.unmet_since = now;
  }
  demand.unmet = needed - granted;
  const std::uint32_t goal = std::max(needed, FairShare(host, key, now));
  while (granted < goal && GrantOne(host, key, now)) {
    ++granted;
    demand.unmet = needed > granted ? needed - granted : 0;
  }
  if (demand.unmet > 0) {
    RecallFor(host, key, now);
  }
}

bool Ledger::HasLineRoom(const Host& host, const DemandKey& key) const {
  const auto n = std::count_if(host.lines.begin(), host.lines.end(), [&](const auto& it) {
    if (it.first.work_class != key.work_class) return false;
    const auto target = targets_.find(it.first.target);
    return target != targets_.end() && target->second.spec.service == key.service;
  });
  const std::size_t max_lines = kMaxLinesPerHost / (services_.size() * base::kWorkClasses);
  return static_cast<std::size_t>(n) < std::max<std::size_t>(max_lines, 1);
}

bool Ledger::GrantOne(Host& host, const DemandKey& key, base::Instant now) {
  const std::uint32_t owed = SlotsOwedToOthers(host, key, now);
  if (owed > 0 && FreeSlots(key) + SlotsInRecall(key) <= owed) {
    return false;
  }
  const bool has_line_room = HasLineRoom(host, key);
  const LineKey* best = nullptr;
  LineKey best_key;
  std::tuple<bool, int, std::uint32_t> best_score;
  for (const base::TargetKey t : services_.at(key.service).targets) {
    const LineKey line_key{t, key.work_class};
    if (!MayRaise(host, line_key, now)) {
      continue;
    }
    const auto it = host.lines.find(line_key);
    if (it == host.lines.end() && !has_line_room) {
      continue;
    }
    const int granted = it == host.lines.end() ? 0 : it->second.grant;
    const std::tuple score(targets_.at(t).spec.zone == host.info.zone, -granted,
                           Headroom(host, line_key, now));
    if (best == nullptr || score > best_score) {
      best_key = line_key;
      best = &best_key;
      best_score = score;
    }
  }
  if (best == nullptr) {
    return false;
  }
  const std::uint16_t grant = host.lines[best_key].grant;
  SetGrant(host, best_key, grant + 1);
  host.lines[best_key].keep_until = now + kMinIdleHold;
  host.demand[key].unmet_since = now;
  return true;
}

void Ledger::RecallFor(const Host& host, const DemandKey& key, base::Instant now) {
  Service& service = services_.at(key.service);
  if (host.moved_in && service.moved_in >= service.moves.Allowed(service.moved_in, now)) {
    return;
  }
  const UnmetDemand unmet_demand = UnmetDemandOf(key, now);
  std::uint32_t available_soon = SlotsInRecall(key) + FreeSlots(key);
  while (available_soon < unmet_demand.slots && RecallOne(host, key, false, now)) {
    ++available_soon;
  }
  if (!host.moved_in && available_soon < unmet_demand.hosts) {
    RecallOne(host, key, true, now);
  }
}

bool Ledger::RecallOne(const Host& host, const DemandKey& key, bool busy, base::Instant now) {
  const std::uint32_t own = GrantedSlots(host, key);
  Host* donor = nullptr;
  LineKey donor_key;
  std::tuple<std::uint32_t, bool, base::Duration> best;
  for (auto& [ref, other] : hosts_) {
    if (&other == &host) {
      continue;
    }
    const auto demand = other.demand.find(key);
    const bool has_demand = demand != other.demand.end() && now < demand->second.until;
    const std::uint32_t wanted = has_demand ? demand->second.wanted : 0;
    const std::uint32_t granted = GrantedSlots(other, key);
    // If there are fewer slots than hosts, the slots rotate, so that no host with demand starves.
    const bool may_give = busy ? granted >= own + 2 || own == 0 : IdleSlots(other, key) > wanted;
    for (const base::TargetKey t : services_.at(key.service).targets) {
      const auto it = other.lines.find({t, key.work_class});
      if (!may_give || it == other.lines.end() || it->second.grant == 0) {
        continue;
      }
      const LedgerLine& line = it->second;
      const bool is_due = busy ? now >= line.keep_until + kExtraBusyHold
                               : line.grant > line.in_use && now >= line.keep_until;
      if (!is_due) {
        continue;
      }
      const bool is_foreign_zone = targets_.at(t).spec.zone != other.info.zone;
      const std::tuple score(granted, is_foreign_zone, now - line.keep_until);
      if (donor == nullptr || score > best) {
        donor = &other;
        donor_key = it->first;
        best = score;
      }
    }
  }
  if (donor == nullptr) {
    return false;
  }
  SetGrant(*donor, donor_key, donor->lines[donor_key].grant - 1);
  return true;
}

}  // namespace mangonotch::shares
