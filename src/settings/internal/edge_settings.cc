// Parses and validates the settings file of an entry host on the platform.
#include "settings/edge_settings.h"

#include <charconv>

#include "base/duration_text.h"
#include "jsonc/parse.h"
#include "jsonc/reader.h"
#include "settings/internal/common.h"

namespace mangonotch::settings {
namespace {

using jsonc::FaultList;
using jsonc::Reader;

constexpr std::int64_t kMinDescriptors = 64;
constexpr std::int64_t kMaxDescriptors = 1'000'000;
/// Less is no room for the program and the bodies of callers within the limits.
constexpr double kMinMemoryMb = 64;
constexpr double kMaxMemoryMb = 1'048'576;
/// Retries are counted in fractions of the window, which limits how short it can be.
constexpr base::Duration kMinRetryWindow = base::Duration::Milliseconds(100);

base::Endpoint EndpointOf(Reader& reader, std::string_view field) {
  return base::ParseEndpoint(ReadEndpoint(reader, field)).value_or(base::Endpoint());
}

EdgeListen ReadListen(Reader reader) {
  EdgeListen listen;
  listen.callers = EndpointOf(reader, "callers");
  listen.readiness = EndpointOf(reader, "readiness");
  listen.lookup = EndpointOf(reader, "lookup");
  listen.peers = EndpointOf(reader, "peers");
  listen.metrics = EndpointOf(reader, "metrics");
  reader.RefuseUnknownFields();
  return listen;
}

/// Returns `fallback` for an empty text, since the template renders a bound that is not set as "".
base::Duration DurationOr(Reader& reader, std::string_view field, base::Duration fallback) {
  const std::string text = reader.StringOr(field, "");
  if (text.empty()) return fallback;
  const auto duration = base::ParseDuration(text);
  if (!duration) reader.AddFault(field, "a time such as 1500ms or 2.5s", '"' + text + '"');
  return duration.value_or(fallback);
}

double NumberOr(Reader& reader, std::string_view field, double fallback) {
  const std::string text = reader.StringOr(field, "");
  if (text.empty()) return fallback;
  double n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size() || !(n >= 0)) {
    reader.AddFault(field, "a number that is not negative", '"' + text + '"');
    return fallback;
  }
  return n;
}

/// 0 when it is not given.
std::size_t ReadMemory(Reader& reader) {
  const double megabytes = NumberOr(reader, "memory_mb", 0);
  const bool is_valid = megabytes == 0 || (megabytes >= kMinMemoryMb && megabytes <= kMaxMemoryMb);
  if (!is_valid) reader.AddFault("memory_mb", "64 to 1048576", "another number");
  return is_valid ? static_cast<std::size_t>(megabytes) : 0;
}

EdgeBounds ReadBounds(Reader reader) {
  const EdgeBounds defaults;
  EdgeBounds bounds;
  bounds.retry_ratio = NumberOr(reader, "retry_ratio", defaults.retry_ratio);
  bounds.retry_window = DurationOr(reader, "retry_window", defaults.retry_window);
  if (bounds.retry_window < kMinRetryWindow) {
    reader.AddFault("retry_window", "100ms or more", "a shorter time");
  }
  bounds.retry_allowance =
      static_cast<std::uint32_t>(NumberOr(reader, "retry_allowance", defaults.retry_allowance));
  bounds.stop_time = DurationOr(reader, "stop_time", defaults.stop_time);
  bounds.lookup_ttl = DurationOr(reader, "lookup_ttl", defaults.lookup_ttl);
  bounds.target_heartbeat = DurationOr(reader, "target_heartbeat", defaults.target_heartbeat);
  bounds.quota_window = DurationOr(reader, "quota_window", defaults.quota_window);
  bounds.quota_overage = NumberOr(reader, "quota_overage", defaults.quota_overage);
  bounds.quota_slack = NumberOr(reader, "quota_slack", defaults.quota_slack);
  reader.RefuseUnknownFields();
  return bounds;
}

void ReadZones(Reader& root, EdgeSettings& settings) {
  for (Reader& reader : root.Objects("zones")) {
    std::string zone = ReadName(reader, "zone");
    settings.zones[std::move(zone)] = ReadName(reader, "region");
    reader.RefuseUnknownFields();
  }
  const auto own = settings.zones.find(settings.zone);
  if (own == settings.zones.end() || own->second != settings.region) {
    root.AddFault("zones", "this host's zone with its region", "none or another region");
  }
}

void ReadSeeds(Reader& root, EdgeSettings& settings, FaultList& faults) {
  for (const jsonc::StringItem& it : root.Strings("seeds")) {
    if (const auto seed = base::ParseEndpoint(it.text)) {
      settings.seeds.push_back(seed->address);
    } else {
      faults.Add(it.line, it.path, "ip:port", '"' + it.text + '"');
    }
  }
}

}  // namespace

EdgeSettings EdgeSettings::Parse(std::string_view text, std::string_view file) {
  const jsonc::Value root = jsonc::Parse(text, file);
  FaultList faults(file);
  Reader reader(root, "", faults);
  EdgeSettings settings;
  settings.host = ReadName(reader, "host");
  settings.region = ReadName(reader, "region");
  settings.zone = ReadName(reader, "zone");
  settings.listen = ReadListen(reader.Object("listen"));
  ReadZones(reader, settings);
  ReadSeeds(reader, settings, faults);
  settings.store = EndpointOf(reader, "store");
  if (const auto bounds = reader.ObjectIfAny("bounds")) settings.bounds = ReadBounds(*bounds);
  settings.descriptors = static_cast<std::size_t>(reader.IntegerOr(
      "descriptors", {kMinDescriptors, kMaxDescriptors}, static_cast<std::int64_t>(1024)));
  settings.link_mbps = static_cast<std::uint32_t>(
      NumberOr(reader, "link_mbps", static_cast<double>(settings.link_mbps)));
  settings.memory_mb = ReadMemory(reader);
  settings.is_first_start = reader.BooleanOr("first_start", false);
  settings.log_level = ReadLogLevel(reader);
  reader.RefuseUnknownFields();
  faults.ThrowIfAny("read settings");
  return settings;
}

EdgeSettings EdgeSettings::ReadFile(const std::string& path) { return Parse(ReadText(path), path); }

}  // namespace mangonotch::settings
