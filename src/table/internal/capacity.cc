// Computes capacities in slots.
#include "table/capacity.h"

#include <algorithm>

namespace mangonotch::table {
namespace {

std::uint32_t SlotsInZone(const Service& service, base::ZoneIndex zone) {
  std::uint32_t slots = 0;
  for (const Target& target : service.targets) {
    slots += target.zone == zone && target.weight > 0 ? target.slots : 0;
  }
  return slots;
}

}  // namespace

std::uint32_t SlotsInRegion(const Table& table, const Service& service, base::RegionIndex region) {
  std::uint32_t slots = 0;
  for (const Target& target : service.targets) {
    slots += table.RegionOf(target.zone) == region && target.weight > 0 ? target.slots : 0;
  }
  return slots;
}

std::uint32_t CapacityInRegion(const Table& table, const Service& service,
                               base::RegionIndex region) {
  const ServiceRegion* entry = FindServiceRegion(service, region);
  if (entry == nullptr || entry->weight == 0) {
    return 0;
  }
  std::uint32_t capacity = 0;
  for (const ServiceZone& zone : service.zones) {
    if (table.RegionOf(zone.zone) == region && zone.weight > 0) {
      capacity += std::min(zone.limit, SlotsInZone(service, zone.zone));
    }
  }
  return std::min(capacity, entry->limit);
}

std::uint32_t Capacity(const Table& table, const Service& service) {
  std::uint32_t capacity = 0;
  for (const ServiceRegion& entry : service.regions) {
    capacity += CapacityInRegion(table, service, entry.region);
  }
  return capacity;
}

const ServiceRegion* FindServiceRegion(const Service& service, base::RegionIndex region) {
  const auto it = std::find_if(service.regions.begin(), service.regions.end(),
                               [&](const ServiceRegion& entry) { return entry.region == region; });
  return it == service.regions.end() ? nullptr : &*it;
}

}  // namespace mangonotch::table
