// Room of a service: the slots that its weights and limits let it use.
#pragma once

#include <cstdint>

#include "base/ids.h"
#include "table/table.h"

namespace mangonotch::table {

/// Slots of the service's targets in a region that have a weight above 0, regardless of limits and
/// of the weights of region and zones.
std::uint32_t SlotsInRegion(const Table& table, const Service& service, base::RegionIndex region);

/// Slots that the service may use in a region: those of zones with a weight above 0, bounded by the
/// limits of zones and region. 0 when the region's weight is 0.
std::uint32_t RoomInRegion(const Table& table, const Service& service, base::RegionIndex region);

/// Room over all regions.
std::uint32_t Room(const Table& table, const Service& service);

/// The service's entry for a region, or null.
const ServiceRegion* FindServiceRegion(const Service& service, base::RegionIndex region);

}  // namespace mangonotch::table
