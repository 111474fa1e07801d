// The operators' table: one revision of the configuration that steers traffic. Plain data in which
// regions and zones are referred to by index instead of by name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/ip_address.h"

namespace mangonotch::table {

/// Limit of the key-value service for one value.
inline constexpr std::size_t kMaxTableBytes = 1'000'000;
/// Number of edits kept in the history. An edit whose response was lost looks for its identifier
/// there, and finds it unless this many later edits were made meanwhile.
inline constexpr std::size_t kHistoryLength = 64;
/// Upper bound of `lookup_ttl_ms`. A leaving host serves until lookups cached for this long have
/// expired.
inline constexpr std::uint32_t kMaxLookupTtlMs = 30'000;

/// One accepted edit.
struct HistoryEntry {
  std::string edit_id;
  base::Revision revision = 0;
  std::string author;
  /// Milliseconds since 1970-01-01 UTC.
  std::int64_t time_unix_ms = 0;
  std::string summary;

  bool operator==(const HistoryEntry&) const = default;
};

struct Zone {
  std::string name;
  base::RegionIndex region;

  bool operator==(const Zone&) const = default;
};

struct Region {
  std::string name;
  /// One-way latency to each region, by region index; 0 to itself.
  std::vector<std::uint32_t> distance_ms;

  bool operator==(const Region&) const = default;
};

/// Bandwidth between two regions in one direction.
struct Link {
  base::RegionIndex from;
  base::RegionIndex to;
  std::uint64_t bytes_per_s = 0;

  bool operator==(const Link&) const = default;
};

/// A block of client addresses with the region and zone of its clients.
struct ClientBlock {
  /// As written: "10.1.0.0/16" or "2001:db8::/32".
  std::string block;
  base::IpAddress address;
  /// Length of the prefix as written: at most 32 for IPv4, 128 for IPv6.
  std::uint8_t prefix_length = 0;
  base::RegionIndex region;
  base::ZoneIndex zone;

  bool operator==(const ClientBlock&) const = default;
};

/// Applies to requests whose path starts with `prefix`, in whole path segments.
struct Route {
  std::string prefix;
  base::WorkClass work_class = base::WorkClass::kShort;
  /// Methods treated as idempotent in addition to GET, HEAD, OPTIONS, PUT and DELETE.
  std::vector<std::string> idempotent_methods;

  bool operator==(const Route&) const = default;
};

/// Weight and limits of a service in one region.
struct ServiceRegion {
  base::RegionIndex region;
  /// Preferred share of the service's load, relative to the other regions; 0 takes the region out
  /// of use for this service.
  std::uint32_t weight = 0;
  /// Maximum number of the service's slots in use in the region, at least 1.
  std::uint32_t limit = 0;
  /// Maximum load moved in from other regions, in percent of `limit`.
  std::uint32_t moved_in_cap_percent = 0;
  /// Maximum growth of the load moved in, in percentage points of `limit` per minute.
  std::uint32_t moved_in_ramp_percent_per_minute = 0;

  bool operator==(const ServiceRegion&) const = default;
};

struct ServiceZone {
  base::ZoneIndex zone;
  /// Preferred share of the region's load, relative to its other zones; 0 takes the zone out of use
  /// for this service.
  std::uint32_t weight = 0;
  /// Maximum number of the service's slots in use in the zone, at least 1.
  std::uint32_t limit = 0;

  bool operator==(const ServiceZone&) const = default;
};

struct Target {
  /// IP address and port, unique in the table.
  std::string address;
  base::ZoneIndex zone;
  /// Maximum number of concurrent requests to the target, over all entry hosts.
  std::uint32_t slots = 0;
  /// Relative preference; with 0 the target gets no new requests.
  std::uint32_t weight = 0;
  base::TargetKey key;

  bool operator==(const Target&) const = default;
};

struct Service {
  std::string name;
  base::ServiceKey key;
  /// Default and maximum deadline of a request, per class.
  std::uint32_t short_deadline_ms = 10'000;
  std::uint32_t long_deadline_ms = 60'000;
  /// Maximum number of requests waiting for a slot, per entry host and class.
  std::uint32_t queue_limit = 0;
  /// Share of a region's slots that long requests may use; the rest is for short ones.
  std::uint32_t long_slot_percent = 0;
  std::vector<Route> routes;
  std::vector<ServiceRegion> regions;
  std::vector<ServiceZone> zones;
  std::vector<Target> targets;

  bool operator==(const Service&) const = default;
};

struct Table {
  base::Revision revision = 0;
  std::string author;
  /// Milliseconds since 1970-01-01 UTC.
  std::int64_t time_unix_ms = 0;
  /// Random identifier of the edit that created this revision.
  std::string edit_id;
  /// Oldest first, at most kHistoryLength. Revisions increase and edit identifiers are unique.
  std::vector<HistoryEntry> history;
  /// How long callers may cache a lookup.
  std::uint32_t lookup_ttl_ms = 5'000;
  std::vector<Region> regions;
  std::vector<Zone> zones;
  std::vector<Link> links;
  std::vector<ClientBlock> clients;
  std::vector<Service> services;

  /// Parses and validates `text`; `file` is its name in faults. Throws jsonc::FaultError with all
  /// faults.
  static Table Parse(std::string_view text, std::string_view file);
  /// Formats as JSON that `Parse` reads back to an equal table.
  std::string ToJson() const;

  const std::string& RegionName(base::RegionIndex region) const {
    return regions[region.value].name;
  }
  const std::string& ZoneName(base::ZoneIndex zone) const { return zones[zone.value].name; }
  base::RegionIndex RegionOf(base::ZoneIndex zone) const { return zones[zone.value].region; }

  bool operator==(const Table&) const = default;
};

}  // namespace mangonotch::table
