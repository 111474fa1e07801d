// Parses and validates the settings file of an entry host.
#include "settings/host_settings.h"

#include <map>
#include <set>
#include <utility>

#include "base/endpoint.h"
#include "jsonc/parse.h"
#include "jsonc/reader.h"
#include "settings/internal/common.h"

namespace mangonotch::settings {
namespace {

using base::Duration;
using jsonc::FaultList;
using jsonc::IntegerRange;
using jsonc::Reader;

constexpr std::int64_t kMebibyte = std::int64_t{1024} * 1024;
constexpr std::int64_t kHourMs = 3'600'000;

Seed ReadSeed(Reader& reader) {
  Seed seed;
  seed.host = ReadName(reader, "host");
  seed.region = ReadName(reader, "region");
  seed.zone = ReadName(reader, "zone");
  seed.callers = ReadEndpoint(reader, "callers");
  seed.peers = ReadEndpoint(reader, "peers");
  seed.peer_http = ReadEndpoint(reader, "peer_http");
  reader.RefuseUnknownFields();
  return seed;
}

ListenAddresses ReadListen(Reader reader) {
  ListenAddresses listen;
  std::set<std::string> seen;
  const std::pair<std::string_view, std::string*> fields[] = {{"callers", &listen.callers},
                                                              {"peers", &listen.peers},
                                                              {"peer_http", &listen.peer_http},
                                                              {"metrics", &listen.metrics},
                                                              {"admin", &listen.admin}};
  for (const auto& [field, address] : fields) {
    *address = ReadEndpoint(reader, field);
    if (!address->empty() && !seen.insert(*address).second) {
      reader.AddFault(field, "an address of its own", '"' + *address + "\" a second time");
    }
  }
  reader.RefuseUnknownFields();
  return listen;
}

HostLimits ReadLimits(Reader reader) {
  const HostLimits defaults;
  HostLimits limits;
  const auto count = [&](std::string_view field, const IntegerRange& range, std::size_t fallback) {
    return static_cast<std::size_t>(
        reader.IntegerOr(field, range, static_cast<std::int64_t>(fallback)));
  };
  const auto time = [&](std::string_view field, Duration fallback) {
    return Duration::Milliseconds(
        reader.IntegerOr(field, {1, kHourMs, "ms"}, fallback.milliseconds()));
  };
  limits.connections = count("connections", {1, 100'000}, defaults.connections);
  limits.header_bytes = count("header_bytes", {256, kMebibyte, "bytes"}, defaults.header_bytes);
  limits.body_bytes = count("body_bytes", {0, 64 * kMebibyte, "bytes"}, defaults.body_bytes);
  limits.header_time = time("header_time_ms", defaults.header_time);
  limits.body_time = time("body_time_ms", defaults.body_time);
  limits.idle_time = time("idle_time_ms", defaults.idle_time);
  limits.traffic_threads = count("traffic_threads", {1, 256, "threads"}, defaults.traffic_threads);
  limits.tickets = count("tickets", {1, 10'000'000}, defaults.tickets);
  limits.ticket_bytes =
      count("ticket_bytes", {1, 1024 * kMebibyte, "bytes"}, defaults.ticket_bytes);
  reader.RefuseUnknownFields();
  return limits;
}

bool MatchesOwnSettings(const Seed& seed, const HostSettings& settings) {
  return seed.region == settings.region && seed.zone == settings.zone &&
         seed.callers == settings.listen.callers && seed.peers == settings.listen.peers &&
         seed.peer_http == settings.listen.peer_http;
}

void ReadSeeds(Reader& root, HostSettings& settings) {
  std::set<std::string> hosts;
  std::set<std::string> addresses;
  std::map<std::string, std::size_t> hosts_per_region = {{settings.region, 1}};
  for (Reader& reader : root.Objects("seeds")) {
    Seed seed = ReadSeed(reader);
    if (!seed.host.empty() && !hosts.insert(seed.host).second) {
      reader.AddFault("host", "each host once", '"' + seed.host + "\" a second time");
    }
    for (const std::string* address : {&seed.callers, &seed.peers, &seed.peer_http}) {
      if (!address->empty() && !addresses.insert(*address).second) {
        reader.AddFault("", "each address once", '"' + *address + "\" a second time");
      }
    }
    if (seed.host == settings.host) {
      if (!MatchesOwnSettings(seed, settings)) {
        reader.AddFault("", "the region, zone and listen addresses of this host",
                        "other values under its name");
      }
      continue;
    }
    ++hosts_per_region[seed.region];
    settings.seeds.push_back(std::move(seed));
  }
  for (const auto& [region, n] : hosts_per_region) {
    if (n > kMaxHostsPerRegion) {
      root.AddFault("seeds", "at most " + std::to_string(kMaxHostsPerRegion) + " hosts in a region",
                    std::to_string(n) + " in " + region);
    }
  }
}

void ReadHostList(Reader reader, HostSettings& settings) {
  settings.host_list = ReadEndpoint(reader, "address");
  settings.host_list_path = reader.String("path");
  if (!settings.host_list_path.empty() && settings.host_list_path.front() != '/') {
    reader.AddFault("path", "a path with a leading slash", '"' + settings.host_list_path + '"');
  }
  reader.RefuseUnknownFields();
}

}  // namespace

HostSettings HostSettings::Parse(std::string_view text, std::string_view file) {
  const jsonc::Value root = jsonc::Parse(text, file);
  FaultList faults(file);
  Reader reader(root, "", faults);
  HostSettings settings;
  settings.host = ReadName(reader, "host");
  settings.region = ReadName(reader, "region");
  settings.zone = ReadName(reader, "zone");
  settings.listen = ReadListen(reader.Object("listen"));
  ReadSeeds(reader, settings);
  settings.store = ReadEndpoint(reader, "store");
  ReadHostList(reader.Object("host_list"), settings);
  if (const auto limits = reader.ObjectIfAny("limits")) {
    settings.limits = ReadLimits(*limits);
  }
  settings.log_level = ReadLogLevel(reader);
  reader.RefuseUnknownFields();
  faults.ThrowIfAny("read settings");
  return settings;
}

HostSettings HostSettings::ReadFile(const std::string& path) { return Parse(ReadText(path), path); }

}  // namespace mangonotch::settings
