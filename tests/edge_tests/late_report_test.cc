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

/// Two hosts that know both targets, and a report of the first target that the store has not
/// carried out.
struct Fixture {
  explicit Fixture(const std::string& name) : deployment(name, 2, Duration::Milliseconds(20)) {
    REQUIRE(deployment.RunUntilReady());
    late = deployment.NextReport(0, false);
  }

  /// False if a host does not log `text` in time.
  bool RunUntilAllHaveLogged(const std::string& text) {
    return deployment.RunUntilAllHaveLogged(kMaxTime, text);
  }
  /// The store carries out a report of the first target.
  void Put(const std::string& report) { deployment.store().Put(key, report); }
  void PutNext(bool is_draining) { Put(deployment.NextReport(0, is_draining)); }
  /// The entry of the first target is removed, and all hosts know that.
  void Remove() {
    deployment.store().Delete(key);
    REQUIRE(RunUntilAllHaveLogged("targets=1 draining=0"));
  }
  /// The other target reports that it drains, which all hosts read after what was put before.
  void DrainOther(const std::string& logged) {
    deployment.store().Put(deployment.worker(1).EntryKey(), deployment.NextReport(1, true));
    REQUIRE(RunUntilAllHaveLogged(logged));
  }

  EdgeDeployment deployment;
  const std::string key = deployment.worker(0).EntryKey();
  std::string late;
};

}  // namespace

TEST_CASE("A report that is carried out late does not send requests to a draining target") {
  Fixture fixture("late-report");
  fixture.PutNext(true);
  REQUIRE(fixture.RunUntilAllHaveLogged("targets=2 draining=1"));
  fixture.Put(fixture.late);
  fixture.DrainOther("targets=2 draining=2");
  CheckNeverLoggedAfter(fixture.deployment, "draining=1", "draining=0");
}

TEST_CASE("A report that is carried out late does not bring back a target that has left") {
  Fixture fixture("late-report-after-removal");
  fixture.PutNext(false);
  // So that the late report is older than one that the hosts have read.
  REQUIRE(fixture.RunUntilAllHaveLogged("target_reported target=w-1 draining=false"));
  fixture.Remove();
  fixture.Put(fixture.late);
  fixture.DrainOther("targets=1 draining=1");
  CheckNeverLoggedAfter(fixture.deployment, "targets=1", "targets=2");
}

TEST_CASE("The last report of a target that has left without draining does not bring it back") {
  Fixture fixture("last-report-after-removal");
  fixture.Remove();
  fixture.Put(fixture.late);
  fixture.DrainOther("draining=1");
  CheckNeverLoggedAfter(fixture.deployment, "targets=1", "targets=2");
}

TEST_CASE("A host that starts after a late report learns from another that the target drains") {
  Fixture fixture("late-report-restart");
  fixture.PutNext(true);
  REQUIRE(fixture.RunUntilAllHaveLogged("targets=2 draining=1"));
  fixture.Put(fixture.late);
  REQUIRE(fixture.RunUntilAllHaveLogged("verdict=outdated"));
  REQUIRE(RestartUnheard(fixture.deployment));
  EdgeProcess& host = fixture.deployment.host(0);
  const bool has_learnt = fixture.deployment.RunUntil(
      kMaxTime, [&] { return host.HasLogged("source=host host=host-2 verdict=in_force"); });
  INFO(host.process->Output());
  REQUIRE(has_learnt);
}

TEST_CASE("A host that starts after a late report learns from another that the target has left") {
  Fixture fixture("late-report-restart-after-removal");
  fixture.PutNext(false);
  REQUIRE(fixture.RunUntilAllHaveLogged("target_reported target=w-1 draining=false"));
  fixture.Remove();
  fixture.Put(fixture.late);
  REQUIRE(fixture.RunUntilAllHaveLogged("verdict=set_aside"));
  REQUIRE(RestartUnheard(fixture.deployment));
  EdgeProcess& host = fixture.deployment.host(0);
  const bool has_learnt = fixture.deployment.RunUntil(kMaxTime, [&] {
    const std::string log = host.process->Output();
    return log.find("targets=1 ", log.rfind("targets_listed targets=2")) != std::string::npos;
  });
  INFO(host.process->Output());
  REQUIRE(has_learnt);
}

}  // namespace mangonotch::edge_tests
