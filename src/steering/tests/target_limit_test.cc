// Runs hosts of several regions against targets that name a limit in their answers. Guards against
// a target that gets more requests than it has named, summed over all hosts, and against callers
// that are refused although the limits leave room.
#include "steering/target_limit.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>

#include "base/random.h"
#include "steering/tests/engine_harness.h"

namespace mangonotch::steering {
namespace {

constexpr int kRegions = 3;
constexpr std::int64_t kServiceMs = 200;
/// When the targets begin and cease to name their limits.
constexpr std::int64_t kNamedFromMs = 2000;
constexpr std::int64_t kNamedUntilMs = 20'000;
/// From when on after that the limit has to be kept, and the length of the windows that are
/// checked.
constexpr std::int64_t kStableMs = 3000;
constexpr std::int64_t kWindowMs = 4000;

std::string ZoneOf(int region) { return std::string(1, static_cast<char>('a' + region)) + "1"; }
std::string RegionNameOf(int region) { return std::string(1, static_cast<char>('A' + region)); }

struct LimitedTarget {
  catalog::Target record;
  /// Requests per second; negative for a target without a limit.
  double limit = -1;
  std::deque<std::int64_t> arrivals{};
  std::size_t most_in_window = 0;
  int served_while_limited = 0;
};

struct PendingAnswer {
  std::size_t host = 0;
  ExchangeId id = 0;
  AttemptNumber number = 0;
  std::size_t target = 0;
};

/// Hosts and targets spread over three regions, with load from callers of all of them.
class LimitSimulation {
 public:
  LimitSimulation(int hosts_per_region, const std::vector<double>& limits) {
    for (std::size_t i = 0; i < limits.size(); ++i) {
      const int region = static_cast<int>(i) % kRegions;
      const auto record = MakeTarget("t" + std::to_string(i), "status", ZoneOf(region), 8);
      targets_.push_back({.record = record, .limit = limits[i]});
    }
    std::vector<catalog::Target> records;
    for (const LimitedTarget& it : targets_) records.push_back(it.record);
    for (int i = 0; i < hosts_per_region * kRegions; ++i) {
      EngineSettings settings = EngineHarness::Settings(100);
      settings.region = RegionNameOf(i % kRegions);
      settings.host_key = HostKey(i);
      settings.zones.clear();
      for (int r = 0; r < kRegions; ++r) settings.zones[ZoneOf(r)] = RegionNameOf(r);
      hosts_.push_back(std::make_unique<EngineHarness>(records, settings));
      std::vector<std::uint64_t> local;
      for (int k = i % kRegions; k < hosts_per_region * kRegions; k += kRegions) {
        if (k != i) local.push_back(HostKey(k));
      }
      hosts_.back()->engine.SetHosts(static_cast<std::uint32_t>(hosts_per_region * kRegions),
                                     std::move(local));
    }
  }

  /// Regions from which callers come; all by default.
  void SetCallerRegions(int n) { caller_regions_ = n; }

  void Run(double per_s, std::int64_t until_ms) {
    double due = 0;
    for (; ms_ < until_ms; ++ms_) {
      for (due += per_s / 1000.0; due >= 1; --due) SendRequest();
      AnswerDue();
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i]->engine.OnTimer(At(ms_));
        TakeSent(i);
      }
    }
  }

  const std::vector<LimitedTarget>& targets() const { return targets_; }
  int requests() const { return requests_; }
  int answered() const { return answered_; }

 private:
  static std::uint64_t HostKey(int i) { return base::Hash("host-" + std::to_string(i)); }

  bool IsLimitNamed() const { return ms_ >= kNamedFromMs && ms_ < kNamedUntilMs; }

  void SendRequest() {
    const auto region = random_.Below(static_cast<std::uint32_t>(caller_regions_));
    const auto n = static_cast<std::uint32_t>(hosts_.size() / kRegions);
    const std::size_t host = region + random_.Below(n) * kRegions;
    ++requests_;
    hosts_[host]->Request("/look/1", ms_);
    TakeSent(host);
  }

