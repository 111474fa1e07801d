// The store carries out a target's report after later ones of that target, while two hosts run.
// Guards against requests to a target that is about to end, or has ended: the late report made it
// ready again, or entered it again.
#include <catch2/catch.hpp>
#include <string>

#include "tests/edge_tests/edge_deployment.h"

namespace mangonotch::edge_tests {
namespace {

using base::Duration;

constexpr Duration kMaxTime = Duration::Seconds(20);

/// After its first line with `text`, no host has logged `other`.
void CheckNeverLoggedAfter(EdgeDeployment& deployment, const std::string& text,
                           const std::string& other) {
  for (std::size_t i = 0; i < 2; ++i) {
    const std::string log = deployment.host(i).process->Output();
    INFO(log);
    CHECK(log.find(other, log.find(text)) == std::string::npos);
  }
}

}  // namespace

TEST_CASE("A report that is carried out late does not send requests to a draining target") {
  EdgeDeployment deployment("late-report", 2, Duration::Milliseconds(20));
  REQUIRE(deployment.RunUntilReady());
  platform::testing::StandInStore& store = deployment.store();
  const std::string key = deployment.worker(0).EntryKey();
  const std::string late = deployment.NextReport(0, false);
  store.Put(key, deployment.NextReport(0, true));
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "targets=2 draining=1"));
  store.Put(key, late);
  store.Put(deployment.worker(1).EntryKey(), deployment.NextReport(1, true));
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "targets=2 draining=2"));
  CheckNeverLoggedAfter(deployment, "draining=1", "draining=0");
}

TEST_CASE("A report that is carried out late does not bring back a target that has left") {
  EdgeDeployment deployment("late-report-after-removal", 2, Duration::Milliseconds(20));
  REQUIRE(deployment.RunUntilReady());
  platform::testing::StandInStore& store = deployment.store();
  const std::string key = deployment.worker(0).EntryKey();
  const std::string late = deployment.NextReport(0, false);
  store.Put(key, deployment.NextReport(0, false));
  // So that the late report is older than one that the hosts have read.
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "target_reported target=w-1 draining=false"));
  store.Delete(key);
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "targets=1 draining=0"));
  store.Put(key, late);
  store.Put(deployment.worker(1).EntryKey(), deployment.NextReport(1, true));
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "targets=1 draining=1"));
  CheckNeverLoggedAfter(deployment, "targets=1", "targets=2");
}

}  // namespace mangonotch::edge_tests
