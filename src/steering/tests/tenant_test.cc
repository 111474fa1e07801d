// Tests which requests are served for which tenant. A mistake would serve callers without a valid
// key, or send a tenant's requests to regions in which they must not be served.
#include <catch2/catch.hpp>

#include "steering/tests/engine_harness.h"

namespace mangonotch::steering {
namespace {

constexpr catalog::KeyDigest kKey = {1};
constexpr catalog::KeyDigest kOtherKey = {2};

catalog::Tenant MakeTenant(const std::string& name, const catalog::KeyDigest& key) {
  catalog::Tenant tenant;
  tenant.name = name;
  tenant.keys = {key};
  return tenant;
}

struct TenantHarness : EngineHarness {
  TenantHarness() : EngineHarness({MakeTarget("t1")}) {
    configuration.tenants = {MakeTenant("one", kKey), MakeTenant("other", kOtherKey)};
    Apply({MakeTarget("t1")}, 0);
  }

  ExchangeId RequestWithKey(const std::string& target, std::optional<catalog::KeyDigest> key,
                            std::int64_t ms = 0) {
    const ExchangeId id = ++last_id;
    engine.OnRequest(
        id, {.host = "h.example", .target = target, .deadline = At(ms + 1000), .key = key}, At(ms));
    return id;
  }
  /// Sets the share that the coordinator of the first tenant grants.
  void SetShare(double share) {
    const std::vector<quota::TenantShare> shares = {
        {.tenant = quota::KeyOf("one"), .share = share}};
    engine.limiter().ApplyShares(shares, At(0));
  }
  LocalReplyKind LastReply() const { return port.local_replies.back().reply.kind; }
};

}  // namespace

TEST_CASE("A request is sent with the name of the tenant that holds its key") {
  TenantHarness host;
  host.RequestWithKey("/look/1", kOtherKey);
  REQUIRE(host.port.sent.at(0).command.tenant == "other");
}

TEST_CASE("A request with an unknown key or none is refused, except on an anonymous route") {
  TenantHarness host;
  host.configuration.routes[1].allows_anonymous = true;
  host.Apply({MakeTarget("t1")}, 0);
  for (const std::optional<catalog::KeyDigest> key :
       {std::optional<catalog::KeyDigest>(), std::optional<catalog::KeyDigest>({9})}) {
    host.RequestWithKey("/look/1", key);
    REQUIRE(host.LastReply() == LocalReplyKind::kUnauthorized);
    host.RequestWithKey("/file/1", key);
    REQUIRE(host.port.sent.back().command.tenant == "");
  }
  REQUIRE(host.port.sent.size() == 2);
}

TEST_CASE("A request without a route is not asked for a key") {
  TenantHarness host;
  host.RequestWithKey("/none/1", std::nullopt);
  REQUIRE(host.LastReply() == LocalReplyKind::kNoRoute);
}

TEST_CASE("A host without a configuration does not call a key unknown") {
  RecordingPort port;
  NullObserver observer;
  Engine<RecordingPort, NullObserver> engine(EngineHarness::Settings(0), port, observer);
  engine.OnRequest(1, {.host = "h.example", .target = "/look/1", .key = kKey}, At(0));
  REQUIRE(port.local_replies.at(0).reply.kind == LocalReplyKind::kNotRun);
}

// Guards against keys that stay valid on connections that were open before.
TEST_CASE("A withdrawn key is refused from the next configuration on, whatever was served before") {
  TenantHarness host;
  host.RequestWithKey("/look/1", kKey);
  host.configuration.version = 2;
  host.configuration.tenants[0].keys.clear();
  host.Apply({MakeTarget("t1")}, 10);
  host.RequestWithKey("/look/2", kKey, 10);
  REQUIRE(host.port.sent.size() == 1);
  REQUIRE(host.LastReply() == LocalReplyKind::kUnauthorized);
}

TEST_CASE("The regions of the tenant and of the route both bind") {
  TenantHarness host;
  host.configuration.tenants[0].allowed_regions = {"A", "B"};
  host.configuration.routes[0].allowed_regions = {"B"};
  host.Apply({MakeTarget("t1"), MakeTarget("t2", "status", "b1")}, 0);
  host.RequestWithKey("/look/1", kKey);
  REQUIRE(host.LastTarget() == "t2");
  host.configuration.tenants[0].allowed_regions = {"A"};
  host.Apply({MakeTarget("t1"), MakeTarget("t2", "status", "b1")}, 0);
  host.RequestWithKey("/look/1", kKey);
  REQUIRE(host.port.sent.size() == 1);
  REQUIRE(host.LastReply() == LocalReplyKind::kNotRun);
}

// Guards against a limit that is not kept, and against requests that use it up without being
// served.
TEST_CASE(
    "A request beyond its tenant's limit is refused, and one that has not run counts as none") {
  TenantHarness host;
  host.configuration.tenants[0].rate_limit = 1;
  host.configuration.tenants[0].burst = 1;
  host.Apply({MakeTarget("t1", "status", "a1", 100)}, 0);
  host.SetShare(0);
  host.RequestWithKey("/look/1", kKey);
  REQUIRE(host.LastReply() == LocalReplyKind::kOverQuota);
  host.RequestWithKey("/look/1", kOtherKey);
  REQUIRE(host.port.sent.size() == 1);
  host.SetShare(1);
  host.engine.limiter().TakeUsage(At(0));
  host.Apply({}, 1);
  host.RequestWithKey("/look/2", kKey, 1);
  REQUIRE(host.LastReply() == LocalReplyKind::kNotRun);
  REQUIRE(host.engine.limiter().TakeUsage(At(1)).empty());
}

// Load: more requests than slots, of two tenants and two routes.
TEST_CASE("Waiting requests are sent by the tenant's priority, then by the route's") {
  TenantHarness host;
  host.configuration.tenants[0].priority = 2;
  host.configuration.tenants[1].priority = 1;
  host.configuration.routes[0].priority = 0;
  host.configuration.routes[1].priority = 1;
  host.Apply({MakeTarget("t1", "status", "a1", 1)}, 0);
  const ExchangeId running = host.RequestWithKey("/look/0", kKey);
  for (int i = 0; i < 2; ++i) host.RequestWithKey("/look/0", kKey);
  const ExchangeId low = host.RequestWithKey("/look/1", kKey);
  const ExchangeId low_route = host.RequestWithKey("/file/1", kOtherKey);
  const ExchangeId high = host.RequestWithKey("/look/1", kOtherKey);
  std::vector<ExchangeId> order;
  const std::size_t first = host.port.sent.size();
  REQUIRE(host.port.local_replies.empty());
  host.Outcome(running, AttemptResult::kAnswered, 10);
  while (host.port.sent.size() > first + order.size()) {
    order.push_back(host.port.sent[first + order.size()].id);
    host.Outcome(order.back(), AttemptResult::kAnswered, 10);
  }
  REQUIRE(order == std::vector{high, low_route, low});
}

}  // namespace mangonotch::steering
