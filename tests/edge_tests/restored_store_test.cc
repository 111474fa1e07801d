// Restores the store from an older copy while two hosts run. Guards against a host that takes the
// older state for news, or that no longer follows the store.
#include <catch2/catch.hpp>
#include <string_view>

#include "tests/edge_tests/edge_deployment.h"

namespace mangonotch::edge_tests {
namespace {

using base::Duration;
using platform::testing::StoreMode;

constexpr const char* kService = "status";
constexpr const char* kEvacuationKey = "op/evacuate/south-a";
/// Shorter than the shortest outage in which the entry of a live target expires.
constexpr Duration kAwayTime = Duration::Milliseconds(800);
constexpr Duration kMaxTime = Duration::Seconds(20);

void PutConfiguration(EdgeDeployment& deployment, std::uint64_t version) {
  deployment.store().Put(std::string(platform::testing::kConfigurationStoreKey),
                         platform::testing::MakeConfiguration(version, kCallerHost, kService));
}

void PutWorker(EdgeDeployment& deployment, std::size_t i, bool is_draining) {
  deployment.store().Put(deployment.worker(i).EntryKey(), deployment.NextReport(i, is_draining));
}

/// The part of a host's log from the first line on that names the new era, of which the host learns
/// from the store or from the other host.
std::string LogSinceRestore(const EdgeProcess& host) {
  const std::string log = host.process->Output();
  const std::size_t era = log.find(" era=1");
  return era == std::string::npos ? "" : log.substr(log.rfind('\n', era));
}

}  // namespace

TEST_CASE("Hosts keep what the older copy of a restored store lacks, and follow the store on") {
  EdgeDeployment deployment("restored-store", 2, Duration::Milliseconds(20));
  platform::testing::StandInStore& store = deployment.store();
  REQUIRE(deployment.RunUntilReady());
  platform::testing::StoreCopy copy = store.Copy();
  copy.items.erase("mangonotch/hosts/host-1");
  copy.items.erase("mangonotch/hosts/host-2");
  copy.items.erase(deployment.worker(0).EntryKey());
  PutConfiguration(deployment, 2);
  PutWorker(deployment, 1, true);
  store.Put(kEvacuationKey, "{}");
  REQUIRE(deployment.RunUntilAllHaveLogged(
      kMaxTime, "configuration=2 targets=2 draining=1 evacuated=south-a"));

  store.SetMode(StoreMode::kBusy);
  store.RefuseOpenWatches();
  deployment.RunFor(kAwayTime);
  store.Restore(copy);
  store.SetMode(StoreMode::kServing);
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "store_restored from_era=0 era=1"));
  PutWorker(deployment, 0, false);
  // The evacuation is not written again.
  REQUIRE(deployment.RunUntil(kMaxTime, [&] {
    const std::string_view ended = "configuration=2 targets=2 draining=1 evacuated=\"\"";
    return LogSinceRestore(deployment.host(0)).find(ended) != std::string::npos &&
           LogSinceRestore(deployment.host(1)).find(ended) != std::string::npos;
  }));
  for (std::size_t i = 0; i < 2; ++i) {
    const std::string log = LogSinceRestore(deployment.host(i));
    INFO(log);
    CHECK(log.find("configuration=2 targets=2 draining=1 evacuated=south-a") != std::string::npos);
    CHECK(log.find("configuration=2 targets=1") == std::string::npos);
    CHECK(log.find("draining=0") == std::string::npos);
    CHECK(log.find("catalog_changed configuration=1") == std::string::npos);
  }
  REQUIRE(deployment.RunUntil(kMaxTime, [&] {
    return store.Has("mangonotch/hosts/host-1") && store.Has("mangonotch/hosts/host-2");
  }));
  PutConfiguration(deployment, 3);
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "configuration=3 targets=2 draining=1"));
}

}  // namespace mangonotch::edge_tests
