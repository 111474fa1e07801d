// No target sees more than its slots, and every answer is whole and belongs to its request, with
// callers above capacity and while hosts are killed, restarted and paused.
#include <signal.h>

#include <catch2/catch.hpp>

#include "tests/support/deployment.h"
#include "tests/support/load.h"
#include "tests/support/observe.h"

namespace mangonotch::support {
namespace {

/// Longer than a grant lasts (8 s), so that grants of a paused host lapse.
constexpr int kPauseMs = 12'000;

DeploymentSpec BusySpec() {
  return {.services = {{.name = "status", .targets_per_zone = 2, .slots = 4, .short_ms = 20}}};
}

void RequireSafe(Deployment& deployment, const Load& load) {
  INFO(load.Text());
  REQUIRE(TargetSum(deployment, "breaches") == 0);
  for (const TargetProcess& it : deployment.targets) {
    REQUIRE(TargetCount(deployment, it, "peak_in_flight") <= 4);
  }
  REQUIRE(load.Count(CallResult::kMismatched) == 0);
  REQUIRE(load.Count(CallResult::kNoOutcome) == 0);
  REQUIRE(load.Answered() > 100);
}

/// True once the host has answered `n` more requests.
bool ServesAgain(const Load& load, std::size_t host, std::uint64_t n, int seconds) {
  const std::uint64_t before = load.AnsweredBy(host);
  return Eventually(seconds, [&] { return load.AnsweredBy(host) >= before + n; });
}

}  // namespace

// Guards against grants that sum to more than a target's slots while every host wants more.
TEST_CASE("Callers above capacity never get a target over its slots") {
  Deployment deployment(BusySpec());
  deployment.WaitUntilReady();
  Load load(deployment, {.threads = 40});
  REQUIRE(Eventually(15, [&] { return load.Answered() >= 1000; }));
  load.Stop();
  RequireSafe(deployment, load);
  REQUIRE(load.Count(CallResult::kNoAnswer) == 0);
  REQUIRE(load.Count(CallResult::kUnknown) == 0);
}

// Guards against slots that are granted anew while a killed or paused host may still use them.
TEST_CASE("Hosts that are killed, restarted and paused breach no slots") {
  Deployment deployment(BusySpec());
  deployment.WaitUntilReady();
  const std::size_t coordinator = CoordinatorOf(deployment, "north");
  const std::size_t killed = (coordinator + 1) % 3;
  const std::size_t paused = (coordinator + 2) % 3;
  Load load(deployment, {.threads = 40, .deadline_ms = 1500});
  Pause(1000);
  deployment.hosts[killed].process->Kill();
  Pause(1000);
  deployment.StartHost(killed);
  deployment.hosts[paused].process->Signal(SIGSTOP);
  Pause(kPauseMs);
  deployment.hosts[paused].process->Signal(SIGCONT);
  REQUIRE(ServesAgain(load, paused, 50, 20));
  REQUIRE(ServesAgain(load, killed, 50, 20));
  load.Stop();
  RequireSafe(deployment, load);
}

// Guards against a gap without grants and against two granters after the coordinator died.
TEST_CASE("Members go on when the coordinator is killed, and another takes over") {
  Deployment deployment(BusySpec());
  deployment.WaitUntilReady();
  const std::size_t killed = CoordinatorOf(deployment, "north");
  const std::size_t member = (killed + 1) % 3;
  const std::uint64_t epoch = CoordinatorAt(deployment, member, "north").epoch;
  Load load(deployment, {.threads = 40, .deadline_ms = 1500});
  REQUIRE(ServesAgain(load, member, 50, 10));
  deployment.hosts[killed].process->Kill();
  // Grants last for 8 s and a standby needs about 6 s, so members serve in each of these seconds.
  for (int second = 0; second < 12; ++second) {
    INFO("second " << second << " after the kill: " << load.Text());
    const std::uint64_t before = load.AnsweredBy(member);
    Pause(1000);
    REQUIRE(load.AnsweredBy(member) > before);
  }
  REQUIRE(CoordinatorAt(deployment, member, "north").epoch > epoch);
  load.Stop();
  RequireSafe(deployment, load);
}

// Guards against a coordinator that goes on granting after it was paused and replaced.
TEST_CASE("A coordinator that was paused and replaced grants nothing when it resumes") {
  Deployment deployment(BusySpec());
  deployment.WaitUntilReady();
  const std::size_t paused = CoordinatorOf(deployment, "north");
  const std::size_t member = (paused + 1) % 3;
  const std::uint64_t epoch = CoordinatorAt(deployment, member, "north").epoch;
  Load load(deployment, {.threads = 40, .deadline_ms = 1500});
  deployment.hosts[paused].process->Signal(SIGSTOP);
  Pause(kPauseMs);
  REQUIRE(CoordinatorAt(deployment, member, "north").epoch > epoch);
  deployment.hosts[paused].process->Signal(SIGCONT);
  REQUIRE(ServesAgain(load, paused, 20, 20));
  REQUIRE(CoordinatorAt(deployment, paused, "north").epoch > epoch);
  load.Stop();
  RequireSafe(deployment, load);
}

}  // namespace mangonotch::support
