// Tests that the catalog stays correct through store outages, out-of-date records and changes
// received from other hosts.
#include "discovery/registry.h"

#include <catch2/catch.hpp>

namespace mangonotch::discovery {
namespace {

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

catalog::Target MakeTarget(std::string id, bool is_draining = false) {
  catalog::Target target;
  target.id = std::move(id);
  target.service = "status";
  target.zone = "a1";
  target.is_draining = is_draining;
  return target;
}

std::shared_ptr<const catalog::Configuration> MakeConfiguration(std::uint64_t version) {
  auto configuration = std::make_shared<catalog::Configuration>();
  configuration->version = version;
  configuration->services.push_back({.name = "status",
                                     .health_path = {},
                                     .max_connections = 0,
                                     .cold_time = base::Duration::Seconds(3),
                                     .cold_rate = 16});
  return configuration;
}

std::vector<std::string> IdsOf(const catalog::Catalog& catalog) {
  std::vector<std::string> ids;
  for (const catalog::Target& it : catalog.targets) ids.push_back(it.id);
  return ids;
}

constexpr OutageTiming kTiming = {.min_outage = base::Duration::Seconds(3),
                                  .recovery_time = base::Duration::Milliseconds(2500)};

}  // namespace

TEST_CASE("Records that change nothing produce no new catalog") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1"), 5);
  REQUIRE(registry.TakeUpdatedCatalog() != nullptr);
  registry.PutTarget(MakeTarget("t1"), 6);
  REQUIRE(registry.TakeUpdatedCatalog() == nullptr);
}

TEST_CASE("Older records neither undo the draining of a target nor remove it") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1", true), 9);
  registry.PutTarget(MakeTarget("t1", false), 8);
  REQUIRE(registry.TakeUpdatedCatalog()->targets.at(0).is_draining);
  registry.RemoveTarget("t1", 8, At(0));
  REQUIRE(registry.TakeUpdatedCatalog() == nullptr);
}

TEST_CASE("A host that has listed the targets is not behind one that has read their changes") {
  Registry lister(kTiming);
  const std::vector<catalog::Target> targets = {MakeTarget("t1")};
  lister.ReplaceTargets(targets, 100, At(0));
  lister.AdvanceNewest({.targets = 90});
  Registry watcher(kTiming);
  watcher.PutTarget(MakeTarget("t1"), 90);
  watcher.RemoveTarget("t2", 95, At(0));
  watcher.AdvanceTargets(95);
  REQUIRE_FALSE(catalog::IsBehind(lister.applied(), watcher.newest()));
  REQUIRE_FALSE(catalog::IsBehind(watcher.applied(), lister.newest()));
}

TEST_CASE("A host that has merged the changes of another is not behind it") {
  Registry source(kTiming);
  source.PutConfiguration(MakeConfiguration(7), 100);
  source.PutTarget(MakeTarget("t1"), 101);
  source.AdvanceTargets(101);
  Registry follower(kTiming);
  REQUIRE(catalog::IsBehind(follower.applied(), source.newest()));
  follower.Merge(source.ChangesSince(0), At(0));
  REQUIRE_FALSE(catalog::IsBehind(follower.applied(), source.newest()));
  REQUIRE(follower.newest() == source.newest());
}

// Guards against a host that asks one source forever for changes which that source has not applied.
TEST_CASE("A host that follows one with a listing of several pages is not behind it",
          "[paged-listing]") {
  Registry lister(kTiming);
  const std::vector<catalog::Target> targets = {MakeTarget("t1")};
  lister.ReplaceTargets(targets, 100, At(0));
  // A later page held a record that is newer than the first page.
  lister.AdvanceNewest({.targets = 110});
  Registry follower(kTiming);
  follower.Merge(lister.ChangesSince(0), At(0));
  REQUIRE_FALSE(catalog::IsBehind(follower.applied(), lister.newest()));
}

TEST_CASE("An evacuation that is read again after its end does not return, nor make targets cold") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1"), 1);
  registry.ReplaceOperatorRecords(MakeConfiguration(1), {}, 100, At(0));
  registry.TakeUpdatedCatalog();
  registry.PutEvacuation("a1", true, 50, At(10));
  registry.PutEvacuation("a1", false, 80, At(10));
  REQUIRE(registry.TakeUpdatedCatalog() == nullptr);
}

