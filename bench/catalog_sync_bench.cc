// Time of the decision from which host to fetch the catalog, by the number of hosts.
#include <benchmark/benchmark.h>

#include <map>
#include <string>

#include "fleet/catalog_sync.h"

namespace mangonotch::bench {
namespace {

constexpr int kRegions = 25;
constexpr int kZones = 69;
/// Two hosts of each region watch the store.
constexpr int kWatchers = 2 * kRegions;

std::map<std::string, std::string, std::less<>> MakeZones() {
  std::map<std::string, std::string, std::less<>> zones;
  for (int i = 0; i < kZones; ++i) {
    zones["zone-" + std::to_string(i)] = "region-" + std::to_string(i % kRegions);
  }
  return zones;
}

void DecideUpToDate(benchmark::State& state) {
  const base::Instant now = base::Instant() + base::Duration::Seconds(100);
  fleet::Members members({.host = "self", .zone = "zone-0"}, MakeZones(), {});
  const auto hosts = static_cast<int>(state.range(0));
  for (int i = 0; i < hosts; ++i) {
    base::Endpoint peers;
    peers.port = static_cast<std::uint16_t>(i + 1);
    members.OnHeartbeat({.sender = {.host = "edge-zone-" + std::to_string(i),
                                    .zone = "zone-" + std::to_string(i % kZones),
                                    .callers = {},
                                    .peers = peers},
                         .incarnation = static_cast<base::Incarnation>(i + 1),
                         .sequence = 1,
                         .has_fresh_catalog = i < kWatchers,
                         .catalog_sequence = 1,
                         .newest = {.operator_records = 10, .targets = 10}},
                        now);
  }
  fleet::CatalogSync sync;
  sync.OnFetched(1, 1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        sync.Next(members, {.operator_records = 10, .targets = 10}, false, now));
  }
}

BENCHMARK(DecideUpToDate)->Arg(9)->Arg(60)->Arg(1'100);

}  // namespace
}  // namespace mangonotch::bench

BENCHMARK_MAIN();
