// Flattens a table into records.
#include "table/internal/records.h"

#include <utility>

namespace mangonotch::table::internal {
namespace {

std::string Text(std::uint64_t n) { return std::to_string(n); }

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text.empty() ? "none" : text;
}

void AddRegions(const Table& table, std::vector<Record>& records) {
  for (const Region& region : table.regions) {
    Record record{Subject::kRegion, "region " + region.name, {}};
    for (std::size_t i = 0; i < table.regions.size(); ++i) {
      if (table.regions[i].name != region.name) {
        record.fields.push_back(
            {"distance to " + table.regions[i].name, Text(region.distance_ms[i]), "ms"});
      }
    }
    records.push_back(std::move(record));
  }
  for (const Zone& zone : table.zones) {
    records.push_back(
        {Subject::kZone, "zone " + zone.name, {{"region", table.RegionName(zone.region), ""}}});
  }
  for (const Link& link : table.links) {
    records.push_back(
        {Subject::kLink,
         "link from " + table.RegionName(link.from) + " to " + table.RegionName(link.to),
         {{"bandwidth", Text(link.bytes_per_s), "bytes/s"}}});
  }
  for (const ClientBlock& client : table.clients) {
    records.push_back({Subject::kClientBlock,
                       "client block " + client.block,
                       {{"region", table.RegionName(client.region), ""},
                        {"zone", table.ZoneName(client.zone), ""}}});
  }
}

void AddService(const Table& table, const Service& service, std::vector<Record>& records) {
  const std::string name = "service " + service.name;
  records.push_back({Subject::kService,
                     name,
                     {{"short deadline", Text(service.short_deadline_ms), "ms"},
                      {"long deadline", Text(service.long_deadline_ms), "ms"},
                      {"queue limit", Text(service.queue_limit), "requests"},
                      {"slots for long requests", Text(service.long_slot_percent), "%"}}});
  for (const Route& route : service.routes) {
    const bool is_long = route.work_class == base::WorkClass::kLong;
    records.push_back({Subject::kRoute,
                       name + ", route " + route.prefix,
                       {{"class", is_long ? "long" : "short", ""},
                        {"idempotent methods", Join(route.idempotent_methods), ""}}});
  }
  for (const ServiceRegion& entry : service.regions) {
    records.push_back({Subject::kServiceRegion,
                       name + ", region " + table.RegionName(entry.region),
                       {{"weight", Text(entry.weight), ""},
                        {"limit", Text(entry.limit), "slots"},
                        {"moved-in cap", Text(entry.moved_in_cap_percent), "%"},
                        {"moved-in ramp", Text(entry.moved_in_ramp_percent_per_minute),
                         "percentage points/min"}}});
  }
  for (const ServiceZone& entry : service.zones) {
    records.push_back(
        {Subject::kServiceZone,
         name + ", zone " + table.ZoneName(entry.zone),
         {{"weight", Text(entry.weight), ""}, {"limit", Text(entry.limit), "slots"}}});
  }
  for (const Target& target : service.targets) {
    records.push_back({Subject::kTarget,
                       name + ", target " + target.address,
                       {{"zone", table.ZoneName(target.zone), ""},
                        {"slots", Text(target.slots), ""},
                        {"weight", Text(target.weight), ""}}});
  }
}

}  // namespace

std::vector<Record> Flatten(const Table& table) {
  std::vector<Record> records;
  records.push_back(
      {Subject::kTable, "table", {{"lookup time to live", Text(table.lookup_ttl_ms), "ms"}}});
  AddRegions(table, records);
  for (const Service& service : table.services) {
    AddService(table, service, records);
  }
  return records;
}

}  // namespace mangonotch::table::internal