TEST_CASE("Operator records that were written together are all applied") {
  Registry registry(kTiming);
  registry.PutEvacuation("a1", true, 50, At(0));
  registry.PutEvacuation("a2", true, 50, At(0));
  REQUIRE(registry.TakeUpdatedCatalog()->evacuated_zones.size() == 2);
}

TEST_CASE("A configuration never reverts to an older version") {
  Registry registry(kTiming);
  registry.PutConfiguration(MakeConfiguration(7), 100);
  registry.PutConfiguration(MakeConfiguration(5), 101);
  registry.ReplaceOperatorRecords(MakeConfiguration(6), {}, 102, At(0));
  REQUIRE(registry.TakeUpdatedCatalog()->configuration->version == 7);
}

TEST_CASE("Entries that expired during an outage are kept for the recovery time") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("back"), 1);
  registry.PutTarget(MakeTarget("gone"), 1);
  registry.PutTarget(MakeTarget("left", true), 1);
  registry.TakeUpdatedCatalog();
  registry.OnStoreRegained(At(-4000), At(0));
  registry.ReplaceTargets({}, 10, At(0));
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == std::vector<std::string>{"back", "gone"});
  registry.PutTarget(MakeTarget("back"), 11);
  REQUIRE(registry.Expire(At(100)) == At(2500));
  registry.Expire(At(2500));
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == std::vector<std::string>{"back"});
}

TEST_CASE("A removal shortly after an outage takes effect after the recovery time") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1"), 1);
  registry.OnStoreRegained(At(-4000), At(0));
  registry.RemoveTarget("t1", 2, At(100));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.size() == 1);
  registry.Expire(At(2600));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.empty());
}

// Guards against a cut watch or a refused call that is taken for an outage of the store.
TEST_CASE("A removal after an interruption too short for an expiry takes effect immediately") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1"), 1);
  registry.PutTarget(MakeTarget("t2"), 1);
  registry.OnStoreRegained(At(-400), At(0));
  registry.RemoveTarget("t1", 2, At(100));
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == std::vector<std::string>{"t2"});
  registry.ReplaceTargets({}, 10, At(200));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.empty());
}

// Guards against a host that takes its own cut for an outage of the store.
TEST_CASE("A removal after an interruption that other hosts have not seen takes effect at once") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1"), 1);
  registry.PutTarget(MakeTarget("t2"), 1);
  registry.OnStoreRegained(At(-4000), At(0));
  registry.RemoveTarget("t1", 2, At(10));
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == std::vector<std::string>{"t1", "t2"});
  registry.OnStoreServedElsewhere(At(-60'000));
  registry.Expire(At(200));
  REQUIRE(IdsOf(*registry.TakeUpdatedCatalog()) == std::vector<std::string>{"t2"});
  registry.RemoveTarget("t2", 3, At(300));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.empty());
}

// Guards against a host that denies an outage because its own watch still waits.
TEST_CASE("A host says that the store serves it only while its last answer is recent") {
  StoreOutage outage(kTiming);
  REQUIRE(outage.ServiceTime(At(1000), At(8000), At(9000)) == base::Duration::Seconds(8));
  REQUIRE(outage.ServiceTime(At(1000), At(8000), At(11'000)) == base::Duration());
  outage.OnRegained(At(11'500), At(12'000));
  REQUIRE(outage.ServiceTime(At(1000), At(12'000), At(13'000)) == base::Duration::Seconds(12));
  outage.OnRegained(At(14'000), At(18'000));
  REQUIRE(outage.ServiceTime(At(1000), At(18'500), At(19'000)) == base::Duration::Seconds(1));
  REQUIRE(outage.ServiceTime(At(18'700), At(18'700), At(19'000)) ==
          base::Duration::Milliseconds(300));
}

TEST_CASE("The recovery begins when the store serves the first host after the outage") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1"), 1);
  registry.OnStoreRegained(At(-9000), At(0));
  registry.RemoveTarget("t1", 2, At(10));
  registry.OnStoreServedElsewhere(At(-1000));
  REQUIRE(registry.Expire(At(200)) == At(1500));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.size() == 1);
  registry.OnStoreServedElsewhere(At(-500));
  REQUIRE(registry.Expire(At(300)) == At(1500));
}

TEST_CASE("A short interruption does not end the recovery from an outage before it") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1"), 1);
  registry.OnStoreRegained(At(-4000), At(0));
  registry.OnStoreRegained(At(500), At(900));
  registry.RemoveTarget("t1", 2, At(1000));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.size() == 1);
  REQUIRE(registry.Expire(At(1100)) == At(2500));
}

TEST_CASE("A removal without a preceding outage takes effect immediately") {
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("t1"), 1);
  registry.RemoveTarget("t1", 2, At(100));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.empty());
}

