// The store carries out a target's report after later ones of that target, while two hosts run.
// Guards against requests to a target that is about to end, or has ended: the late report made it
// ready again, or entered it again.
#include <signal.h>

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

/// Starts the first host anew, which lists the store's entries before it hears of the other host.
/// False if either takes too long.
bool RestartUnheard(EdgeDeployment& deployment) {
  EdgeProcess& host = deployment.host(0);
  EdgeProcess& other = deployment.host(1);
  const std::size_t start = host.process->Output().size();
  other.process->Signal(SIGSTOP);
  deployment.Restart(0);
  const bool has_listed = deployment.RunUntil(kMaxTime, [&] {
    return host.process->Output().find("targets_listed", start) != std::string::npos;
  });
  other.process->Signal(SIGCONT);
  return has_listed;
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

TEST_CASE("The last report of a target that has left without draining does not bring it back") {
  EdgeDeployment deployment("last-report-after-removal", 2, Duration::Milliseconds(20));
  REQUIRE(deployment.RunUntilReady());
  platform::testing::StandInStore& store = deployment.store();
  const std::string key = deployment.worker(0).EntryKey();
  const std::string last = deployment.NextReport(0, false);
  store.Delete(key);
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "targets=1 draining=0"));
  store.Put(key, last);
  store.Put(deployment.worker(1).EntryKey(), deployment.NextReport(1, true));
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "draining=1"));
  CheckNeverLoggedAfter(deployment, "targets=1", "targets=2");
}

TEST_CASE("A host that starts after a late report learns from another that the target drains") {
  EdgeDeployment deployment("late-report-restart", 2, Duration::Milliseconds(20));
  REQUIRE(deployment.RunUntilReady());
  platform::testing::StandInStore& store = deployment.store();
  const std::string key = deployment.worker(0).EntryKey();
  const std::string late = deployment.NextReport(0, false);
  store.Put(key, deployment.NextReport(0, true));
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "targets=2 draining=1"));
  store.Put(key, late);
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "verdict=outdated"));
  REQUIRE(RestartUnheard(deployment));
  EdgeProcess& host = deployment.host(0);
  const bool has_learnt = deployment.RunUntil(
      kMaxTime, [&] { return host.HasLogged("source=host host=host-2 verdict=in_force"); });
  INFO(host.process->Output());
  REQUIRE(has_learnt);
}

TEST_CASE("A host that starts after a late report learns from another that the target has left") {
  EdgeDeployment deployment("late-report-restart-after-removal", 2, Duration::Milliseconds(20));
  REQUIRE(deployment.RunUntilReady());
  platform::testing::StandInStore& store = deployment.store();
  const std::string key = deployment.worker(0).EntryKey();
  const std::string late = deployment.NextReport(0, false);
  store.Put(key, deployment.NextReport(0, false));
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "target_reported target=w-1 draining=false"));
  store.Delete(key);
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "targets=1 draining=0"));
  store.Put(key, late);
  REQUIRE(deployment.RunUntilAllHaveLogged(kMaxTime, "verdict=set_aside"));
  REQUIRE(RestartUnheard(deployment));
  EdgeProcess& host = deployment.host(0);
  const bool has_learnt = deployment.RunUntil(kMaxTime, [&] {
    const std::string log = host.process->Output();
    return log.find("targets=1 ", log.rfind("targets_listed targets=2")) != std::string::npos;
  });
  INFO(host.process->Output());
  REQUIRE(has_learnt);
}

}  // namespace mangonotch::edge_tests
