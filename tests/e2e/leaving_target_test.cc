// A target that drains gets no new work from any host soon after the first could learn of it, its
// requests in flight finish, and it gets work again when it is back.
#include <signal.h>

#include <catch2/catch.hpp>
#include <thread>

#include "tests/support/deployment.h"
#include "tests/support/load.h"
#include "tests/support/observe.h"

namespace mangonotch::support {
namespace {

/// Design page, invariant 6.
constexpr std::int64_t kLearnMs = 3'000;
/// How long the load goes on after that, and what a drain that is only seen in answers may take to
/// be seen first: the time for which a target may stay without a request under this load.
constexpr int kWatchMs = 5'000;
constexpr std::int64_t kFirstAnswerMs = 1'000;

DeploymentSpec DrainSpec() {
  return {.services = {{.name = "status", .targets_per_zone = 2, .slots = 4, .short_ms = 20}}};
}

/// The coordinator asks each health endpoint once a second.
constexpr int kHealthMs = 2'500;

/// Drains the first target under load until well after the bound, then ends the drain.
void DrainUnderLoad(Deployment& deployment, const std::string& faults, std::int64_t bound_ms) {
  const TargetProcess& target = deployment.targets[0];
  Load load(deployment, {.threads = 12});
  REQUIRE(Eventually(10, [&] { return TargetCount(deployment, target, "runs") > 50; }));
  SetFault(deployment, target.address, faults);
  Pause(static_cast<int>(kLearnMs) + kWatchMs);
  INFO(load.Text());
  CHECK(TargetCount(deployment, target, "last_after_drain_ms") <= bound_ms);
  CHECK(TargetCount(deployment, target, "in_flight") == 0);

  // A mark ends only when the health endpoint has shown the drain too: one that said live all the
  // while proves nothing.
  SetFault(deployment, target.address, "drain_hidden=0");
  Pause(kHealthMs);
  SetFault(deployment, target.address, "drain=0");
  const std::int64_t runs = TargetCount(deployment, target, "runs");
  CHECK(Eventually(15, [&] { return TargetCount(deployment, target, "runs") > runs + 20; }));
  load.Stop();
  CHECK(load.Count(CallResult::kNoAnswer) == 0);
  CHECK(load.Count(CallResult::kUnknown) == 0);
  CHECK(load.Count(CallResult::kMismatched) == 0);
  CHECK(TargetSum(deployment, "breaches") == 0);
}

}  // namespace

// Guards against hosts that go on using a target that another host knows to be leaving.
TEST_CASE("A target whose health endpoint says that it drains gets no new work") {
  Deployment deployment(DrainSpec());
  deployment.WaitUntilReady();
  DrainUnderLoad(deployment, "drain=1", kLearnMs);
}

// Guards against a mark that the lagging health endpoint takes back.
TEST_CASE("A target that says only in its answers that it drains gets no new work") {
  Deployment deployment(DrainSpec());
  deployment.WaitUntilReady();
  DrainUnderLoad(deployment, "drain=1&drain_hidden=1", kLearnMs + kFirstAnswerMs);
}

// Guards against a drain that cuts requests in flight.
TEST_CASE("Requests in flight at a target that drains finish") {
  Deployment deployment(DrainSpec());
  deployment.WaitUntilReady();
  constexpr int kCallers = 9;
  std::array<CallResult, kCallers> results{};
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const std::vector<http::HeaderView> headers = {{"Service-Ms", "5000"}};
      results[i] = ResultOf(deployment.Call(
          deployment.hosts[i % 3].callers,
          {.method = "GET", .target = "/s/status/slow", .headers = headers, .body = {}},
          base::Duration::Seconds(15)));
    });
  }
  const bool is_in_flight = Eventually(3, [&] {
    return TargetSum(deployment, "in_flight") == kCallers &&
           TargetCount(deployment, deployment.targets[0], "in_flight") > 0;
  });
  SetFault(deployment, deployment.targets[0].address, "drain=1");
  for (std::thread& it : callers) it.join();
  REQUIRE(is_in_flight);
  for (const CallResult it : results) REQUIRE(it == CallResult::kAnswered);
  REQUIRE(TargetSum(deployment, "cancelled") == 0);
}

}  // namespace mangonotch::support
