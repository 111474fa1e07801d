// Guards against settings files of the platform that are misread, faults reported without their
// field or hidden by an earlier fault, and changes of the file that are missed or applied while it
// is invalid.
#include "settings/edge_settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "jsonc/fault.h"
#include "settings/edge_settings_watch.h"

namespace mangonotch::settings {
namespace {

constexpr std::string_view kSettings = R"({
  // In the form that the template renders.
  "host": "edge-hel-a-1", "region": "uusimaa", "zone": "hel-a",
  "listen": {"callers": "10.1.0.15:8641", "readiness": "10.1.0.15:8640", "lookup": "10.1.0.15:8644",
             "peers": "10.1.0.15:7620", "metrics": "10.1.0.15:8649"},
  "zones": [{"zone": "hel-a", "region": "uusimaa"}, {"zone": "tre-a", "region": "pirkanmaa"}],
  "seeds": ["10.1.0.15:8649", "10.2.0.42:8649"],
  "store": "10.200.1.7:8642",
  "bounds": {"retry_ratio": "0.2", "retry_window": "10s", "retry_allowance": "56", "stop_time": "6s",
             "lookup_ttl": "", "target_heartbeat": "800ms",
             "quota_window": "5s", "quota_overage": "0.1", "quota_slack": ""},
  "memory_mb": "160",
  "first_start": true,
  "descriptors": 4100
})";

std::string Replaced(std::string_view from, std::string_view to) {
  std::string text(kSettings);
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

/// A settings file that the destructor removes.
struct SettingsFile {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / "mangonotch_edge_settings_test.jsonc";

  SettingsFile() { Write(kSettings); }
  ~SettingsFile() { std::filesystem::remove(path); }
  void Write(std::string_view text) const { std::ofstream(path) << text; }
};

}  // namespace

TEST_CASE("Settings in the form of the platform's template are parsed") {
  const EdgeSettings settings = EdgeSettings::Parse(kSettings, "f");
  REQUIRE(settings.host == "edge-hel-a-1");
  REQUIRE(settings.listen.peers.port == 7620);
  REQUIRE(settings.zones.at("tre-a") == "pirkanmaa");
  REQUIRE(settings.seeds.size() == 2);
  REQUIRE(settings.bounds.retry_ratio == 0.2);
  REQUIRE(settings.bounds.retry_allowance == 56);
  REQUIRE(settings.bounds.lookup_ttl == EdgeBounds().lookup_ttl);
  REQUIRE(settings.bounds.target_heartbeat == base::Duration::Milliseconds(800));
  REQUIRE(settings.bounds.quota_window == base::Duration::Seconds(5));
  REQUIRE(settings.bounds.quota_overage == 0.1);
  REQUIRE(settings.bounds.quota_slack == 0);
  REQUIRE(settings.descriptors == 4100);
  REQUIRE(settings.memory_mb == 160);
  REQUIRE(settings.is_first_start);
}

TEST_CASE("Each fault is reported with its field") {
  const std::pair<std::pair<std::string_view, std::string_view>, std::string_view> faults[] = {
      {{"\"10.1.0.15:8641\"", "\"10.1.0.15\""}, "listen.callers"},
      {{"\"zone\": \"hel-a\",", "\"zone\": \"hel-z\","}, "zones"},
      {{"10.2.0.42:8649", "somewhere"}, "seeds[1]"},
      {{"\"10s\"", "\"ten\""}, "bounds.retry_window"},
      {{"\"10s\"", "\"0ms\""}, "bounds.retry_window"},
      {{"\"0.2\"", "\"-1\""}, "bounds.retry_ratio"},
      {{"4100", "1"}, "descriptors"},
      {{"\"store\"", "\"shop\""}, "store"}};
  for (const auto& [change, field] : faults) {
    INFO(field);
    try {
      EdgeSettings::Parse(Replaced(change.first, change.second), "f");
      FAIL("no fault was found");
    } catch (const jsonc::FaultError& ex) {
      REQUIRE(std::string(ex.what()).find(field) != std::string::npos);
    }
  }
}

// Guards against a host that reads the file only on a signal: it would keep old limits when the
// platform rewrites the file without one.
TEST_CASE("A rewritten settings file is detected") {
  const SettingsFile file;
  EdgeSettingsWatch watch(file.path, EdgeSettings::Parse(kSettings, "f"));
  REQUIRE(watch.Check() == SettingsChange::kNone);
  file.Write(Replaced("\"56\"", "\"9\""));
  REQUIRE(watch.Check() == SettingsChange::kChanged);
  REQUIRE(watch.current().bounds.retry_allowance == 9);
  REQUIRE(watch.Check() == SettingsChange::kNone);
}

// A fault reported at each check would fill the log; an invalid file that replaced the settings
// would stop the host.
TEST_CASE("An invalid settings file is refused once and leaves the settings unchanged") {
  const SettingsFile file;
  EdgeSettingsWatch watch(file.path, EdgeSettings::Parse(kSettings, "f"));
  file.Write("{");
  REQUIRE(watch.Check() == SettingsChange::kRefused);
  REQUIRE(!watch.fault().empty());
  REQUIRE(watch.Check() == SettingsChange::kNone);
  REQUIRE(watch.current() == EdgeSettings::Parse(kSettings, "f"));
  file.Write(kSettings);
  REQUIRE(watch.Check() == SettingsChange::kNone);
  REQUIRE(watch.fault().empty());
}

// Guards against a misread amount from which the host would derive no bound, or one that refuses
// every request.
TEST_CASE("The memory of the machine may be missing, but not too small") {
  REQUIRE(EdgeSettings::Parse(Replaced("\"memory_mb\": \"160\",", ""), "f").memory_mb == 0);
  REQUIRE(EdgeSettings::Parse(Replaced("\"160\"", "\"\""), "f").memory_mb == 0);
  for (const char* text : {"\"63\"", "\"2e9\"", "\"much\"", "\"-1\""}) {
    REQUIRE_THROWS_AS(EdgeSettings::Parse(Replaced("\"160\"", text), "f"), jsonc::FaultError);
  }
}

}  // namespace mangonotch::settings
