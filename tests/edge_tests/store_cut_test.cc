// Runs two hosts, one of which loses its link to the store for a while. Guards against a host that
// takes the fault of its own link for an outage of the store and keeps removed targets.
#include <catch2/catch.hpp>

#include "tests/edge_tests/edge_deployment.h"

namespace mangonotch::edge_tests {
namespace {

using base::Duration;

/// Longer than the shortest outage in which the entry of a live target expires.
constexpr Duration kCutTime = Duration::Seconds(6);
/// A host sends no requests to a target this long after its entry was removed.
constexpr Duration kDrainTime = Duration::Milliseconds(2000);
constexpr Duration kReturnTime = Duration::Seconds(20);

}  // namespace

TEST_CASE(
    "A host whose link to the store was cut leaves a target that is removed after its return") {
  EdgeDeployment deployment("store-cut", 2, Duration::Milliseconds(20));
  EdgeProcess& cut = deployment.host(0);
  EdgeProcess& other = deployment.host(1);
  REQUIRE(deployment.RunUntilReady());
  deployment.RunFor(Duration::Seconds(1));
  cut.store_proxy->SetFault({.delay = {}, .drops_responses = true});
  deployment.RunFor(kCutTime);
  REQUIRE(cut.HasLogged("store_lost records=targets"));
  cut.store_proxy->SetFault({});
  REQUIRE(deployment.RunUntil(kReturnTime,
                              [&] { return cut.HasLogged("store_regained records=targets"); }));
  deployment.store().Delete(deployment.worker(1).EntryKey());
  const bool has_left =
      deployment.RunUntil(kDrainTime, [&] { return cut.HasLogged("targets=1 draining=0"); });
  INFO(cut.process->Output());
  REQUIRE(has_left);
  REQUIRE_FALSE(other.HasLogged("store_lost"));
}

}  // namespace mangonotch::edge_tests
