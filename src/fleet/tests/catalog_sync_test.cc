// Tests the choice of the host to fetch the catalog from. Guards against a host that trusts its
// source, or its own store watches, while other hosts know more.
#include "fleet/catalog_sync.h"

#include <catch2/catch.hpp>

namespace mangonotch::fleet {
namespace {

using catalog::StorePosition;

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

base::Endpoint MakeEndpoint(std::uint16_t port) {
  base::Endpoint endpoint;
  endpoint.port = port;
  return endpoint;
}

struct Fixture {
  /// A heartbeat of a host whose name is its incarnation. Of several hosts of a region, this host
  /// prefers those with lower numbers: its name is chosen so that the hash orders them like that.
  void Hear(base::Incarnation host, const std::string& zone, bool is_fresh,
            const StorePosition& newest, std::uint64_t catalog_sequence, std::int64_t ms) {
    members.OnHeartbeat({.sender = {.host = std::to_string(host),
                                    .zone = zone,
                                    .callers = {},
                                    .peers = MakeEndpoint(static_cast<std::uint16_t>(host))},
                         .incarnation = host,
                         .sequence = ++heartbeat_sequence,
                         .has_fresh_catalog = is_fresh,
                         .catalog_sequence = catalog_sequence,
                         .newest = newest},
                        At(ms));
  }
  std::optional<CatalogRequest> Next(const StorePosition& applied, bool is_fresh, std::int64_t ms) {
    return sync.Next(members, applied, is_fresh, At(ms));
  }

