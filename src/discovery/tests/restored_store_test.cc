// Tests what a host keeps when the store has been restored from an older copy. Guards against a
// host that takes the state of the copy for news: withdrawn keys that work again, targets that come
// back into use after they have left, and entries that seem to be gone until they are written
// again.
#include <catch2/catch.hpp>

#include "discovery/registry.h"

namespace mangonotch::discovery {
namespace {

constexpr OutageTiming kTiming = {.min_outage = base::Duration::Seconds(3),
                                  .recovery_time = base::Duration::Milliseconds(2500)};
constexpr std::int64_t kStartMs = 1'764'850'000'123;

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

StoreRevision Old(std::uint64_t revision) { return catalog::MakeRevision(3, revision); }
StoreRevision Restored(std::uint64_t revision) { return catalog::MakeRevision(4, revision); }

catalog::Target MakeTarget(std::string id, bool is_draining, std::int64_t started_at_ms) {
  catalog::Target target;
  target.id = std::move(id);
  target.service = "status";
  target.zone = "a1";
  target.is_draining = is_draining;
  target.report.started_at_ms = started_at_ms;
  return target;
}

catalog::Target MakeTarget(std::string id, bool is_draining = false) {
  return MakeTarget(std::move(id), is_draining, kStartMs);
}

std::shared_ptr<const catalog::Configuration> MakeConfiguration(std::uint64_t version) {
  auto configuration = std::make_shared<catalog::Configuration>();
  configuration->version = version;
  return configuration;
}

using Ids = std::vector<std::string>;

Ids IdsOf(const catalog::Catalog& catalog) {
  Ids ids;
  for (const catalog::Target& it : catalog.targets) ids.push_back(it.id);
  return ids;
}

/// Lists targets at a revision of the restored store.
void ListRestored(Registry& registry, const std::vector<catalog::Target>& targets,
                  std::uint64_t revision, std::int64_t ms) {
  registry.ReplaceTargets(targets, Restored(revision), At(ms));
}

}  // namespace

TEST_CASE("A watcher and its follower apply a listing of the new era with lower revisions") {
  Registry watcher(kTiming);
  watcher.PutTarget(MakeTarget("t1"), Old(900));
  watcher.AdvanceTargets(Old(900));
  Registry follower(kTiming);
  follower.Merge(watcher.ChangesSince(0), At(0));
  const std::uint64_t seen = watcher.sequence();
  ListRestored(watcher, {MakeTarget("t1"), MakeTarget("t2")}, 70, 10);
  watcher.AdvanceNewest({.targets = Restored(70)});
  REQUIRE(IdsOf(*watcher.TakeUpdatedCatalog()) == Ids{"t1", "t2"});
  REQUIRE(catalog::IsBehind(follower.applied(), watcher.newest()));
  follower.Merge(watcher.ChangesSince(seen), At(20));
  REQUIRE(IdsOf(*follower.TakeUpdatedCatalog()) == Ids{"t1", "t2"});
  REQUIRE_FALSE(catalog::IsBehind(follower.applied(), watcher.newest()));
}

TEST_CASE(
    "A host that has seen the new era is ahead of one that has not, and takes nothing of it") {
  Registry late(kTiming);
  late.PutTarget(MakeTarget("t1"), Old(900));
  late.AdvanceTargets(Old(900));
  Registry ahead(kTiming);
  ListRestored(ahead, {MakeTarget("t2")}, 70, 0);
  ahead.AdvanceNewest({.targets = Restored(70)});
  REQUIRE(catalog::IsBehind(late.applied(), ahead.newest()));
  REQUIRE_FALSE(catalog::IsBehind(ahead.applied(), late.newest()));
  ahead.Merge(late.ChangesSince(0), At(100));
  REQUIRE(IdsOf(*ahead.TakeUpdatedCatalog()) == Ids{"t2"});
}

TEST_CASE("A host that has read nothing but the new era is ahead of those that have not seen it") {
  Registry late(kTiming);
  late.PutTarget(MakeTarget("t1"), Old(900));
  late.AdvanceTargets(Old(900));
  Registry ahead(kTiming);
  ListRestored(ahead, {}, 70, 0);
  REQUIRE(catalog::IsBehind(late.applied(), ahead.newest()));
}

TEST_CASE("A target that was draining stays draining although the older copy says ready") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1", true), Old(900));
  ListRestored(registry, {MakeTarget("t1")}, 70, 0);
  REQUIRE(registry.TakeUpdatedCatalog()->targets.at(0).is_draining);
  // Listed once more, since the store has compacted its history.
  ListRestored(registry, {MakeTarget("t1")}, 80, 100);
  registry.PutTarget(MakeTarget("other"), Restored(81));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.at(1).is_draining);
  registry.PutTarget(MakeTarget("t1", false, kStartMs + 1), Restored(90));
  REQUIRE_FALSE(registry.TakeUpdatedCatalog()->targets.at(1).is_draining);
}