TEST_CASE("Targets are treated as cold when the evacuation of their zone ends") {
  Registry registry(kTiming);
  registry.PutConfiguration(MakeConfiguration(1), 1);
  registry.PutTarget(MakeTarget("t1"), 2);
  registry.PutEvacuation("a1", true, 3, At(0));
  REQUIRE(registry.TakeUpdatedCatalog()->evacuated_zones.contains("a1"));
  registry.PutEvacuation("a1", false, 4, At(1000));
  const auto catalog = registry.TakeUpdatedCatalog();
  REQUIRE(catalog->evacuated_zones.empty());
  REQUIRE(catalog->targets.at(0).cold_until == At(4000));
}

TEST_CASE("Merging incremental changes reproduces the catalog of the sender") {
  Registry source(kTiming);
  Registry copy(kTiming);
  source.PutConfiguration(MakeConfiguration(3), 1);
  source.PutTarget(MakeTarget("t1"), 2);
  source.PutTarget(MakeTarget("t2"), 2);
  source.AdvanceTargets(2);
  copy.Merge(source.ChangesSince(0), At(0));
  const std::uint64_t seen = source.sequence();
  REQUIRE(IdsOf(*copy.TakeUpdatedCatalog()) == std::vector<std::string>{"t1", "t2"});
  source.RemoveTarget("t1", 5, At(10));
  source.PutTarget(MakeTarget("t2", true), 6);
  source.PutEvacuation("a1", true, 7, At(10));
  const CatalogChanges changes = source.ChangesSince(seen);
  REQUIRE_FALSE(changes.is_full);
  copy.Merge(changes, At(20));
  const auto catalog = copy.TakeUpdatedCatalog();
  REQUIRE(IdsOf(*catalog) == std::vector<std::string>{"t2"});
  REQUIRE(catalog->targets.at(0).is_draining);
  REQUIRE(catalog->evacuated_zones.contains("a1"));
  REQUIRE(catalog->configuration->version == 3);
}

TEST_CASE("A full copy removes targets unknown to the sender except newer ones") {
  Registry source(kTiming);
  source.PutTarget(MakeTarget("t1"), 5);
  source.AdvanceTargets(5);
  Registry copy(kTiming);
  copy.PutTarget(MakeTarget("old"), 4);
  copy.PutTarget(MakeTarget("newer"), 6);
  copy.Merge(source.ChangesSince(0), At(0));
  REQUIRE(IdsOf(*copy.TakeUpdatedCatalog()) == std::vector<std::string>{"newer", "t1"});
}

// Guards against requests to a removed target: a host that had been cut off from the others still
// listed the target, and merging its changes added it again (DRAIN on gyaszvarro-grown, mix, seed
// 669496282935).
TEST_CASE("Changes of an out-of-date host do not add a removed target again") {
  Registry outdated(kTiming);
  outdated.PutTarget(MakeTarget("left"), 5);
  outdated.AdvanceTargets(5);
  Registry registry(kTiming);
  registry.PutTarget(MakeTarget("left"), 5);
  registry.RemoveTarget("left", 9, At(0));
  registry.Merge(outdated.ChangesSince(0), At(10));
  REQUIRE(registry.TakeUpdatedCatalog()->targets.empty());
  registry.PutTarget(MakeTarget("left"), 10);
  REQUIRE(registry.TakeUpdatedCatalog()->targets.size() == 1);
}

TEST_CASE("A host that missed more removals than are recorded gets a full copy") {
  Registry source(kTiming);
  source.PutTarget(MakeTarget("first"), 1);
  const std::uint64_t seen = source.sequence();
  for (StoreRevision revision = 2; revision < 1300; revision += 2) {
    source.PutTarget(MakeTarget("t"), revision);
    source.RemoveTarget("t", revision + 1, At(0));
  }
  REQUIRE(source.ChangesSince(seen).is_full);
}

}  // namespace mangonotch::discovery