  void TakeSent(std::size_t host) {
    auto& sent = hosts_[host]->port.sent;
    for (const auto& it : sent) {
      const std::size_t target = std::stoul(it.command.target_id.substr(1));
      CountArrival(targets_[target]);
      answers_.emplace(ms_ + kServiceMs, PendingAnswer{host, it.id, it.command.number, target});
    }
    sent.clear();
  }

  void CountArrival(LimitedTarget& target) {
    if (ms_ < kNamedFromMs + kStableMs || ms_ >= kNamedUntilMs) return;
    target.arrivals.push_back(ms_);
    while (target.arrivals.front() <= ms_ - kWindowMs) target.arrivals.pop_front();
    target.most_in_window = std::max(target.most_in_window, target.arrivals.size());
    ++target.served_while_limited;
  }

  void AnswerDue() {
    while (!answers_.empty() && answers_.begin()->first <= ms_) {
      const PendingAnswer answer = answers_.begin()->second;
      answers_.erase(answers_.begin());
      EngineHarness& host = *hosts_[answer.host];
      answered_ += host.engine.IsOpen(answer.id) ? 1 : 0;
      AttemptOutcome outcome{.result = AttemptResult::kAnswered};
      const double limit = targets_[answer.target].limit;
      if (limit >= 0 && IsLimitNamed()) {
        outcome.rate_limit = {.kind = ReportKind::kGiven, .per_second = limit};
      }
      host.engine.OnOutcome(answer.id, answer.number, outcome, At(ms_));
      TakeSent(answer.host);
    }
  }

  std::vector<std::unique_ptr<EngineHarness>> hosts_;
  std::vector<LimitedTarget> targets_;
  std::multimap<std::int64_t, PendingAnswer> answers_;
  base::Random random_{11};
  int caller_regions_ = kRegions;
  std::int64_t ms_ = 0;
  int requests_ = 0;
  int answered_ = 0;
};

void RequireLimitsKept(const LimitSimulation& simulation) {
  for (const LimitedTarget& it : simulation.targets()) {
    if (it.limit < 0) continue;
    INFO(it.record.id << " names " << it.limit << " a second");
    REQUIRE(static_cast<double>(it.most_in_window) <= 1.5 * it.limit * kWindowMs / 1000 + 5);
  }
}

/// Twelve targets, of which eight name the limits that `capped` days show.
std::vector<double> CappedTargets() {
  return {7.3, 11.8, 4.1, -1, 12.3, 9.1, 6.8, -1, 8.1, 3.9, -1, -1};
}

}  // namespace

TEST_CASE("A target gets no more requests from all hosts together than the limit that it names") {
  for (const int hosts_per_region : {1, 3, 20}) {
    LimitSimulation simulation(hosts_per_region, CappedTargets());
    simulation.Run(250, kNamedUntilMs);
    INFO(hosts_per_region << " hosts a region");
    RequireLimitsKept(simulation);
  }
}

TEST_CASE("The room that the limits leave is used") {
  for (const int hosts_per_region : {1, 3}) {
    LimitSimulation simulation(hosts_per_region, {8, 8, 8, 8, 8, 8});
    simulation.Run(120, kNamedUntilMs);
    const double seconds = (kNamedUntilMs - kNamedFromMs - kStableMs) / 1000.0;
    INFO(hosts_per_region << " hosts a region");
    for (const LimitedTarget& it : simulation.targets()) {
      REQUIRE(it.served_while_limited >= 0.75 * it.limit * seconds);
    }
  }
}

TEST_CASE("Callers of a region whose targets cannot serve them get part of other regions' limits") {
  LimitSimulation simulation(3, {-1, 20, 20, 0, 20, 20});
  simulation.SetCallerRegions(1);
  simulation.Run(20, kNamedUntilMs);
  RequireLimitsKept(simulation);
  REQUIRE(simulation.answered() >= simulation.requests() * 9 / 10);
}

