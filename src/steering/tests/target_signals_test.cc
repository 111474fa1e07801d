// Tests what targets say of themselves in their answers. Guards against requests to a target that
// has said that it is leaving or that it wants none, in touch with the store or not.
#include "steering/target_signals.h"

#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "base/random.h"
#include "steering/tests/engine_harness.h"

namespace mangonotch::steering {
namespace {

using base::Duration;

AttemptOutcome Leaving(AttemptResult result) {
  return {.result = result, .leaving = ReportKind::kGiven};
}

AttemptOutcome Backoff(std::int64_t ms) {
  return {.result = AttemptResult::kNotRun,
          .backoff = {.kind = ReportKind::kGiven, .time = Duration::Milliseconds(ms)}};
}

catalog::Target MakeIncarnation(const std::string& id, std::int64_t started_at_ms) {
  catalog::Target target = MakeTarget(id);
  target.report.started_at_ms = started_at_ms;
  return target;
}

}  // namespace

TEST_CASE("A target that has said that it is leaving gets no further request") {
  EngineHarness harness({MakeTarget("t1")});
  const ExchangeId id = harness.Request("/look/1", 0);
  harness.engine.OnOutcome(id, 1, Leaving(AttemptResult::kAnswered), At(100));
  REQUIRE(harness.port.delivered.size() == 1);
  harness.Request("/look/2", 200);
  REQUIRE(harness.port.sent.size() == 1);
  REQUIRE(harness.port.local_replies.back().reply.kind == LocalReplyKind::kNotRun);
}

TEST_CASE("A retry, a hedge and a waiting request avoid a target that is leaving") {
  EngineHarness harness({MakeTarget("t1", "status", "a1", 1)});
  const ExchangeId first = harness.Request("/look/1", 0);
  // Wait for the only slots: one request runs and two more are queued at the target.
  harness.Request("/look/2", 1);
  harness.Request("/look/3", 2);
  const ExchangeId waiting = harness.Request("/look/4", 3);
  const std::size_t sent = harness.port.sent.size();
  harness.engine.OnOutcome(first, 1, Leaving(AttemptResult::kFailed), At(50));
  for (std::int64_t ms = 60; ms < 1200; ms += 20) harness.engine.OnTimer(At(ms));
  REQUIRE(harness.port.sent.size() == sent);
  REQUIRE_FALSE(harness.engine.IsOpen(waiting));
}

TEST_CASE("A target stays left although the store lists the same incarnation again") {
  EngineHarness harness({MakeIncarnation("t1", 5)});
  const ExchangeId id = harness.Request("/look/1", 0);
  harness.engine.OnOutcome(id, 1, Leaving(AttemptResult::kAnswered), At(100));
  harness.Apply({}, 200);
  harness.Apply({MakeIncarnation("t1", 5)}, 3000);
  harness.Request("/look/2", 3100);
  REQUIRE(harness.port.sent.size() == 1);
  harness.Apply({MakeIncarnation("t1", 6)}, 4000);
  harness.Request("/look/3", 4100);
  REQUIRE(harness.port.sent.size() == 2);
}

TEST_CASE("An answer of another incarnation says nothing about the target") {
  EngineHarness harness({MakeTarget("t1"), MakeTarget("t2")});
  const ExchangeId id = harness.Request("/look/1", 0);
  const std::string misdirected = harness.LastTarget();
  AttemptOutcome outcome = Leaving(AttemptResult::kMisdirected);
  outcome.backoff = Backoff(60'000).backoff;
  harness.engine.OnOutcome(id, 1, outcome, At(10));
  // The ejection of a misdirected target ends after five seconds.
  std::set<std::string> used;
  for (int i = 0; i < 6; ++i) {
    harness.Request("/look/x", 6000 + i);
    used.insert(harness.LastTarget());
  }
  REQUIRE(used.contains(misdirected));
}

TEST_CASE("A target that wants no requests for a time gets none until then, and then some again") {
  EngineHarness harness({MakeTarget("t1"), MakeTarget("t2")});
  const ExchangeId id = harness.Request("/look/1", 0);
  const std::string quiet = harness.LastTarget();
  harness.engine.OnOutcome(id, 1, Backoff(3000), At(10));
  // The retry goes to the other target.
  REQUIRE(harness.port.sent.size() == 2);
  REQUIRE(harness.LastTarget() != quiet);
  harness.Outcome(id, AttemptResult::kAnswered, 20, 2);
  std::int64_t ms = 30;
  for (; ms < 3010; ms += 30) {
    const ExchangeId next = harness.Request("/look/2", ms);
    REQUIRE(harness.LastTarget() != quiet);
    harness.Outcome(next, AttemptResult::kAnswered, ms + 20);
  }
  // More than the other target has room for.
  std::set<std::string> used;
  for (int i = 0; i < 8; ++i) {
    harness.Request("/look/3", 3100 + i);
    used.insert(harness.LastTarget());
  }
  REQUIRE(used.contains(quiet));
}

TEST_CASE("While all targets back off, a request is refused at once until the first returns") {
  EngineHarness harness({MakeTarget("t1"), MakeTarget("t2")});
  const ExchangeId id = harness.Request("/look/1", 0);
  harness.engine.OnOutcome(id, 1, Backoff(800), At(10));
  harness.engine.OnOutcome(id, 2, Backoff(600), At(20));
  // Targets that want nothing for longer than the request may wait: 100 ms.
  std::set<std::int64_t> returns;
  for (int i = 0; i < 20; ++i) {
    const std::size_t replies = harness.port.local_replies.size();
    harness.Request("/look/2", 100, 0, 2000);
    REQUIRE(harness.port.local_replies.size() == replies + 1);
    const LocalReply& reply = harness.port.local_replies.back().reply;
    REQUIRE(reply.kind == LocalReplyKind::kNotRun);
    REQUIRE(reply.reason == LocalReplyReason::kTargetsBackingOff);
    // Not before the earlier end at 620 ms, and not all at the same moment.
    REQUIRE(reply.retry_after >= Duration::Milliseconds(520));
    REQUIRE(reply.retry_after <= Duration::Milliseconds(900));
    returns.insert(reply.retry_after.milliseconds());
  }
  REQUIRE(returns.size() > 5);
  REQUIRE(harness.port.sent.size() == 2);
}

TEST_CASE("A caller is never told to come back after its deadline") {
  EngineHarness harness({MakeTarget("t1")});
  const ExchangeId id = harness.Request("/look/1", 0);
  harness.engine.OnOutcome(id, 1, Backoff(30'000), At(10));
  harness.Request("/look/2", 100, 0, 400);
  REQUIRE(harness.port.local_replies.back().reply.retry_after <= Duration::Milliseconds(400));
}

TEST_CASE("A request waits for a back-off that ends soon") {
  EngineHarness harness({MakeTarget("t1")});
  const ExchangeId id = harness.Request("/look/1", 0);
  harness.engine.OnOutcome(id, 1, Backoff(100), At(10));
  const ExchangeId next = harness.Request("/look/2", 50);
  REQUIRE(harness.engine.IsOpen(next));
  REQUIRE(harness.port.sent.size() == 1);
  harness.engine.OnTimer(harness.engine.NextDeadline());
  REQUIRE(harness.port.sent.size() == 2);
  REQUIRE(harness.port.sent.back().id == next);
}

TEST_CASE("A malformed signal neither stops a target nor shortens a back-off") {
  EngineHarness harness({MakeTarget("t1")});
  ExchangeId id = harness.Request("/look/1", 0);
  harness.engine.OnOutcome(id, 1,
                           {.result = AttemptResult::kAnswered,
                            .backoff = {.kind = ReportKind::kMalformed},
                            .leaving = ReportKind::kMalformed},
                           At(10));
  id = harness.Request("/look/2", 20);
  REQUIRE(harness.port.sent.size() == 2);
  harness.engine.OnOutcome(id, 1, Backoff(5000), At(30));
  TargetSignals signals;
  signals.OnAnswer(Backoff(5000), At(0));
  REQUIRE_FALSE(signals.OnAnswer(Backoff(1000), At(10)));
  REQUIRE(signals.backoff_until() == At(5000));
}

// Guards against requests after a signal whatever the order of answers, restarts and listings.
TEST_CASE(
    "No sequence of answers, restarts and outages sends requests to a target that wants none") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    base::Random random(seed);
    std::int64_t incarnation = 1;
    EngineHarness harness({MakeIncarnation("t1", incarnation), MakeTarget("t2")});
    base::Instant quiet_until;
    bool is_leaving = false;
    bool is_listed = true;
    std::deque<std::pair<ExchangeId, AttemptNumber>> open;
    std::size_t checked = 0;
    for (std::int64_t ms = 0; ms < 8000; ms += 20) {
      harness.engine.OnTimer(At(ms));
      switch (random.Below(12)) {
        case 0:
          is_listed = !is_listed;
          break;
        case 1:
          if (random.Below(4) == 0) {
            ++incarnation;
            is_leaving = false;
            quiet_until = base::Instant();
            is_listed = true;
          }
          break;
        default:
          harness.Request(random.Below(2) == 0 ? "/look/1" : "/file/1", ms);
      }
      std::vector<catalog::Target> targets{MakeTarget("t2")};
      if (is_listed) targets.push_back(MakeIncarnation("t1", incarnation));
      harness.Apply(targets, ms);
      for (; checked < harness.port.sent.size(); ++checked) {
        const auto& sent = harness.port.sent[checked];
        if (sent.command.target_id == "t1") {
          REQUIRE_FALSE(is_leaving);
          REQUIRE(At(ms) >= quiet_until);
        }
        open.emplace_back(sent.id, sent.command.number);
      }
      if (open.empty() || random.Below(3) == 0) continue;
      const auto [id, number] = open.front();
      open.pop_front();
      const auto sent = std::find_if(harness.port.sent.begin(), harness.port.sent.end(),
                                     [&, id = id, number = number](const RecordingPort::Sent& it) {
                                       return it.id == id && it.command.number == number;
                                     });
      // The outcome may make the engine send again, which invalidates `sent`.
      const bool is_of_first = sent->command.target_id == "t1";
      AttemptOutcome outcome{.result = AttemptResult::kAnswered};
      const std::uint32_t kind = random.Below(8);
      if (kind == 0) outcome = Leaving(AttemptResult::kAnswered);
      if (kind == 1) outcome = Backoff(random.Below(2000));
      const bool is_open = harness.engine.IsOpen(id);
      harness.engine.OnOutcome(id, number, outcome, At(ms + 10));
      if (!is_open || !is_of_first) continue;
      // The outcome of a cancelled attempt is not reported; then the signal is not known either.
      const bool was_cancelled =
          std::find(harness.port.cancelled.begin(), harness.port.cancelled.end(),
                    std::pair(id, number)) != harness.port.cancelled.end();
      if (was_cancelled) continue;
      if (kind == 0) is_leaving = true;
      if (kind == 1) quiet_until = std::max(quiet_until, At(ms + 10) + outcome.backoff.time);
    }
  }
}

}  // namespace mangonotch::steering
