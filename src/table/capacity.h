// Capacity of a service: the slots that it can use under its weights and limits.
#pragma once

#include <cstdint>

#include "base/ids.h"
#include "table/table.h"

namespace mangonotch::table {

/// Slots of the service's targets with a weight above 0 in a region, regardless of limits and of
/// the weights of region and zones.
std::uint32_t SlotsInRegion(const Table& table, const Service& service, base::RegionIndex region);

/// Slots that the service can use in a region: the slots of zones with a weight above 0, capped by
/// the limits of zones and region. 0 when the region's weight is 0.
std::uint32_t CapacityInRegion(const Table& table, const Service& service,
                               base::RegionIndex region);

/// Capacity over all regions, in slots.
std::uint32_t Capacity(const Table& table, const Service& service);

/// The service's entry for a region, or null when it has none.
const ServiceRegion* FindServiceRegion(const Service& service, base::RegionIndex region);

}  // namespace mangonotch::table
