// Formats the sections of a table.
#include "table/text.h"

#include <cstdint>
#include <cstdlib>

#include "table/capacity.h"
#include "table/internal/text_grid.h"

namespace mangonotch::table {
namespace {

using internal::TextGrid;

constexpr std::size_t kIndent = 2;

std::string Text(std::uint64_t n) { return std::to_string(n); }

std::string TwoDigits(std::int64_t n) { return (n < 10 ? "0" : "") + std::to_string(n); }

std::string RenderRegions(const Table& table) {
  std::vector<std::string> header = {"region", "zones"};
  for (const Region& region : table.regions) {
    header.push_back("to " + region.name + " [ms]");
  }
  TextGrid grid(std::move(header));
  for (std::size_t i = 0; i < table.regions.size(); ++i) {
    std::string zones;
    for (const Zone& zone : table.zones) {
      if (zone.region.value == i) {
        zones += (zones.empty() ? "" : ", ") + zone.name;
      }
    }
    std::vector<std::string> row = {table.regions[i].name, zones};
    for (const std::uint32_t distance : table.regions[i].distance_ms) {
      row.push_back(Text(distance));
    }
    grid.Add(std::move(row));
  }
  return "Regions, with one-way latency\n" + grid.Text(kIndent);
}

std::string RenderLinks(const Table& table) {
  TextGrid grid({"from", "to", "bandwidth [bytes/s]"});
  for (const Link& link : table.links) {
    grid.Add({table.RegionName(link.from), table.RegionName(link.to), Text(link.bytes_per_s)});
  }
  return "Links between regions\n" + grid.Text(kIndent);
}

std::string RenderClients(const Table& table) {
  TextGrid grid({"block", "region", "zone"});
  for (const ClientBlock& client : table.clients) {
    grid.Add({client.block, table.RegionName(client.region), table.ZoneName(client.zone)});
  }
  return "Client blocks; the one with the longest matching prefix applies\n" + grid.Text(kIndent);
}

std::string RenderRoutes(const Service& service) {
  TextGrid grid({"route", "class", "idempotent in addition to GET, HEAD, OPTIONS, PUT, DELETE"});
  for (const Route& route : service.routes) {
    std::string methods;
    for (const std::string& method : route.idempotent_methods) {
      methods += (methods.empty() ? "" : ", ") + method;
    }
    const bool is_long = route.work_class == base::WorkClass::kLong;
    grid.Add({route.prefix, is_long ? "long" : "short", methods.empty() ? "none" : methods});
  }
  return service.routes.empty() ? "  no routes: all requests are short\n" : grid.Text(kIndent);
}

std::string RenderRegionLimits(const Table& table, const Service& service) {
  TextGrid grid({"region", "weight", "limit [slots]", "targets [slots]", "capacity [slots]",
                 "moved-in cap [% of limit]", "moved-in cap [slots]", "moved-in ramp [%/min]"});
  for (const ServiceRegion& entry : service.regions) {
    const std::uint64_t cap = std::uint64_t{entry.limit} * entry.moved_in_cap_percent / 100;
    grid.Add({table.RegionName(entry.region), Text(entry.weight), Text(entry.limit),
              Text(SlotsInRegion(table, service, entry.region)),
              Text(CapacityInRegion(table, service, entry.region)),
              Text(entry.moved_in_cap_percent), Text(cap),
              Text(entry.moved_in_ramp_percent_per_minute)});
  }
  return grid.Text(kIndent);
}

std::string RenderZoneLimits(const Table& table, const Service& service) {
  TextGrid grid({"zone", "weight", "limit [slots]"});
  for (const ServiceZone& entry : service.zones) {
    grid.Add({table.ZoneName(entry.zone), Text(entry.weight), Text(entry.limit)});
  }
  return grid.Text(kIndent);
}

std::string RenderTargets(const Table& table, const Service& service) {
  TextGrid grid({"target", "zone", "slots", "weight"});
  for (const Target& target : service.targets) {
    grid.Add(
        {target.address, table.ZoneName(target.zone), Text(target.slots), Text(target.weight)});
  }
  return grid.Text(kIndent);
}

std::string RenderService(const Table& table, const Service& service) {
  return "Service " + service.name + "\n  deadlines: short " + Text(service.short_deadline_ms) +
         " ms, long " + Text(service.long_deadline_ms) +
         " ms; queue limit: " + Text(service.queue_limit) +
         " requests; slots for long requests: " + Text(service.long_slot_percent) +
         "%; capacity: " + Text(Capacity(table, service)) + " slots\n\n" + RenderRoutes(service) +
         "\n" + RenderRegionLimits(table, service) + "\n" + RenderZoneLimits(table, service) +
         "\n" + RenderTargets(table, service);
}

std::string RenderHistory(const Table& table) {
  TextGrid grid({"revision", "time", "author", "edit", "summary"});
  for (auto it = table.history.rbegin(); it != table.history.rend(); ++it) {
    grid.Add(
        {Text(it->revision), FormatUtc(it->time_unix_ms), it->author, it->edit_id, it->summary});
  }
  return "Last edits\n" + grid.Text(kIndent);
}

}  // namespace

std::string FormatUtc(std::int64_t unix_ms) {
  constexpr std::int64_t kDayS = 86'400;
  const std::int64_t seconds = unix_ms >= 0 ? unix_ms / 1'000 : 0;
  // Converts days to a Gregorian date, using 400-year cycles that start on 1 March of year 0.
  const std::int64_t days = seconds / kDayS + 719'468;
  const std::int64_t era = days / 146'097;
  const std::int64_t day_of_era = days % 146'097;
  const std::int64_t year_of_era =
      (day_of_era - day_of_era / 1'460 + day_of_era / 36'524 - day_of_era / 146'096) / 365;
  const std::int64_t day_of_year =
      day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
  const std::int64_t shifted_month = (5 * day_of_year + 2) / 153;
  const std::int64_t day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
  const std::int64_t month = shifted_month < 10 ? shifted_month + 3 : shifted_month - 9;
  const std::int64_t year = era * 400 + year_of_era + (month <= 2 ? 1 : 0);
  const std::int64_t s = seconds % kDayS;
  return std::to_string(year) + "-" + TwoDigits(month) + "-" + TwoDigits(day) + " " +
         TwoDigits(s / 3'600) + ":" + TwoDigits(s / 60 % 60) + ":" + TwoDigits(s % 60) + " UTC";
}

std::string RenderText(const Table& table) {
  std::string text = "Table revision " + Text(table.revision) + ", by " + table.author + " at " +
                     FormatUtc(table.time_unix_ms) + ", edit " + table.edit_id + "\n" +
                     "Callers may cache a lookup for " + Text(table.lookup_ttl_ms) + " ms.\n\n" +
                     RenderRegions(table) + "\n" + RenderLinks(table) + "\n" +
                     RenderClients(table) + "\n";
  for (const Service& service : table.services) {
    text += RenderService(table, service) + "\n";
  }
  return text + RenderHistory(table);
}

}  // namespace mangonotch::table