TEST_CASE("A target is used fully again after it has ceased to name a limit") {
  LimitSimulation simulation(3, {4, 4, 4});
  simulation.Run(60, kNamedUntilMs + 3000);
  const int answered = simulation.answered();
  const int requests = simulation.requests();
  simulation.Run(60, kNamedUntilMs + 13'000);
  REQUIRE(simulation.answered() - answered >= (simulation.requests() - requests) * 98 / 100);
}

namespace {

RateLimitReport Named(double per_second) {
  return {.kind = ReportKind::kGiven, .per_second = per_second};
}

void Answer(EngineHarness& host, ExchangeId id, const RateLimitReport& report, std::int64_t ms) {
  host.engine.OnOutcome(id, 1, {.result = AttemptResult::kAnswered, .rate_limit = report}, At(ms));
}

}  // namespace

TEST_CASE("A request that no limit leaves room for in time is refused at once") {
  EngineHarness host({MakeTarget("t1")});
  Answer(host, host.Request("/look/1", 0), Named(1), 10);
  host.Request("/look/2", 20);
  REQUIRE(host.port.sent.size() == 2);
  host.Request("/look/3", 30);
  REQUIRE(host.port.sent.size() == 2);
  const LocalReply& reply = host.port.local_replies.at(0).reply;
  REQUIRE(reply.reason == LocalReplyReason::kTargetsLimited);
  REQUIRE(reply.kind == LocalReplyKind::kNotRun);
  REQUIRE(reply.retry_after > base::Duration::Milliseconds(900));
}

TEST_CASE("A request waits for a limit that leaves room soon") {
  EngineHarness host({MakeTarget("t1")});
  Answer(host, host.Request("/look/1", 0), Named(20), 10);
  std::size_t sent = 0;
  while (sent < host.port.sent.size()) {
    sent = host.port.sent.size();
    host.Request("/look/2", 20);
  }
  REQUIRE(sent < 20);
  REQUIRE(host.port.local_replies.empty());
  const base::Instant next = host.engine.NextDeadline();
  REQUIRE(next > At(20));
  REQUIRE(next <= At(80));
  host.engine.OnTimer(next);
  REQUIRE(host.port.sent.size() == sent + 1);
}

TEST_CASE("An answer to a request sent before the limit was named does not end the limit") {
  EngineHarness host({MakeTarget("t1", "status", "a1", 8)});
  const ExchangeId early = host.Request("/look/1", 0);
  const ExchangeId other = host.Request("/look/2", 1);
  Answer(host, other, Named(1), 10);
  Answer(host, early, {}, 20);
  host.Request("/look/3", 30);
  host.Request("/look/4", 40);
  REQUIRE(host.port.local_replies.size() == 1);
}

TEST_CASE("A malformed limit neither starts nor ends a limit") {
  const RateLimitReport malformed{.kind = ReportKind::kMalformed};
  EngineHarness host({MakeTarget("t1", "status", "a1", 8)});
  Answer(host, host.Request("/look/1", 0), malformed, 10);
  for (int i = 0; i < 5; ++i) host.Request("/look/2", 20);
  REQUIRE(host.port.sent.size() == 6);
  Answer(host, host.port.sent.back().id, Named(1), 30);
  Answer(host, host.Request("/look/3", 40), malformed, 50);
  host.Request("/look/4", 60);
  REQUIRE(host.port.local_replies.size() == 1);
}

TEST_CASE(
    "A limit holds for a target that leaves the catalog and returns, not for a restarted one") {
  EngineHarness host({MakeTarget("t1")});
  Answer(host, host.Request("/look/1", 0), Named(1), 10);
  host.Request("/look/2", 20);
  host.Apply({}, 30);
  host.Apply({MakeTarget("t1")}, 40);
  host.Request("/look/3", 50);
  REQUIRE(host.port.sent.size() == 2);
  catalog::Target restarted = MakeTarget("t1");
  restarted.report.started_at_ms = 1;
  host.Apply({restarted}, 60);
  host.Request("/look/4", 70);
  REQUIRE(host.port.sent.size() == 3);
}

TEST_CASE("A target that accepts no requests is probed, so that the end of its limit is noticed") {
  EngineHarness host({MakeTarget("t1")});
  Answer(host, host.Request("/look/1", 0), Named(0), 10);
  std::size_t in_8_s = 0;
  for (std::int64_t ms = 20; ms < 8020; ms += 20) {
    host.Request("/look/2", ms);
    host.engine.OnTimer(At(ms));
  }
  in_8_s = host.port.sent.size() - 1;
  REQUIRE(in_8_s >= 1);
  REQUIRE(in_8_s <= 3);
}

}  // namespace mangonotch::steering