TEST_CASE("A target that had left while draining does not come back into use") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1", true), Old(900));
  registry.RemoveTarget("t1", Old(910), At(0));
  ListRestored(registry, {MakeTarget("t1", true), MakeTarget("t2")}, 70, 100);
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == Ids{"t2"});
  ListRestored(registry, {MakeTarget("t1", false), MakeTarget("t2"), MakeTarget("t3")}, 80, 200);
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == Ids{"t2", "t3"});
}

TEST_CASE("Another incarnation of a target that had left while draining is used") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1", true), Old(900));
  registry.RemoveTarget("t1", Old(910), At(0));
  ListRestored(registry, {MakeTarget("t1", false, kStartMs + 1)}, 70, 100);
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == Ids{"t1"});
}

TEST_CASE("A restored store does not bring back a lower version of the configuration") {
  Registry registry(kTiming);
  registry.PutConfiguration(MakeConfiguration(7), Old(900));
  registry.ReplaceOperatorRecords(MakeConfiguration(6), {}, Restored(70), At(0));
  REQUIRE(registry.TakeUpdatedCatalog()->configuration->version == 7);
  registry.PutConfiguration(MakeConfiguration(8), Restored(71));
  REQUIRE(registry.TakeUpdatedCatalog()->configuration->version == 8);
}

// Guards against a withdrawn key that works at a host which has started after the restore.
TEST_CASE("A host that has read a lower version from the restored store takes that of the others") {
  Registry running(kTiming);
  running.PutConfiguration(MakeConfiguration(7), Old(900));
  running.ReplaceOperatorRecords(MakeConfiguration(6), {}, Restored(70), At(0));
  running.AdvanceNewest({.operator_records = Restored(70)});
  Registry started(kTiming);
  started.ReplaceOperatorRecords(MakeConfiguration(6), {}, Restored(70), At(100));
  started.AdvanceNewest({.operator_records = Restored(70)});
  REQUIRE(catalog::IsBehind(started.applied(), running.newest()));
  started.Merge(running.ChangesSince(0), At(200));
  REQUIRE(started.TakeUpdatedCatalog()->configuration->version == 7);
  REQUIRE_FALSE(catalog::IsBehind(started.applied(), running.newest()));
}

