// Reads the services of a table: routes, limits of regions and zones, targets.
#include <algorithm>
#include <set>
#include <utility>

#include "base/endpoint.h"
#include "table/capacity.h"
#include "table/internal/table_reader.h"

namespace mangonotch::table::internal {
namespace {

using jsonc::IntegerRange;
using jsonc::Reader;

constexpr IntegerRange kWeight = {0, 1'000, "relative weight"};
constexpr IntegerRange kLimit = {1, 1'000'000, "slots"};
constexpr IntegerRange kTargetSlots = {1, 10'000, "slots"};
constexpr IntegerRange kDeadlineMs = {1, 3'600'000, "ms"};
constexpr IntegerRange kQueueLimit = {1, 100'000, "requests"};
constexpr IntegerRange kCapPercent = {1, 100, "percent of the limit"};
constexpr IntegerRange kRampPercent = {1, 100, "percentage points per minute"};
// 100 would leave no slot for short requests.
constexpr IntegerRange kLongPercent = {0, 99, "percent of the slots"};

std::uint32_t Read32(Reader& reader, std::string_view field, const IntegerRange& range) {
  return static_cast<std::uint32_t>(reader.Integer(field, range));
}

std::uint32_t Read32Or(Reader& reader, std::string_view field, const IntegerRange& range,
                       std::uint32_t fallback) {
  return static_cast<std::uint32_t>(reader.IntegerOr(field, range, fallback));
}

std::string Twice(std::string_view text) { return '"' + std::string(text) + "\" twice"; }

}  // namespace

void TableReader::ReadServices() {
  std::set<std::string> names;
  std::map<base::ServiceKey, std::string> keys;
  std::vector<Reader> readers = root_.Objects("services");
  if (readers.empty()) {
    root_.AddFault("services", "at least one service", "none");
  }
  for (Reader& reader : readers) {
    Service service = ReadService(reader);
    const auto [it, is_new_key] = keys.emplace(service.key, service.name);
    if (!names.insert(service.name).second) {
      reader.AddFault("name", "a unique service name", Twice(service.name));
    } else if (!is_new_key) {
      reader.AddFault("name",
                      "another name, since its message key collides with that of " + it->second,
                      '"' + service.name + '"');
    }
    table_.services.push_back(std::move(service));
  }
}

Service TableReader::ReadService(Reader& reader) {
  Service service;
  const std::size_t faults_before = faults_.faults().size();
  service.name = ReadName(reader, "name");
  service.key = base::MakeServiceKey(service.name);
  service.short_deadline_ms =
      Read32Or(reader, "short_deadline_ms", kDeadlineMs, service.short_deadline_ms);
  service.long_deadline_ms =
      Read32Or(reader, "long_deadline_ms", kDeadlineMs, service.long_deadline_ms);
  if (service.long_deadline_ms < service.short_deadline_ms) {
    reader.AddFault("long_deadline_ms", "at least short_deadline_ms",
                    std::to_string(service.long_deadline_ms));
  }
  service.queue_limit = Read32(reader, "queue_limit", kQueueLimit);
  const std::size_t faults_before_percent = faults_.faults().size();
  service.long_slot_percent = Read32(reader, "long_slot_percent", kLongPercent);
  const bool refuses_long =
      service.long_slot_percent == 0 && faults_.faults().size() == faults_before_percent;
  std::set<std::string> prefixes;
  for (Reader& route_reader : reader.ObjectsIfAny("routes")) {
    Route route = ReadRoute(route_reader);
    if (!prefixes.insert(route.prefix).second) {
      route_reader.AddFault("prefix", "a unique prefix", Twice(route.prefix));
    }
    if (route.work_class == base::WorkClass::kLong && refuses_long) {
      route_reader.AddFault("class", "short, since long_slot_percent is 0", "long");
    }
    service.routes.push_back(std::move(route));
  }
  ReadServiceRegions(reader, service);
  ReadServiceZones(reader, service);
  ReadTargets(reader, service);
  reader.RefuseUnknownFields();
  // Missing capacity is usually a consequence of another fault in the service, so it is reported
  // only when there is none.
  if (faults_.faults().size() == faults_before) {
    CheckCapacity(reader, service);
  }
  return service;
}

Route TableReader::ReadRoute(Reader& reader) {
  Route route;
  route.prefix = reader.String("prefix");
  if (reader.Has("prefix") && (route.prefix.empty() || route.prefix.front() != '/' ||
                               route.prefix.find_first_of("?#%\\ ") != std::string::npos ||
                               HasControlCharacter(route.prefix))) {
    reader.AddFault(
        "prefix", "a path with a leading slash, without ?, #, %, \\, spaces and control characters",
        '"' + route.prefix + '"');
  }
  const std::string name = reader.String("class");
  if (name == "long") {
    route.work_class = base::WorkClass::kLong;
  } else if (name != "short" && reader.Has("class")) {
    reader.AddFault("class", "short or long", '"' + name + '"');
  }
  for (jsonc::StringItem& method : reader.StringsIfAny("idempotent_methods")) {
    const auto is_upper = [](char c) { return c >= 'A' && c <= 'Z'; };
    if (method.text.empty() || !std::all_of(method.text.begin(), method.text.end(), is_upper)) {
      faults_.Add(method.line, method.path, "a method name in upper case", '"' + method.text + '"');
    }
    route.idempotent_methods.push_back(std::move(method.text));
  }
  reader.RefuseUnknownFields();
  return route;
}

void TableReader::ReadServiceRegions(Reader& reader, Service& service) {
  for (Reader& item : reader.Objects("regions")) {
    ServiceRegion entry;
    const std::size_t faults_before = faults_.faults().size();
    const auto region = RegionField(item, "region");
    entry.weight = Read32(item, "weight", kWeight);
    entry.limit = Read32(item, "limit", kLimit);
    entry.moved_in_cap_percent = Read32(item, "moved_in_cap_percent", kCapPercent);
    entry.moved_in_ramp_percent_per_minute =
        Read32(item, "moved_in_ramp_percent_per_minute", kRampPercent);
    item.RefuseUnknownFields();
    if (faults_.faults().size() == faults_before &&
        entry.limit * std::uint64_t{entry.moved_in_cap_percent} < 100) {
      item.AddFault("moved_in_cap_percent",
                    "at least 1 slot of the limit of " + std::to_string(entry.limit),
                    std::to_string(entry.moved_in_cap_percent) + "%, which is less than 1 slot");
    }
    if (!region) {
      continue;
    }
    entry.region = *region;
    if (FindServiceRegion(service, *region) != nullptr) {
      item.AddFault("region", "a unique region", Twice(table_.RegionName(*region)));
    }
    service.regions.push_back(entry);
  }
}

void TableReader::ReadServiceZones(Reader& reader, Service& service) {
  std::set<base::ZoneIndex> seen;
  for (Reader& item : reader.Objects("zones")) {
    ServiceZone entry;
    const auto zone = ZoneField(item, "zone");
    entry.weight = Read32(item, "weight", kWeight);
    entry.limit = Read32(item, "limit", kLimit);
    item.RefuseUnknownFields();
    if (!zone) {
      continue;
    }
    entry.zone = *zone;
    if (!seen.insert(*zone).second) {
      item.AddFault("zone", "a unique zone", Twice(table_.ZoneName(*zone)));
    }
    if (FindServiceRegion(service, table_.RegionOf(*zone)) == nullptr) {
      item.AddFault("zone", "a zone of a region in this service's regions",
                    '"' + table_.ZoneName(*zone) + '"');
    }
    service.zones.push_back(entry);
  }
}

void TableReader::ReadTargets(Reader& reader, Service& service) {
  for (Reader& item : reader.Objects("targets")) {
    Target target;
    target.address = item.String("address");
    const auto zone = ZoneField(item, "zone");
    target.slots = Read32(item, "slots", kTargetSlots);
    target.weight = Read32(item, "weight", kWeight);
    item.RefuseUnknownFields();
    target.key = base::MakeTargetKey(service.name, target.address);
    if (item.Has("address") && !base::ParseEndpoint(target.address)) {
      item.AddFault("address", "ip:port, such as 10.0.0.1:8080", '"' + target.address + '"');
    }
    // Unique over all services, so that the slots of an address are not counted twice.
    const auto [it, is_new] = addresses_.emplace(target.address, service.name);
    const auto [key_it, is_new_key] =
        target_keys_.emplace(target.key, service.name + " " + target.address);
    if (!is_new) {
      item.AddFault("address", "a unique address over all services",
                    '"' + target.address + "\" also in " + it->second);
    } else if (!is_new_key) {
      item.AddFault(
          "address",
          "another address, since its message key collides with that of " + key_it->second,
          '"' + target.address + '"');
    }
    if (!zone) {
      continue;
    }
    target.zone = *zone;
    const auto is_zone = [&](const ServiceZone& entry) { return entry.zone == *zone; };
    if (std::none_of(service.zones.begin(), service.zones.end(), is_zone)) {
      item.AddFault("zone", "a zone in this service's zones", '"' + table_.ZoneName(*zone) + '"');
    }
    service.targets.push_back(std::move(target));
  }
}

void TableReader::CheckCapacity(Reader& reader, const Service& service) {
  if (Capacity(table_, service) == 0) {
    reader.AddFault(
        "",
        "a region with a zone and a target in it, all with a weight above 0, so that the "
        "service has capacity",
        "none");
  }
}

}  // namespace mangonotch::table::internal
