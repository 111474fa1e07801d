// Compares two tables and collects the risks of the edit.
#include "table/risk.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>

#include "table/capacity.h"

namespace mangonotch::table {
namespace {

using Warnings = std::vector<RiskWarning>;

std::string Number(double x) {
  const auto tenths = static_cast<std::int64_t>(std::llround(x * 10));
  std::string text = std::to_string(tenths / 10);
  return tenths % 10 == 0 ? text : text + "." + std::to_string(tenths % 10);
}

const Service* FindService(const Table& table, std::string_view name) {
  const auto it = std::find_if(table.services.begin(), table.services.end(),
                               [&](const Service& service) { return service.name == name; });
  return it == table.services.end() ? nullptr : &*it;
}

/// Share of each region, by name, in the service's total weight, in percent.
std::map<std::string, double> WeightShares(const Table& table, const Service& service) {
  double sum = 0;
  for (const ServiceRegion& entry : service.regions) {
    sum += entry.weight;
  }
  std::map<std::string, double> shares;
  for (const ServiceRegion& entry : service.regions) {
    shares[table.RegionName(entry.region)] = sum > 0 ? 100.0 * entry.weight / sum : 0;
  }
  return shares;
}

void CheckWeightShares(const Table& before, const Service& old_service, const Table& after,
                       const Service& new_service, Warnings& warnings) {
  std::map<std::string, double> old_shares = WeightShares(before, old_service);
  std::map<std::string, double> new_shares = WeightShares(after, new_service);
  for (const auto& [region, share] : old_shares) {
    new_shares.emplace(region, 0);
  }
  double shifted = 0;
  std::string detail;
  for (const auto& [region, share] : new_shares) {
    const double old_share = old_shares[region];
    shifted += std::max(0.0, share - old_share);
    if (share != old_share) {
      detail += (detail.empty() ? "" : ", ") + region + " " + Number(old_share) + "% -> " +
                Number(share) + "%";
    }
  }
  if (shifted >= kShiftedWeightWarningPercent) {
    warnings.push_back({Risk::kWeightShifted, new_service.name, "", 0, shifted, detail});
  }
}

/// The entries of one region before and after the edit; null on a side that has none.
struct RegionPair {
  std::string name;
  const ServiceRegion* before = nullptr;
  const ServiceRegion* after = nullptr;
  std::uint32_t capacity_before = 0;
  std::uint32_t capacity_after = 0;
  std::uint32_t slots_before = 0;
  std::uint32_t slots_after = 0;
};

std::vector<RegionPair> PairRegions(const Table& before, const Service& old_service,
                                    const Table& after, const Service& new_service) {
  std::map<std::string, RegionPair> pairs;
  for (const ServiceRegion& entry : old_service.regions) {
    RegionPair& pair = pairs[before.RegionName(entry.region)];
    pair.before = &entry;
    pair.capacity_before = CapacityInRegion(before, old_service, entry.region);
    pair.slots_before = SlotsInRegion(before, old_service, entry.region);
  }
  for (const ServiceRegion& entry : new_service.regions) {
    RegionPair& pair = pairs[after.RegionName(entry.region)];
    pair.after = &entry;
    pair.capacity_after = CapacityInRegion(after, new_service, entry.region);
    pair.slots_after = SlotsInRegion(after, new_service, entry.region);
  }
  std::vector<RegionPair> list;
  for (auto& [name, pair] : pairs) {
    pair.name = name;
    list.push_back(std::move(pair));
  }
  return list;
}

void CheckRegion(const std::string& service, const RegionPair& pair, Warnings& warnings) {
  const auto warn = [&](Risk risk, double before, double after) {
    warnings.push_back({risk, service, pair.name, before, after, ""});
  };
  if (pair.capacity_after < pair.capacity_before) {
    warn(Risk::kCapacityReduced, pair.capacity_before, pair.capacity_after);
  }
  if (pair.after == nullptr) {
    return;
  }
  const bool was_below = pair.before != nullptr && pair.before->limit < pair.slots_before;
  const bool changed = pair.before == nullptr || pair.before->limit != pair.after->limit ||
                       pair.slots_before != pair.slots_after;
  if (pair.after->limit < pair.slots_after && (!was_below || changed)) {
    warn(Risk::kLimitBelowSlots, pair.slots_after, pair.after->limit);
  }
  const bool had_no_capacity =
      pair.before != nullptr && pair.before->weight > 0 && pair.capacity_before == 0;
  if (pair.after->weight > 0 && pair.capacity_after == 0 && !had_no_capacity) {
    warn(Risk::kRegionWithoutCapacity, pair.capacity_before, 0);
  }
  if (pair.before == nullptr) {
    return;
  }
  if (pair.after->moved_in_cap_percent > pair.before->moved_in_cap_percent) {
    warn(Risk::kMovedInCapRaised, pair.before->moved_in_cap_percent,
         pair.after->moved_in_cap_percent);
  }
  if (pair.after->moved_in_ramp_percent_per_minute >
      pair.before->moved_in_ramp_percent_per_minute) {
    warn(Risk::kMovedInRampRaised, pair.before->moved_in_ramp_percent_per_minute,
         pair.after->moved_in_ramp_percent_per_minute);
  }
}

std::string AddedIdempotentMethods(const Service& before, const Service& after, double& count) {
  std::string detail;
  for (const Route& route : after.routes) {
    const auto old_route =
        std::find_if(before.routes.begin(), before.routes.end(),
                     [&](const Route& entry) { return entry.prefix == route.prefix; });
    for (const std::string& method : route.idempotent_methods) {
      const bool is_known =
          old_route != before.routes.end() &&
          std::find(old_route->idempotent_methods.begin(), old_route->idempotent_methods.end(),
                    method) != old_route->idempotent_methods.end();
      if (!is_known) {
        ++count;
        detail += (detail.empty() ? "" : ", ") + method + " " + route.prefix;
      }
    }
  }
  return detail;
}

/// Removed routes whose requests now match a shorter prefix with idempotent methods, so that the
/// requests may be retried.
std::string RoutesLeftToWiderPrefix(const Service& before, const Service& after, double& count) {
  std::string detail;
  for (const Route& route : before.routes) {
    const auto kept = std::find_if(after.routes.begin(), after.routes.end(),
                                   [&](const Route& r) { return r.prefix == route.prefix; });
    const auto wider = std::find_if(after.routes.begin(), after.routes.end(), [&](const Route& r) {
      return !r.idempotent_methods.empty() && route.prefix.rfind(r.prefix, 0) == 0;
    });
    if (kept == after.routes.end() && wider != after.routes.end()) {
      ++count;
      detail += (detail.empty() ? "" : ", ") + route.prefix + " now under " + wider->prefix;
    }
  }
  return detail;
}

void CheckService(const Service& before, const Service& after, Warnings& warnings) {
  const auto warn = [&](Risk risk, double a, double b, std::string detail) {
    warnings.push_back({risk, after.name, "", a, b, std::move(detail)});
  };
  if (before.long_slot_percent != after.long_slot_percent) {
    warn(Risk::kLongSlotPercentChanged, before.long_slot_percent, after.long_slot_percent, "");
  }
  if (after.short_deadline_ms < before.short_deadline_ms) {
    warn(Risk::kDeadlineLowered, before.short_deadline_ms, after.short_deadline_ms,
         "short requests");
  }
  if (after.long_deadline_ms < before.long_deadline_ms) {
    warn(Risk::kDeadlineLowered, before.long_deadline_ms, after.long_deadline_ms, "long requests");
  }
  double methods = 0;
  std::string detail = AddedIdempotentMethods(before, after, methods);
  const std::string widened = RoutesLeftToWiderPrefix(before, after, methods);
  detail += (detail.empty() || widened.empty() ? "" : ", ") + widened;
  if (methods > 0) {
    warn(Risk::kRetriesAllowed, 0, methods, detail);
  }
}

void CheckClients(const Table& before, const Table& after, Warnings& warnings) {
  std::map<std::string_view, std::string_view> old_regions;
  for (const ClientBlock& client : before.clients) {
    old_regions[client.block] = before.RegionName(client.region);
  }
  double moved = 0;
  std::string detail;
  for (const ClientBlock& client : after.clients) {
    const auto it = old_regions.find(client.block);
    if (it != old_regions.end() && it->second != after.RegionName(client.region)) {
      ++moved;
      detail = detail.empty() ? client.block + " first" : detail;
    }
  }
  if (moved > 0) {
    warnings.push_back({Risk::kClientRegionChanged, "", "", 0, moved, detail});
  }
}

}  // namespace

std::string RiskWarning::Text() const {
  std::string text = service.empty() ? "" : "service " + service;
  text += region.empty() ? "" : ", region " + region;
  text += text.empty() ? "" : ": ";
  const std::string more = detail.empty() ? "" : " (" + detail + ")";
  const std::string change = "from " + Number(before) + " to " + Number(after);
  switch (risk) {
    case Risk::kWeightShifted:
      return text + Number(after) + "% of its weight shifts to another region" + more;
    case Risk::kCapacityReduced:
      return text + "capacity falls " + change + " slots";
    case Risk::kLimitBelowSlots:
      return text + "the limit of " + Number(after) + " slots is below the " + Number(before) +
             " slots of its targets, so some stay unused";
    case Risk::kRegionWithoutCapacity:
      return text +
             "has a weight above 0 but no capacity, so all its requests must move to other "
             "regions, "
             "up to their moved-in caps";
    case Risk::kMovedInCapRaised:
      return text + "moved-in cap rises " + change + "% of the limit";
    case Risk::kMovedInRampRaised:
      return text + "moved-in ramp rises " + change + " percentage points per minute";
    case Risk::kLongSlotPercentChanged:
      return text + "slots for long requests change " + change + "%; short requests get the rest";
    case Risk::kDeadlineLowered:
      return text + "requests that exceed the lower deadline are cut off: deadline " + change +
             " ms" + more;
    case Risk::kRetriesAllowed:
      return text + "requests that currently run at most once may be retried" + more;
    case Risk::kServiceRemoved:
      return text + "is removed with " + Number(before) + " slots; its requests will be refused";
    case Risk::kClientRegionChanged:
      return text + Number(after) + " client blocks are assigned to another home region" + more;
  }
  return text;
}

std::vector<RiskWarning> AssessRisks(const Table& before, const Table& after) {
  Warnings warnings;
  for (const Service& old_service : before.services) {
    const Service* new_service = FindService(after, old_service.name);
    if (new_service == nullptr) {
      const double capacity = Capacity(before, old_service);
      warnings.push_back({Risk::kServiceRemoved, old_service.name, "", capacity, 0, ""});
      continue;
    }
    CheckWeightShares(before, old_service, after, *new_service, warnings);
    for (const RegionPair& pair : PairRegions(before, old_service, after, *new_service)) {
      CheckRegion(old_service.name, pair, warnings);
    }
    CheckService(old_service, *new_service, warnings);
  }
  CheckClients(before, after, warnings);
  return warnings;
}

}  // namespace mangonotch::table