TEST_CASE("An evacuation that the older copy lacks stays in force for the recovery time") {
  Registry registry(kTiming);
  registry.PutConfiguration(MakeConfiguration(1), Old(1));
  registry.PutEvacuation("a1", true, Old(900), At(0));
  Registry follower(kTiming);
  follower.Merge(registry.ChangesSince(0), At(0));
  const std::uint64_t seen = registry.sequence();
  registry.ReplaceOperatorRecords(MakeConfiguration(1), {}, Restored(70), At(1000));
  REQUIRE(registry.TakeUpdatedCatalog()->evacuated_zones.contains("a1"));
  follower.Merge(registry.ChangesSince(seen), At(1100));
  REQUIRE(follower.TakeUpdatedCatalog()->evacuated_zones.contains("a1"));
  SECTION("It ends after that if it is not written again") {
    REQUIRE(registry.Expire(At(1100)) == At(3500));
    registry.Expire(At(3500));
    REQUIRE(registry.TakeUpdatedCatalog()->evacuated_zones.empty());
    REQUIRE(follower.Expire(At(1200)) == At(3600));
    follower.Expire(At(3600));
    REQUIRE(follower.TakeUpdatedCatalog()->evacuated_zones.empty());
  }
  SECTION("It stays in force if it is written again") {
    const std::uint64_t kept = registry.sequence();
    registry.PutEvacuation("a1", true, Restored(71), At(2000));
    REQUIRE(registry.Expire(At(4000)) == base::Instant::Never());
    follower.Merge(registry.ChangesSince(kept), At(2100));
    REQUIRE(follower.Expire(At(4000)) == base::Instant::Never());
    registry.PutTarget(MakeTarget("t1"), Restored(80));
    REQUIRE(registry.TakeUpdatedCatalog()->evacuated_zones.contains("a1"));
  }
  SECTION("It ends at once if it is lifted in the meantime") {
    registry.PutEvacuation("a1", false, Restored(71), At(2000));
    REQUIRE(registry.TakeUpdatedCatalog()->evacuated_zones.empty());
    REQUIRE(registry.Expire(At(2000)) == base::Instant::Never());
  }
}

TEST_CASE("An evacuation that only the older copy holds ends when it is deleted again") {
  Registry registry(kTiming);
  registry.PutEvacuation("a1", true, Old(800), At(0));
  registry.PutEvacuation("a1", false, Old(900), At(10));
  const std::vector<std::string> zones = {"a1"};
  registry.ReplaceOperatorRecords(MakeConfiguration(1), zones, Restored(70), At(1000));
  REQUIRE(registry.TakeUpdatedCatalog()->evacuated_zones.contains("a1"));
  registry.PutEvacuation("a1", false, Restored(71), At(1500));
  REQUIRE(registry.TakeUpdatedCatalog()->evacuated_zones.empty());
}

// The store may be away for less time than an entry takes to expire.
TEST_CASE("Targets that the older copy lacks are kept until they are written again") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("back"), Old(900));
  registry.PutTarget(MakeTarget("gone"), Old(900));
  registry.PutTarget(MakeTarget("left", true), Old(900));
  ListRestored(registry, {}, 70, 1000);
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == Ids{"back", "gone"});
  registry.PutTarget(MakeTarget("back"), Restored(71));
  // Hosts that have not noticed yet say that the store has served them all the time.
  registry.OnStoreServedElsewhere(At(-60'000));
  REQUIRE(registry.Expire(At(1100)) == At(3500));
  registry.Expire(At(3500));
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == Ids{"back"});
}

TEST_CASE("A follower keeps targets that its source does not know after a restore") {
  Registry follower(kTiming);
  follower.PutTarget(MakeTarget("t1"), Old(900));
  follower.AdvanceTargets(Old(900));
  Registry source(kTiming);
  ListRestored(source, {MakeTarget("t2")}, 70, 1000);
  follower.Merge(source.ChangesSince(0), At(1000));
  REQUIRE(IdsOf(*follower.TakeUpdatedCatalog()) == Ids{"t1", "t2"});
  REQUIRE(follower.Expire(At(1100)) == At(3500));
  follower.Expire(At(3500));
  REQUIRE(IdsOf(*follower.TakeUpdatedCatalog()) == Ids{"t2"});
}

TEST_CASE("A host that has just started keeps nothing because of the era") {
  Registry registry(kTiming);
  ListRestored(registry, {MakeTarget("t1")}, 70, 1000);
  registry.RemoveTarget("t1", Restored(71), At(1100));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.empty());
}

}  // namespace mangonotch::discovery