  Members members{{.host = "self-95", .zone = "a1"}, {{"a1", "A"}, {"b1", "B"}}, {}};
  CatalogSync sync;
  std::uint64_t heartbeat_sequence = 0;
};

}  // namespace

TEST_CASE("A follower fetches from its source whenever the source's catalog has changed") {
  Fixture fixture;
  fixture.Hear(1, "a1", true, {10, 10}, 5, 0);
  REQUIRE(fixture.Next({}, false, 0)->since == 0);
  fixture.sync.OnFetched(1, 5);
  REQUIRE_FALSE(fixture.Next({10, 10}, false, 1));
  fixture.Hear(1, "a1", true, {10, 10}, 6, 50);
  REQUIRE(fixture.Next({10, 10}, false, 50)->since == 5);
}

TEST_CASE("A follower of a source that has stopped moves to a host that is ahead and stays there") {
  Fixture fixture;
  fixture.Hear(1, "a1", true, {10, 10}, 5, 0);
  fixture.sync.OnFetched(1, 5);
  fixture.Hear(2, "a1", true, {20, 10}, 7, 0);
  REQUIRE_FALSE(fixture.Next({10, 10}, false, 0));
  const auto request = fixture.Next({10, 10}, false, 200);
  REQUIRE(request);
  REQUIRE(request->incarnation == 2);
  REQUIRE(request->is_behind);
  fixture.sync.OnFetched(2, 7);
  fixture.Hear(2, "a1", true, {30, 10}, 8, 300);
  const auto next = fixture.Next({20, 10}, false, 300);
  REQUIRE(next);
  REQUIRE(next->incarnation == 2);
  REQUIRE(next->since == 7);
}

TEST_CASE("A host whose own store watch has missed a change fetches it from another host") {
  Fixture fixture;
  fixture.Hear(1, "a1", true, {10, 20}, 5, 0);
  REQUIRE_FALSE(fixture.Next({10, 10}, true, 0));
  REQUIRE_FALSE(fixture.Next({10, 10}, true, 300));
  REQUIRE(fixture.Next({10, 10}, true, 500)->is_behind);
}

// Guards against a host that starts after the store was restored, and lets withdrawn keys work.
TEST_CASE(
    "A host that has read an older configuration at the same revision fetches the newer one") {
  Fixture fixture;
  const StorePosition newest = {.operator_records = 10, .targets = 10, .configuration_version = 7};
  const StorePosition applied = {.operator_records = 10, .targets = 10, .configuration_version = 6};
  fixture.Hear(1, "a1", true, newest, 5, 0);
  REQUIRE_FALSE(fixture.Next(applied, true, 0));
  REQUIRE(fixture.Next(applied, true, 500)->is_behind);
  REQUIRE_FALSE(fixture.Next(newest, true, 600));
}

TEST_CASE("A watcher that keeps up with frequent changes is never behind") {
  Fixture fixture;
  for (std::uint64_t i = 1; i < 20; ++i) {
    const auto ms = static_cast<std::int64_t>(i) * 100;
    fixture.Hear(1, "a1", true, {10 + i, 10}, i, ms);
    REQUIRE_FALSE(fixture.Next({9 + i, 10}, true, ms));
  }
}

TEST_CASE("Changes are fetched from another region when all watchers of the own one are behind") {
  Fixture fixture;
  fixture.Hear(1, "a1", true, {10, 10}, 5, 0);
  fixture.sync.OnFetched(1, 5);
  fixture.Hear(2, "b1", false, {20, 10}, 9, 0);
  fixture.Next({10, 10}, false, 0);
  const auto request = fixture.Next({10, 10}, false, 200);
  REQUIRE(request);
  REQUIRE(request->incarnation == 2);
}

TEST_CASE("A source that does not answer is left for another one that does") {
  Fixture fixture;
  fixture.Hear(1, "a1", true, {10, 10}, 5, 0);
  fixture.Hear(2, "a1", true, {10, 10}, 5, 0);
  REQUIRE(fixture.Next({}, false, 0)->incarnation == 1);
  fixture.sync.OnFailed(1, At(800));
  REQUIRE(fixture.Next({}, false, 800)->incarnation == 2);
}

TEST_CASE("The only source is asked again although it did not answer") {
  Fixture fixture;
  fixture.Hear(1, "a1", true, {10, 10}, 5, 0);
  fixture.sync.OnFailed(1, At(800));
  REQUIRE(fixture.Next({}, false, 800)->incarnation == 1);
}

// Guards against a host that takes a late report for the newest, since it has read nothing else.
TEST_CASE("A host that has listed the targets asks another host once what it knows") {
  Fixture fixture;
  const StorePosition known = {.operator_records = 10, .targets = 10};
  fixture.sync.OnListed();
  REQUIRE_FALSE(fixture.Next(known, true, 0));
  const bool is_watcher = GENERATE(true, false);
  fixture.Hear(1, "a1", is_watcher, known, 5, 0);
  const auto request = fixture.Next(known, true, 0);
  REQUIRE(request);
  REQUIRE(request->since == 0);
  REQUIRE_FALSE(request->is_behind);
  SECTION("Until that host has answered") {
    REQUIRE(fixture.Next(known, true, 1));
    fixture.sync.OnFetched(1, 5);
    REQUIRE_FALSE(fixture.Next(known, true, 2));
  }
  SECTION("Or another one, if that host does not answer") {
    fixture.Hear(2, "a1", true, known, 7, 0);
    fixture.sync.OnFailed(1, At(800));
    REQUIRE(fixture.Next(known, true, 800)->incarnation == 2);
  }
}

TEST_CASE("A host that has listed the targets asks nothing of a host whose changes it all has") {
  Fixture fixture;
  const StorePosition known = {.operator_records = 10, .targets = 10};
  fixture.Hear(1, "a1", true, known, 5, 0);
  fixture.sync.OnFetched(1, 5);
  fixture.sync.OnListed();
  REQUIRE_FALSE(fixture.Next(known, true, 0));
}

TEST_CASE("Of the hosts that are ahead, one of the own region is preferred") {
  Fixture fixture;
  fixture.Hear(1, "b1", true, {20, 10}, 5, 0);
  fixture.Hear(2, "a1", false, {20, 10}, 5, 0);
  fixture.Next({10, 10}, true, 0);
  REQUIRE(fixture.Next({10, 10}, true, 500)->incarnation == 2);
}

}  // namespace mangonotch::fleet
