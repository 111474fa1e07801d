// Implementation of control::SteeringTable.
#include "control/steering_table.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "table/capacity.h"

namespace mangonotch::control {
namespace {

constexpr std::uint32_t kFullWeight = 1000;

template <typename Items>
std::optional<std::uint32_t> FindByName(const Items& items, std::string_view name) {
  const auto it =
      std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.name == name; });
  if (it == items.end()) return std::nullopt;
  return static_cast<std::uint32_t>(it - items.begin());
}

std::uint32_t RegionWeight(const table::Service& service, base::RegionIndex region) {
  const auto* entry = table::FindServiceRegion(service, region);
  return entry == nullptr ? 0 : entry->weight;
}

std::uint32_t ZoneWeight(const table::Service& service, base::ZoneIndex zone) {
  const auto it = std::find_if(service.zones.begin(), service.zones.end(),
                               [&](const auto& entry) { return entry.zone == zone; });
  return it == service.zones.end() ? kFullWeight : it->weight;
}

std::vector<topology::ClientBlock> ClientBlocks(const table::Table& table) {
  std::vector<topology::ClientBlock> blocks;
  blocks.reserve(table.clients.size());
  for (const table::ClientBlock& it : table.clients) {
    const auto prefix = topology::ParsePrefix(it.block);
    if (prefix) blocks.push_back({*prefix, {it.region, it.zone}});
  }
  return blocks;
}

using TargetPointers = std::span<const table::Target* const>;

/// Slots of each target, reduced by one slot per target in turn until each zone is within its
/// limit.
std::vector<std::uint32_t> SlotsWithinZoneLimits(const table::Service& service,
                                                 TargetPointers targets) {
  std::vector<std::uint32_t> slots;
  for (const auto* it : targets) slots.push_back(it->slots);
  for (const table::ServiceZone& zone : service.zones) {
    std::uint32_t all = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      if (targets[i]->zone == zone.zone) all += slots[i];
    }
    for (std::size_t i = 0; all > zone.limit; i = (i + 1) % targets.size()) {
      if (targets[i]->zone != zone.zone || slots[i] == 0) continue;
      --slots[i];
      --all;
    }
  }
  return slots;
}

/// Distributes `percent` of the region's slots over its targets, one slot per target in turn.
std::vector<std::uint16_t> LongSlots(std::span<const std::uint32_t> slots, std::uint32_t percent) {
  std::uint32_t all = 0;
  for (const std::uint32_t n : slots) all += n;
  std::uint32_t left = all * percent / 100;
  // A service that allows long work gets a long slot in each region with more than one slot.
  if (percent > 0 && left == 0 && all > 1) left = 1;
  std::vector<std::uint16_t> out(slots.size(), 0);
  while (left > 0) {
    const std::uint32_t before = left;
    for (std::size_t i = 0; i < slots.size() && left > 0; ++i) {
      if (out[i] >= slots[i]) continue;
      ++out[i];
      --left;
    }
    if (left == before) break;
  }
  return out;
}

}  // namespace

SteeringTable::SteeringTable(table::Table table, std::string text)
    : table_(std::make_shared<const table::Table>(std::move(table))),
      text_(std::move(text)),
      classifier_(*table_),
      clients_(ClientBlocks(*table_)) {
  for (const table::Service& service : table_->services) {
    PrepareTargets(service);
    PreparePreferences(service);
    // Service names and addresses contain no '/', so no other target or service has these keys.
    moved_places_.push_back({base::MakeTargetKey(service.name, "/moved-in"),
                             base::MakeServiceKey(service.name + "/moved-in")});
  }
}

void SteeringTable::PrepareTargets(const table::Service& service) {
  const base::ServiceIndex index{static_cast<std::uint32_t>(targets_.size())};
  std::vector<admission::Target> usable;
  for (std::uint32_t r = 0; r < table_->regions.size(); ++r) {
    const base::RegionIndex region{r};
    std::vector<const table::Target*> targets;
    for (const table::Target& it : service.targets) {
      if (table_->RegionOf(it.zone) == region) targets.push_back(&it);
    }
    const auto slots = SlotsWithinZoneLimits(service, targets);
    const auto long_slots = LongSlots(slots, service.long_slot_percent);
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const table::Target& target = *targets[i];
      places_[target.key.value] = {
          .service = index,
          .region = region,
          .zone = target.zone,
          .address = target.address,
          .short_slots = static_cast<std::uint16_t>(slots[i] - long_slots[i]),
          .long_slots = long_slots[i]};
      target_keys_.push_back(target.key);
      const std::uint32_t weight = target.weight * ZoneWeight(service, target.zone);
      if (weight == 0 || RegionWeight(service, region) == 0) continue;
      usable.push_back(
          {.key = target.key, .region = region, .zone = target.zone, .weight = weight});
    }
  }
  targets_.push_back(std::move(usable));
}

void SteeringTable::PreparePreferences(const table::Service& service) {
  std::uint32_t highest = 0;
  for (const auto& it : service.regions) highest = std::max(highest, it.weight);
  std::vector<std::vector<admission::RegionPreference>> by_home;
  for (std::uint32_t h = 0; h < table_->regions.size(); ++h) {
    const base::RegionIndex home{h};
    const std::uint32_t home_weight = RegionWeight(service, home);
    const std::uint32_t kept = highest == 0 ? 0 : kFullWeight * home_weight / highest;
    std::uint32_t others = 0;
    for (const auto& it : service.regions) others += it.region == home ? 0 : it.weight;
    std::vector<admission::RegionPreference> list;
    for (const auto& it : service.regions) {
      if (it.weight == 0) continue;
      const auto moved =
          others == 0 ? 0 : static_cast<std::uint32_t>((kFullWeight - kept) * it.weight / others);
      list.push_back({it.region, it.region == home ? kept : moved});
    }
    const auto& distance = table_->regions[h].distance_ms;
    std::stable_sort(list.begin(), list.end(), [&](const auto& a, const auto& b) {
      const auto rank = [&](const auto& x) {
        return std::tuple(x.region != home, distance[x.region.value]);
      };
      return rank(a) < rank(b);
    });
    by_home.push_back(std::move(list));
  }
  preferences_.push_back(std::move(by_home));
}

std::optional<base::ServiceIndex> SteeringTable::FindService(std::string_view name) const {
  return classifier_.FindService(name);
}

std::optional<base::RegionIndex> SteeringTable::FindRegion(std::string_view name) const {
  const auto n = FindByName(table_->regions, name);
  return n ? std::optional(base::RegionIndex{*n}) : std::nullopt;
}

std::optional<base::ZoneIndex> SteeringTable::FindZone(std::string_view name) const {
  const auto n = FindByName(table_->zones, name);
  return n ? std::optional(base::ZoneIndex{*n}) : std::nullopt;
}

std::optional<base::ServiceIndex> SteeringTable::FindMovedPlaces(base::TargetKey target) const {
  const auto it = std::find_if(moved_places_.begin(), moved_places_.end(),
                               [&](const MovedPlaces& places) { return places.target == target; });
  if (it == moved_places_.end()) return std::nullopt;
  return base::ServiceIndex{static_cast<std::uint32_t>(it - moved_places_.begin())};
}

const TargetPlace* SteeringTable::FindTarget(base::TargetKey key) const {
  const auto it = places_.find(key.value);
  return it == places_.end() ? nullptr : &it->second;
}

}  // namespace mangonotch::control
