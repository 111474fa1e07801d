// A filing under a ticket runs at most once, and what was answered `not-run` never ran, while
// issuers are killed and paused and targets lose, cut or delay their answers.
#include <signal.h>

#include <catch2/catch.hpp>

#include "tests/support/deployment.h"
#include "tests/support/filings.h"
#include "tests/support/observe.h"

namespace mangonotch::support {
namespace {

/// Longer than the deadlines of the filings (1 s) and than a grant lasts (8 s).
constexpr int kPauseMs = 9'000;
/// A request that was still on its way when the callers stopped has run by then.
constexpr int kSettleMs = 3'000;

DeploymentSpec FilingSpec() {
  return {.services = {{.name = "status", .targets_per_zone = 2, .slots = 4, .short_ms = 20}}};
}

void SetFaultAtTargets(Deployment& deployment, const std::string& faults) {
  for (const TargetProcess& it : deployment.targets) SetFault(deployment, it.address, faults);
}

/// Compares what the callers were told with what the targets ran.
void RequireAtMostOnce(Deployment& deployment, Filings& filings) {
  filings.Stop();
  Pause(kSettleMs);
  const auto runs = RunsByPath(deployment);
  for (const auto& [path, result] : filings.results()) {
    const auto it = runs.find(path);
    const std::int64_t n = it == runs.end() ? 0 : it->second;
    INFO(path << " ran " << n << " times, result " << static_cast<int>(result));
    REQUIRE(n <= 1);
    if (result == CallResult::kAnswered) REQUIRE(n == 1);
    if (result == CallResult::kNotRun) REQUIRE(n == 0);
  }
  REQUIRE(filings.Count(CallResult::kAnswered) > 100);
  REQUIRE(filings.Count(CallResult::kNoOutcome) == 0);
}

}  // namespace

// Guards against a repeat that runs at another host, or again at the issuer's successor.
TEST_CASE("Filings run at most once while their issuers are killed and restarted") {
  Deployment deployment(FilingSpec());
  deployment.WaitUntilReady();
  Filings filings(deployment, {.threads = 10});
  for (std::size_t host = 0; host < 2; ++host) {
    Pause(1500);
    deployment.hosts[host].process->Kill();
    Pause(500);
    deployment.StartHost(host);
    REQUIRE(Eventually(20, [&] { return RevisionOf(deployment, host) == 1; }));
  }
  Pause(1000);
  RequireAtMostOnce(deployment, filings);
}

// Guards against a paused issuer that dispatches, when it resumes, what its callers gave up.
TEST_CASE("Filings run at most once while their issuer is paused past its deadlines") {
  Deployment deployment(FilingSpec());
  deployment.WaitUntilReady();
  Filings filings(deployment, {.threads = 10});
  Pause(1500);
  deployment.hosts[1].process->Signal(SIGSTOP);
  Pause(kPauseMs);
  deployment.hosts[1].process->Signal(SIGCONT);
  Pause(2000);
  RequireAtMostOnce(deployment, filings);
}

// Guards against a second sending of a filing whose answer was lost, late, cut or not its own.
TEST_CASE("Filings run at most once while targets lose, delay and cut their answers") {
  Deployment deployment(FilingSpec());
  deployment.WaitUntilReady();
  Filings filings(deployment, {.threads = 10});
  for (const char* faults : {"close_after_read=10", "cut_body=10", "cut_chunk=10",
                             "end_by_close=10", "wrong_id=10", "delay_ms=1500"}) {
    SetFaultAtTargets(deployment, faults);
    Pause(1200);
  }
  SetFaultAtTargets(deployment, "delay_ms=0");
  Pause(2000);
  RequireAtMostOnce(deployment, filings);
  // Proof that the faults were met.
  REQUIRE(filings.Count(CallResult::kUnknown) > 10);
}

// Guards against an idempotent request that is said not to have run although a target ran it.
TEST_CASE("An idempotent request that a target ran without an answer is not said to be not run") {
  Deployment deployment(FilingSpec());
  deployment.WaitUntilReady();
  SetFaultAtTargets(deployment, "close_after_read=1000");
  const std::vector<http::HeaderView> headers = {{"Deadline-Ms", "2000"}};
  for (int i = 0; i < 3; ++i) {
    const std::string path = "/puts/" + std::to_string(i);
    const http::Response response = deployment.Call(
        deployment.hosts[0].callers,
        {.method = "PUT", .target = "/s/status" + path, .headers = headers, .body = "x"},
        base::Duration::Seconds(15));
    const auto runs = RunsByPath(deployment);
    const bool has_run = runs.find(path) != runs.end();
    INFO(path << " has run: " << has_run);
    REQUIRE(ResultOf(response) == (has_run ? CallResult::kUnknown : CallResult::kNotRun));
  }
}

}  // namespace mangonotch::support
