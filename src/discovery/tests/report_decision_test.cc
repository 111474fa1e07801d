// Tests that a host can say which report of a target it believes, and from whom. Guards against a
// failure that the logs cannot explain, since they name only what was read.
#include "discovery/report_decision.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "discovery/registry.h"
#include "discovery/tests/reports.h"

namespace mangonotch::discovery {
namespace {

/// A host and the decisions that its observer was told of, as in
/// "7 draining, listing: outdated, believes 9".
struct Host {
  std::vector<std::string> Take() { return std::exchange(decisions, {}); }

  std::vector<std::string> decisions;
  Registry registry{kTiming, RemovalTiming(), [this](const ReportDecision& it) {
                      std::string text = std::to_string(*it.report.target.report.sequence);
                      text += it.report.target.is_draining ? " draining, " : " ready, ";
                      text += NameOf(it.origin);
                      text += ": ";
                      text += NameOf(it.verdict);
                      if (it.believed != nullptr) {
                        text += ", believes " + std::to_string(*it.believed->report.sequence);
                      }
                      decisions.push_back(text);
                    }};
};

using Texts = std::vector<std::string>;

}  // namespace

TEST_CASE("Each report of a watch is told of, with the one that is believed after it") {
  Host host;
  host.registry.PutTarget(Report(5), 10);
  host.registry.PutTarget(Report(7, true), 11);
  host.registry.PutTarget(Report(6), 12);
  REQUIRE(host.Take() == Texts{"5 ready, watch: in_force, believes 5",
                               "7 draining, watch: in_force, believes 7",
                               "6 ready, watch: outdated, believes 7"});
  host.registry.RemoveTarget("t1", 13, At(0));
  host.registry.PutTarget(Report(8), 14);
  REQUIRE(host.Take() == Texts{"8 ready, watch: removed"});
}

TEST_CASE("Of a listing, only reports that are not in force or change a target's use are told of") {
  Host host;
  const std::vector<catalog::Target> first = {Report(5)};
  host.registry.ReplaceTargets(first, 10, At(0));
  REQUIRE(host.Take().empty());
  const std::vector<catalog::Target> renewed = {Report(6)};
  host.registry.ReplaceTargets(renewed, 11, At(0));
  REQUIRE(host.Take().empty());
  host.registry.ReplaceTargets(first, 12, At(0));
  REQUIRE(host.Take() == Texts{"5 ready, listing: outdated, believes 6"});
  const std::vector<catalog::Target> leaving = {Report(7, true)};
  host.registry.ReplaceTargets(leaving, 13, At(0));
  REQUIRE(host.Take() == Texts{"7 draining, listing: in_force, believes 7"});
}

TEST_CASE("A report that is set aside is told of, and again when it is used") {
  Host host;
  host.registry.PutTarget(Report(7), 10);
  host.registry.RemoveTarget("t1", 11, At(0));
  host.registry.PutTarget(Report(6), 12);
  host.registry.Expire(At(60'000));
  REQUIRE(host.Take() == Texts{"7 ready, watch: in_force, believes 7", "6 ready, watch: set_aside",
                               "6 ready, memory: in_force, believes 6"});
}

TEST_CASE("What another host tells of a target's leaving is told of") {
  Host other;
  other.registry.PutTarget(Report(7, true), 11);
  Host host;
  host.registry.PutTarget(Report(6), 12);
  REQUIRE(host.Take().size() == 1);
  host.registry.Merge(other.registry.ChangesSince(0), At(0));
  REQUIRE(host.Take() == Texts{"7 draining, host: in_force, believes 7"});
}

}  // namespace mangonotch::discovery
