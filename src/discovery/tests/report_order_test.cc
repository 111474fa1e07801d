// Tests that a target's own order of its reports decides which of them is in force, in whatever
// order the store carries them out. Guards against requests to a target that has reported that it
// drains: an older report, which the store carried out after that one, made it ready again.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "discovery/registry.h"
#include "discovery/tests/reports.h"

namespace mangonotch::discovery {
namespace {

catalog::Target Ready(std::optional<std::uint64_t> sequence,
                      std::int64_t started_at_ms = kStartMs) {
  return Report(sequence, false, started_at_ms);
}

catalog::Target Draining(std::optional<std::uint64_t> sequence,
                         std::int64_t started_at_ms = kStartMs) {
  return Report(sequence, true, started_at_ms);
}

/// What a host believes of the target.
struct Host {
  /// Null if the target is not listed.
  const catalog::Target* Known() {
    if (const auto next = registry.TakeUpdatedCatalog()) catalog = next;
    return catalog && !catalog->targets.empty() ? &catalog->targets.front() : nullptr;
  }
  bool IsUsed() {
    const catalog::Target* const target = Known();
    return target != nullptr && !target->is_draining;
  }

  Registry registry{kTiming};
  catalog::CatalogPtr catalog;
};

}  // namespace

TEST_CASE("A report that is carried out late does not make a draining target ready again") {
  Host host;
  host.registry.PutTarget(Ready(5), 10);
  REQUIRE(host.IsUsed());
  host.registry.PutTarget(Draining(7), 11);
  SECTION("Read in a watch") { host.registry.PutTarget(Ready(6), 12); }
  SECTION("Read in a listing") {
    const std::vector<catalog::Target> listed = {Ready(6)};
    host.registry.ReplaceTargets(listed, 12, At(0));
  }
  SECTION("Read in a listing after an outage of the store") {
    host.registry.OnStoreLost();
    host.registry.OnStoreRegained(At(-4000), At(0));
    const std::vector<catalog::Target> listed = {Ready(6)};
    host.registry.ReplaceTargets(listed, 12, At(100));
  }
  SECTION("Told by another host that has read nothing else") {
    Host other;
    other.registry.PutTarget(Ready(6), 12);
    host.registry.Merge(other.registry.ChangesSince(0), At(0));
  }
  REQUIRE(host.Known()->is_draining);
  host.registry.PutTarget(Draining(8), 13);
  REQUIRE(host.Known()->is_draining);
  host.registry.RemoveTarget("t1", 14, At(100));
  REQUIRE(host.Known() == nullptr);
}

TEST_CASE("A report of the incarnation before does not end the use of the present one") {
  Host host;
  host.registry.PutTarget(Ready(40), 10);
  host.registry.PutTarget(Ready(1, kRestartMs), 11);
  host.registry.PutTarget(Draining(41), 12);
  REQUIRE(host.IsUsed());
  REQUIRE(host.Known()->report.started_at_ms == kRestartMs);
}

// Guards against a host that takes a late report for news, because it has not read the one before.
TEST_CASE(
    "A host that has read a late report only learns from another one that the target drains") {
  Host other;
  other.registry.PutTarget(Draining(7), 11);
  other.registry.AdvanceTargets(11);
  Host host;
  host.registry.PutTarget(Ready(6), 12);
  REQUIRE(host.IsUsed());
  host.registry.Merge(other.registry.ChangesSince(0), At(100));
  REQUIRE_FALSE(host.IsUsed());
  other.registry.Merge(host.registry.ChangesSince(0), At(100));
  REQUIRE_FALSE(other.IsUsed());
}

TEST_CASE("A target that starts again under its id is used, although its count starts anew") {
  Host host;
  host.registry.PutTarget(Draining(41), 10);
  host.registry.PutTarget(Ready(1, kRestartMs), 11);
  REQUIRE(host.IsUsed());
}

TEST_CASE("A target drains until the end of its incarnation, whatever it reports later") {
  Host host;
  host.registry.PutTarget(Draining(7), 10);
  host.registry.PutTarget(Ready(8), 11);
  REQUIRE_FALSE(host.IsUsed());
}

// Guards against a target that counts its reports in another order than it writes them: a heartbeat
// that it was about to write has the higher number, and is read first.
TEST_CASE("A target drains from the first report that says so, whatever was read before it") {
  Host host;
  host.registry.PutTarget(Ready(8), 10);
  SECTION("Read in the store") { host.registry.PutTarget(Draining(7), 11); }
  SECTION("Told by another host") {
    Host other;
    other.registry.PutTarget(Draining(7), 11);
    host.registry.Merge(other.registry.ChangesSince(0), At(0));
  }
  REQUIRE_FALSE(host.IsUsed());
  Host follower;
  follower.registry.Merge(host.registry.ChangesSince(0), At(0));
  REQUIRE_FALSE(follower.IsUsed());
  host.registry.PutTarget(Ready(9), 12);
  REQUIRE_FALSE(host.IsUsed());
  host.registry.PutTarget(Ready(1, kRestartMs), 13);
  REQUIRE(host.IsUsed());
}

TEST_CASE("Reports without a start or a number are in force in the order of the store") {
  for (const auto& [known, next] :
       {std::pair(Draining(7, 0), Ready(6, 0)), std::pair(Draining(7), Ready(6, 0)),
        std::pair(Draining(7, 0), Ready(6))}) {
    Host host;
    host.registry.PutTarget(known, 10);
    host.registry.PutTarget(next, 11);
    REQUIRE(host.IsUsed());
  }
  Host host;
  catalog::Target moved = Ready(std::nullopt);
  moved.slots = 9;
  host.registry.PutTarget(Ready(7), 10);
  host.registry.PutTarget(moved, 11);
  REQUIRE(host.Known()->slots == 9);
}

// The store may have removed the entry in an outage; a target that is listed again is not missing.
TEST_CASE("A target that is listed again with an older report is kept after an outage") {
  Host host;
  host.registry.PutTarget(Ready(7), 10);
  host.registry.OnStoreRegained(At(-4000), At(0));
  host.registry.RemoveTarget("t1", 11, At(100));
  host.registry.PutTarget(Ready(6), 12);
  REQUIRE(host.registry.Expire(At(5000)) == base::Instant::Never());
  REQUIRE(host.IsUsed());
}

TEST_CASE("The newest report is in force, in whatever order and however often reports are read") {
  REQUIRE(rc::check([] {
    Host host;
    std::vector<catalog::Target> read;
    const auto n = *rc::gen::inRange(1, 40);
    for (int i = 0; i < n; ++i) {
      const auto sequence = *rc::gen::inRange<std::uint64_t>(0, 8);
      const auto started_at_ms = *rc::gen::element(kStartMs, kRestartMs);
      // An incarnation drains from its sixth report on.
      constexpr std::uint64_t kFirstDraining = 5;
      read.push_back(sequence < kFirstDraining ? Ready(sequence, started_at_ms)
                                               : Draining(sequence, started_at_ms));
      host.registry.PutTarget(read.back(), static_cast<StoreRevision>(i) + 1);
      const auto newest = std::max_element(
          read.begin(), read.end(), [](const catalog::Target& a, const catalog::Target& b) {
            return catalog::Compare(a.report, b.report) == std::partial_ordering::less;
          });
      RC_ASSERT(host.IsUsed() == !newest->is_draining);
      RC_ASSERT(host.Known()->report.started_at_ms == newest->report.started_at_ms);
    }
  }));
}

}  // namespace mangonotch::discovery
