// The limits of the ledger: headroom for raising a grant, and lowering grants that exceed a limit.
#include <algorithm>

#include "shares/ledger.h"

namespace mangonotch::shares {

namespace {

std::uint32_t SubtractOrZero(std::uint32_t a, std::uint32_t b) { return a > b ? a - b : 0; }

}  // namespace

std::uint32_t Ledger::Headroom(const Host& host, const LineKey& key, base::Instant now) {
  const auto it = targets_.find(key.target);
  if (it == targets_.end()) {
    return 0;
  }
  const Target& target = it->second;
  Service& service = services_[target.spec.service];
  std::uint32_t room =
      SubtractOrZero(target.Slots(key.work_class), target.claimed[ClassIndex(key.work_class)]);
  room = std::min(room, SubtractOrZero(target.AllSlots(), target.claimed[0] + target.claimed[1]));
  room = std::min(room, SubtractOrZero(service.limits.region_limit, service.claimed));
  if (host.moved_in) {
    const std::uint32_t allowed = service.moves.Allowed(service.moved_in, now);
    room = std::min(room, SubtractOrZero(allowed, service.moved_in));
  }
  return room;
}

bool Ledger::MayRaise(const Host& host, const LineKey& key, base::Instant now) {
  const auto line = host.lines.find(key);
  const bool is_recalled = line != host.lines.end() && line->second.grant < line->second.MaxHeld();
  if (!is_recalled) {
    return Headroom(host, key, now) > 0;
  }
  // The slot is still claimed by this host, so only a limit lowered in the meantime prevents the
  // raise.
  const Target& target = targets_.at(key.target);
  Service& service = services_.at(target.spec.service);
  const bool is_moved_over =
      host.moved_in && service.moved_in > service.moves.Allowed(service.moved_in, now);
  return target.claimed[ClassIndex(key.work_class)] <= target.Slots(key.work_class) &&
         target.claimed[0] + target.claimed[1] <= target.AllSlots() &&
         service.claimed <= service.limits.region_limit && !is_moved_over;
}

std::uint32_t Ledger::FreeSlots(const DemandKey& key) const {
  const auto service = services_.find(key.service);
  if (service == services_.end()) {
    return 0;
  }
  std::uint32_t free = 0;
  for (const base::TargetKey t : service->second.targets) {
    const Target& target = targets_.at(t);
    const std::uint32_t by_class =
        SubtractOrZero(target.Slots(key.work_class), target.claimed[ClassIndex(key.work_class)]);
    free += std::min(by_class,
                     SubtractOrZero(target.AllSlots(), target.claimed[0] + target.claimed[1]));
  }
  return std::min(free,
                  SubtractOrZero(service->second.limits.region_limit, service->second.claimed));
}

void Ledger::Trim(base::Instant now) {
  for (const auto& [key, target] : targets_) {
    for (const base::WorkClass c : kAllClasses) {
      TrimTarget(target, c);
    }
  }
  for (auto& [key, service] : services_) {
    TrimService(service, service.limits.region_limit, false);
    TrimService(service, service.moves.Allowed(service.moved_in, now), true);
  }
}

void Ledger::TrimTarget(const Target& target, base::WorkClass c) {
  const LineKey key{target.spec.target, c};
  while (true) {
    std::uint32_t sum = 0;
    Host* largest = nullptr;
    std::uint16_t largest_grant = 0;
    for (auto& [ref, host] : hosts_) {
      const auto it = host.lines.find(key);
      const std::uint16_t grant = it == host.lines.end() ? std::uint16_t{0} : it->second.grant;
      sum += grant;
      if (grant > largest_grant) {
        largest_grant = grant;
        largest = &host;
      }
    }
    if (sum <= target.Slots(c)) {
      return;
    }
    SetGrant(*largest, key, largest_grant - 1);
  }
}

void Ledger::TrimService(const Service& service, std::uint32_t limit, bool moved_only) {
  while (true) {
    std::uint32_t sum = 0;
    Host* largest = nullptr;
    LineKey largest_key;
    std::uint16_t largest_grant = 0;
    for (auto& [ref, host] : hosts_) {
      if (moved_only && !host.moved_in) {
        continue;
      }
      for (const base::TargetKey t : service.targets) {
        for (const base::WorkClass c : kAllClasses) {
          const auto it = host.lines.find({t, c});
          const std::uint16_t grant = it == host.lines.end() ? std::uint16_t{0} : it->second.grant;
          sum += grant;
          if (grant > largest_grant) {
            largest = &host;
            largest_key = {t, c};
            largest_grant = grant;
          }
        }
      }
    }
    if (sum <= limit) {
      return;
    }
    SetGrant(*largest, largest_key, largest_grant - 1);
  }
}

}  // namespace mangonotch::shares
