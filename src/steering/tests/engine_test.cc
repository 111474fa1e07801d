// Covers the outcomes of a single request, and the limits on sends to cold targets.
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "steering/tests/engine_harness.h"

namespace mangonotch::steering {

TEST_CASE("An answer of the target is delivered and frees its slot") {
  EngineHarness host({MakeTarget("t1")});
  const ExchangeId id = host.Request("/look/1", 0);
  REQUIRE(host.port.sent.size() == 1);
  REQUIRE(host.port.sent[0].command.deadline == At(1000));
  host.Outcome(id, AttemptResult::kAnswered, 50);
  REQUIRE(host.port.delivered == std::vector{std::pair{id, AttemptNumber{1}}});
  REQUIRE(host.engine.OwnLoads().empty());
  REQUIRE_FALSE(host.engine.IsOpen(id));
}

// Guards against running a non-idempotent request twice.
TEST_CASE("A non-idempotent request that may have run is never sent again") {
  for (const AttemptResult result : {AttemptResult::kLost, AttemptResult::kFailed}) {
    EngineHarness host({MakeTarget("t1"), MakeTarget("t2")});
    const ExchangeId id = host.Request("/file/1", 0);
    host.Outcome(id, result, 10);
    host.engine.OnTimer(At(900));
    REQUIRE(host.port.sent.size() == 1);
    if (result == AttemptResult::kLost) {
      REQUIRE(host.port.local_replies.at(0).reply.kind == LocalReplyKind::kMayHaveRun);
    } else {
      REQUIRE(host.port.delivered.size() == 1);
    }
  }
}

TEST_CASE("A non-idempotent request that did not run goes to another target") {
  for (const AttemptResult result :
       {AttemptResult::kNotRun, AttemptResult::kMisdirected, AttemptResult::kNotSent}) {
    EngineHarness host({MakeTarget("t1"), MakeTarget("t2")});
    const ExchangeId id = host.Request("/file/1", 0);
    const std::string first = host.LastTarget();
    host.Outcome(id, result, 10);
    REQUIRE(host.port.sent.size() == 2);
    REQUIRE(host.LastTarget() != first);
    REQUIRE(host.port.local_replies.empty());
  }
}

// Guards against a false "not run", after which the caller submits its request a second time.
TEST_CASE("A refusal after a lost answer is not reported as not-run") {
  EngineHarness host({MakeTarget("t1"), MakeTarget("t2")});
  const ExchangeId id = host.Request("/look/1", 0);
  host.Outcome(id, AttemptResult::kLost, 10);
  REQUIRE(host.port.sent.size() == 2);
  host.Outcome(id, AttemptResult::kNotRun, 20, 2);
  REQUIRE(host.port.local_replies.at(0).reply.kind == LocalReplyKind::kMayHaveRun);
}

TEST_CASE("A request is sent to no more targets than its route allows") {
  EngineHarness host({MakeTarget("t1"), MakeTarget("t2"), MakeTarget("t3"), MakeTarget("t4")});
  const ExchangeId id = host.Request("/look/1", 0);
  host.Outcome(id, AttemptResult::kLost, 10);
  host.Outcome(id, AttemptResult::kLost, 20, 2);
  REQUIRE(host.port.sent.size() == 2);
  REQUIRE(host.port.local_replies.at(0).reply.kind == LocalReplyKind::kMayHaveRun);
}

TEST_CASE("Attempts that did not reach a target do not count towards the route's max_attempts") {
  EngineHarness host({MakeTarget("t1"), MakeTarget("t2"), MakeTarget("t3")});
  const ExchangeId id = host.Request("/look/1", 0);
  host.Outcome(id, AttemptResult::kNotSent, 10);
  host.Outcome(id, AttemptResult::kNotSent, 20, 2);
  REQUIRE(host.port.sent.size() == 3);
}

TEST_CASE("A failed request is not retried when the retry budget is used up") {
  EngineHarness host({MakeTarget("t1"), MakeTarget("t2")}, 0);
  const ExchangeId id = host.Request("/look/1", 0);
  host.Outcome(id, AttemptResult::kNotRun, 10);
  REQUIRE(host.port.sent.size() == 1);
  REQUIRE(host.port.local_replies.at(0).reply.kind == LocalReplyKind::kNotRun);
}

TEST_CASE("An idempotent request is cancelled when its caller disconnects") {
  EngineHarness host({MakeTarget("t1")});
  const ExchangeId id = host.Request("/look/1", 0);
  host.engine.OnCallerGone(id, At(10));
  REQUIRE(host.port.cancelled == std::vector{std::pair{id, AttemptNumber{1}}});
  REQUIRE_FALSE(host.engine.IsOpen(id));
  REQUIRE(host.engine.OwnLoads().empty());
}

TEST_CASE(
    "A non-idempotent request in progress is not cancelled or retried when its caller "
    "disconnects") {
  EngineHarness host({MakeTarget("t1"), MakeTarget("t2")});
  const ExchangeId id = host.Request("/file/1", 0);
  host.engine.OnCallerGone(id, At(10));
  REQUIRE(host.port.cancelled.empty());
  host.Outcome(id, AttemptResult::kNotRun, 20);
  REQUIRE(host.port.sent.size() == 1);
  REQUIRE(host.port.local_replies.empty());
  REQUIRE_FALSE(host.engine.IsOpen(id));
}

TEST_CASE("A request without an answer is cancelled at its route's timeout") {
  EngineHarness host({MakeTarget("t1")});
  const ExchangeId id = host.Request("/look/1", 0, 0, 60'000);
  while (host.engine.NextDeadline() < At(1500)) host.engine.OnTimer(host.engine.NextDeadline());
  REQUIRE(host.port.local_replies.at(0).id == id);
  REQUIRE(host.port.local_replies.at(0).reply.kind == LocalReplyKind::kTimedOut);
  REQUIRE(host.port.cancelled.size() == 1);
}

TEST_CASE("An idempotent request to a silent target is hedged, and the first answer is delivered") {
  EngineHarness host({MakeTarget("t1"), MakeTarget("t2")});
  const ExchangeId id = host.Request("/look/1", 0, 0, 60'000);
  host.engine.OnTimer(host.engine.NextDeadline());
  REQUIRE(host.port.sent.size() == 2);
  host.Outcome(id, AttemptResult::kAnswered, 700, 2);
  REQUIRE(host.port.delivered == std::vector{std::pair{id, AttemptNumber{2}}});
  REQUIRE(host.port.cancelled == std::vector{std::pair{id, AttemptNumber{1}}});
}

TEST_CASE(
    "Draining targets, evacuated zones and regions that the route does not allow get no requests") {
  catalog::Target draining = MakeTarget("draining");
  draining.is_draining = true;
  EngineHarness host(
      {draining, MakeTarget("evacuated", "status", "a2"), MakeTarget("foreign", "status", "b1")});
  host.configuration.routes[0].allowed_regions = {"A"};
  host.evacuated_zones = {"a2"};
  host.Apply(
      {draining, MakeTarget("evacuated", "status", "a2"), MakeTarget("foreign", "status", "b1")},
      1);
  host.Request("/look/1", 2);
  REQUIRE(host.port.sent.empty());
  REQUIRE(host.port.local_replies.at(0).reply.reason == LocalReplyReason::kNoTarget);
}

TEST_CASE(
    "Requests are refused as not run without a configuration, and as kNoRoute without a route") {
  RecordingPort port;
  NullObserver observer;
  Engine<RecordingPort, NullObserver> engine(EngineHarness::Settings(1), port, observer);
  engine.OnRequest(1, {.host = "h.example", .target = "/look/1"}, At(0));
  REQUIRE(port.local_replies.at(0).reply.kind == LocalReplyKind::kNotRun);
  EngineHarness host({MakeTarget("t1")});
  host.Request("/other/1", 0);
  REQUIRE(host.port.local_replies.at(0).reply.kind == LocalReplyKind::kNoRoute);
}

TEST_CASE("A route's requests are divided among its services exactly by weight") {
  EngineHarness host({});
  host.configuration.routes[0].services = {{.service = "status", .weight = 90},
                                           {.service = "other", .weight = 10}};
  std::vector<catalog::Target> targets;
  for (int i = 0; i < 60; ++i) {
    targets.push_back(MakeTarget("s" + std::to_string(i), "status"));
    targets.push_back(MakeTarget("o" + std::to_string(i), "other"));
  }
  host.Apply(targets, 0);
  for (int i = 0; i < 100; ++i) host.Request("/look/1", i);
  const auto other = std::count_if(host.port.sent.begin(), host.port.sent.end(),
                                   [](const auto& it) { return it.command.target_id[0] == 'o'; });
  REQUIRE(other == 10);
}

TEST_CASE("A cold target gets no more than this host's share of its rate, whatever the load") {
  catalog::Target cold = MakeTarget("cold", "status", "a1", 100);
  cold.cold_until = At(60'000);
  EngineHarness host({cold});
  host.engine.SetHosts(4, {11, 12, 13});
  for (int ms = 0; ms < 3000; ++ms) host.Request("/look/1", ms);
  // A quarter of 16 requests per second for three seconds, plus the share of the first second
  // again.
  REQUIRE(host.port.sent.size() <= 16);
  REQUIRE(host.port.sent.size() >= 8);
}

// Guards against the case of more hosts than permitted requests per second, where even one request
// from each host exceeds the rate.
TEST_CASE("Sixty hosts together stay within the rate of each cold target") {
  constexpr std::uint64_t kHosts = 60;
  std::map<std::string, int> sends;
  for (std::uint64_t self = 1; self <= kHosts; ++self) {
    std::vector<catalog::Target> targets;
    for (int i = 0; i < 20; ++i) {
      targets.push_back(MakeTarget("t" + std::to_string(i), "status", "a1", 100));
      targets.back().cold_until = At(60'000);
    }
    EngineSettings settings = EngineHarness::Settings(100);
    settings.host_key = base::Mix(self);
    EngineHarness host(targets, settings);
    std::vector<std::uint64_t> others;
    for (std::uint64_t it = 1; it <= kHosts; ++it) {
      if (it != self) others.push_back(base::Mix(it));
    }
    host.engine.SetHosts(kHosts, others);
    for (int i = 0; i < 40; ++i) host.Request("/look/1", i);
    for (const auto& it : host.port.sent) ++sends[it.command.target_id];
  }
  for (const auto& [id, n] : sends) REQUIRE(n <= 16);
  REQUIRE(sends.size() == 20);
}

TEST_CASE("A cold target of another region gets no requests") {
  catalog::Target cold = MakeTarget("cold", "status", "b1");
  cold.cold_until = At(60'000);
  EngineHarness host({cold});
  host.Request("/look/1", 0);
  REQUIRE(host.port.sent.empty());
}

// Guards against delivering the missing answer of the other attempt, which the caller would take
// for a success that no target reported.
TEST_CASE("With two open attempts, the failure delivered is that of the attempt that failed") {
  EngineHarness host({MakeTarget("t1"), MakeTarget("t2")});
  const ExchangeId id = host.Request("/look/1", 0, 0, 60'000);
  host.engine.OnTimer(host.engine.NextDeadline());
  REQUIRE(host.port.sent.size() == 2);
  host.Outcome(id, AttemptResult::kLost, 600, 2);
  host.Outcome(id, AttemptResult::kFailed, 700, 1);
  REQUIRE(host.port.delivered == std::vector{std::pair{id, AttemptNumber{1}}});
}

// A crashed target restarts cold, and the requests of the other hosts may already use up its rate.
TEST_CASE("A target that could not be reached is treated as cold") {
  EngineHarness host({MakeTarget("t1", "status", "a1", 100)});
  host.engine.SetHosts(16, std::vector<std::uint64_t>(15, 1));
  host.Outcome(host.Request("/look/1", 0), AttemptResult::kNotSent, 1);
  const std::size_t before = host.port.sent.size();
  for (int ms = 1100; ms < 2000; ms += 10) host.Request("/look/1", ms);
  REQUIRE(host.port.sent.size() <= before + 1);
}

TEST_CASE("A new incarnation under the same identifier does not inherit the old one's failures") {
  EngineHarness host({MakeTarget("t1")});
  for (int i = 0; i < 5; ++i) host.Outcome(host.Request("/look/1", i), AttemptResult::kLost, i);
  catalog::Target restarted = MakeTarget("t1");
  restarted.report.started_at_ms = 7;
  host.Apply({restarted, MakeTarget("t2")}, 10);
  std::set<std::string> used;
  for (int i = 0; i < 4; ++i) {
    host.Request("/look/1", 20);
    used.insert(host.LastTarget());
  }
  REQUIRE(used.contains("t1"));
}

// Guards against the fault that a target which could not be reached was sent its full load again
// after the next change of the catalog, which came before the target's own report that it is cold.
TEST_CASE("A target that could not be reached stays cold when its unchanged record comes again") {
  EngineHarness harness({MakeTarget("t1", "status", "a1", 50)});
  harness.engine.SetHosts(16, std::vector<std::uint64_t>(15, 1));
  const ExchangeId id = harness.Request("/look/1", 0);
  harness.Outcome(id, AttemptResult::kNotSent, 10);
  harness.Apply({MakeTarget("t1", "status", "a1", 50)}, 20);
  const std::size_t sent = harness.port.sent.size();
  for (int i = 0; i < 10; ++i) harness.Request("/look/2", 100 + i);
  // Of 0.9 times 16 requests a second, one host of sixteen may send one.
  REQUIRE(harness.port.sent.size() <= sent + 1);
}

// Guards against the fault that a request waited for the end of another one although a target
// could serve it: the request before it in the queue had timed out and nothing looked again.
TEST_CASE("When a waiting request times out, those behind it are sent to targets with room") {
  catalog::Target only_for_second = MakeTarget("t2", "status", "b1", 1);
  EngineHarness harness({MakeTarget("t1", "status", "a1", 1), only_for_second});
  harness.configuration.routes.push_back(MakeRoute("/home/", true));
  harness.configuration.routes.back().allowed_regions = {"A"};
  harness.configuration.routes.back().priority = 0;
  harness.configuration.routes.back().latency_objective = base::Duration::Milliseconds(150);
  for (catalog::Route& it : harness.configuration.routes) {
    if (it.path_prefix != "/home/") it.priority = 1;
  }
  ++harness.configuration.version;
  harness.Apply({MakeTarget("t1", "status", "a1", 1), only_for_second}, 0);
  // Fills both targets and their queues.
  std::vector<ExchangeId> at_second;
  for (int i = 0; i < 6; ++i) {
    const ExchangeId id = harness.Request("/look/1", i);
    if (harness.port.sent.back().id == id && harness.LastTarget() == "t2") at_second.push_back(id);
  }
  REQUIRE(at_second.size() == 3);
  harness.Request("/home/1", 10);
  const ExchangeId behind = harness.Request("/look/2", 11);
  REQUIRE(harness.engine.IsOpen(behind));
  // The second target gets room, which the first in the queue must not use.
  harness.Outcome(at_second.front(), AttemptResult::kAnswered, 20);
  REQUIRE(harness.port.sent.size() == 6);
  harness.engine.OnTimer(At(61));
  REQUIRE(harness.port.sent.size() == 7);
  REQUIRE(harness.port.sent.back().id == behind);
}

// Guards against requests that were taken before the target reported that it drains.
TEST_CASE("A retry, a hedge and a waiting request avoid a target that has begun to drain") {
  catalog::Target target = MakeTarget("t1", "status", "a1", 1);
  EngineHarness harness({target});
  const ExchangeId first = harness.Request("/look/1", 0);
  // Wait for the only slots: one request runs and two more are queued at the target.
  harness.Request("/look/2", 1);
  harness.Request("/look/3", 2);
  const ExchangeId waiting = harness.Request("/look/4", 3);
  const std::size_t sent = harness.port.sent.size();
  REQUIRE(harness.engine.IsOpen(waiting));
  target.is_draining = true;
  harness.Apply({target}, 40);
  harness.Outcome(first, AttemptResult::kFailed, 50);
  for (std::int64_t ms = 60; ms < 1200; ms += 20) harness.engine.OnTimer(At(ms));
  REQUIRE(harness.port.sent.size() == sent);
  REQUIRE_FALSE(harness.engine.IsOpen(waiting));
}

TEST_CASE("A target that returns has the load of the requests that it still serves") {
  EngineHarness harness({MakeTarget("t1", "status", "a1", 1), MakeTarget("t2", "status", "a1", 1)});
  const ExchangeId id = harness.Request("/file/1", 0);
  const std::string busy = harness.LastTarget();
  const std::string other = busy == "t1" ? "t2" : "t1";
  harness.Apply({MakeTarget(other, "status", "a1", 1)}, 10);
  harness.Apply({MakeTarget("t1", "status", "a1", 1), MakeTarget("t2", "status", "a1", 1)}, 20);
  harness.Request("/file/2", 30);
  REQUIRE(harness.LastTarget() == other);
  harness.Outcome(id, AttemptResult::kAnswered, 40);
  REQUIRE(harness.port.delivered.size() == 1);
}

// Guards against requests that are taken late in a planned stop and cut off at its end.
TEST_CASE("A stopping host refuses further requests as not run and completes those it has taken") {
  EngineHarness harness({MakeTarget("t1")});
  const ExchangeId taken = harness.Request("/file/1", 0);
  harness.engine.StopTaking();
  harness.Request("/file/2", 10);
  REQUIRE(harness.port.sent.size() == 1);
  const LocalReply& reply = harness.port.local_replies.back().reply;
  REQUIRE(reply.kind == LocalReplyKind::kNotRun);
  REQUIRE(reply.reason == LocalReplyReason::kStopping);
  harness.Outcome(taken, AttemptResult::kAnswered, 20);
  REQUIRE(harness.port.delivered.size() == 1);
}

}  // namespace mangonotch::steering
