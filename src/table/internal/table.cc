// Converts the table from and to JSON.
#include "table/table.h"

#include <utility>

#include "jsonc/fault.h"
#include "jsonc/parse.h"
#include "jsonc/print.h"
#include "jsonc/value.h"
#include "table/internal/table_reader.h"

namespace mangonotch::table {
namespace {

using jsonc::Value;

Value Text(std::string_view text) { return Value(std::string(text)); }
Value Number(std::uint64_t n) { return Value(static_cast<std::int64_t>(n)); }

Value Object(const std::vector<std::pair<std::string_view, Value>>& fields) {
  Value::Object object;
  for (const auto& [name, value] : fields) {
    object.push_back({std::string(name), 0, value});
  }
  return Value(std::move(object));
}

template <typename Range, typename Make>
Value Array(const Range& range, Make make) {
  Value::Array array;
  for (const auto& item : range) {
    array.push_back(make(item));
  }
  return Value(std::move(array));
}

Value ToValue(const HistoryEntry& entry) {
  return Object({{"edit_id", Text(entry.edit_id)},
                 {"revision", Number(entry.revision)},
                 {"author", Text(entry.author)},
                 {"time_unix_ms", Value(entry.time_unix_ms)},
                 {"summary", Text(entry.summary)}});
}

Value ToValue(const Table& table, std::size_t region) {
  Value::Array zones;
  for (const Zone& zone : table.zones) {
    if (zone.region.value == region) {
      zones.push_back(Text(zone.name));
    }
  }
  Value::Object distances;
  for (std::size_t i = 0; i < table.regions.size(); ++i) {
    if (i != region) {
      distances.push_back({table.regions[i].name, 0, Number(table.regions[region].distance_ms[i])});
    }
  }
  return Object({{"name", Text(table.regions[region].name)},
                 {"zones", Value(std::move(zones))},
                 {"distance_ms", Value(std::move(distances))}});
}

Value ToValue(const Route& route) {
  return Object({{"prefix", Text(route.prefix)},
                 {"class", Text(route.work_class == base::WorkClass::kLong ? "long" : "short")},
                 {"idempotent_methods", Array(route.idempotent_methods, Text)}});
}

Value ToValue(const Table& table, const Service& service) {
  const auto region = [&](const ServiceRegion& entry) {
    return Object(
        {{"region", Text(table.RegionName(entry.region))},
         {"weight", Number(entry.weight)},
         {"limit", Number(entry.limit)},
         {"moved_in_cap_percent", Number(entry.moved_in_cap_percent)},
         {"moved_in_ramp_percent_per_minute", Number(entry.moved_in_ramp_percent_per_minute)}});
  };
  const auto zone = [&](const ServiceZone& entry) {
    return Object({{"zone", Text(table.ZoneName(entry.zone))},
                   {"weight", Number(entry.weight)},
                   {"limit", Number(entry.limit)}});
  };
  const auto target = [&](const Target& entry) {
    return Object({{"address", Text(entry.address)},
                   {"zone", Text(table.ZoneName(entry.zone))},
                   {"slots", Number(entry.slots)},
                   {"weight", Number(entry.weight)}});
  };
  return Object(
      {{"name", Text(service.name)},
       {"short_deadline_ms", Number(service.short_deadline_ms)},
       {"long_deadline_ms", Number(service.long_deadline_ms)},
       {"queue_limit", Number(service.queue_limit)},
       {"long_slot_percent", Number(service.long_slot_percent)},
       {"routes", Array(service.routes, [](const Route& route) { return ToValue(route); })},
       {"regions", Array(service.regions, region)},
       {"zones", Array(service.zones, zone)},
       {"targets", Array(service.targets, target)}});
}

}  // namespace

Table Table::Parse(std::string_view text, std::string_view file) {
  const Value root = jsonc::Parse(text, file, {.max_bytes = kMaxTableBytes});
  jsonc::FaultList faults(file);
  Table table = internal::TableReader(root, faults).Read();
  faults.ThrowIfAny("check table");
  return table;
}

std::string Table::ToJson() const {
  Value::Array region_values;
  for (std::size_t i = 0; i < regions.size(); ++i) {
    region_values.push_back(ToValue(*this, i));
  }
  const auto link = [&](const Link& entry) {
    return Object({{"from", Text(RegionName(entry.from))},
                   {"to", Text(RegionName(entry.to))},
                   {"bytes_per_s", Number(entry.bytes_per_s)}});
  };
  const auto client = [&](const ClientBlock& entry) {
    return Object({{"block", Text(entry.block)},
                   {"region", Text(RegionName(entry.region))},
                   {"zone", Text(ZoneName(entry.zone))}});
  };
  return jsonc::Print(
      Object({{"revision", Number(revision)},
              {"author", Text(author)},
              {"time_unix_ms", Value(time_unix_ms)},
              {"edit_id", Text(edit_id)},
              {"history", Array(history, [](const HistoryEntry& entry) { return ToValue(entry); })},
              {"lookup_ttl_ms", Number(lookup_ttl_ms)},
              {"regions", Value(std::move(region_values))},
              {"links", Array(links, link)},
              {"clients", Array(clients, client)},
              {"services",
               Array(services, [&](const Service& service) { return ToValue(*this, service); })}}));
}

}  // namespace mangonotch::table
