// Tests that messages between hosts survive encoding and that invalid bytes are rejected.
#include "peering/codec.h"

#include <catch2/catch.hpp>

namespace mangonotch::peering {
namespace {

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

fleet::Heartbeat MakeOversizedHeartbeat() {
  fleet::Heartbeat heartbeat;
  heartbeat.sender = {.host = "edge-pohjois-pohjanmaa-a-12", .zone = "oul-a"};
  heartbeat.sequence = 1ULL << 40;
  heartbeat.newest = {
      .operator_records = 1ULL << 40, .targets = 1ULL << 41, .configuration_version = 5};
  for (std::uint64_t i = 0; i < kMaxLoads + 10; ++i) heartbeat.loads.push_back({i << 40, 9});
  heartbeat.contacts.resize(kMaxContacts + 10);
  heartbeat.contacts.front() = {.address = *base::ParseIpAddress("10.1.2.3"), .port = 7};
  heartbeat.period = base::Duration::Milliseconds(300);
  heartbeat.store_service_time = base::Duration::Seconds(40);
  return heartbeat;
}

}  // namespace

TEST_CASE("A heartbeat is decoded as it was encoded and fits into a datagram") {
  fleet::Heartbeat heartbeat = MakeOversizedHeartbeat();
  const std::string bytes = EncodeHeartbeat(heartbeat);
  REQUIRE(bytes.size() <= kMaxDatagramBytes);
  heartbeat.loads.resize(kMaxLoads);
  heartbeat.contacts.resize(kMaxContacts);
  REQUIRE(DecodeHeartbeat(bytes) == heartbeat);
}

TEST_CASE("Positions of any size in the store's history survive encoding") {
  fleet::Heartbeat heartbeat;
  for (const std::uint64_t it : {0ULL, 127ULL, 128ULL, 1ULL << 48, ~0ULL}) {
    heartbeat.newest = {.operator_records = it, .targets = it / 3, .configuration_version = it};
    REQUIRE(DecodeHeartbeat(EncodeHeartbeat(heartbeat)) == heartbeat);
  }
}

TEST_CASE("Relayed heartbeats are encoded without their lists, as many as fit into a datagram") {
  fleet::Heartbeat heartbeat = MakeOversizedHeartbeat();
  fleet::Heartbeat relayed = MakeOversizedHeartbeat();
  relayed.sender.host = "edge-pohjois-pohjanmaa-b-1";
  heartbeat.relayed.assign(kMaxRelayed + 3, relayed);
  const std::string bytes = EncodeHeartbeat(heartbeat);
  REQUIRE(bytes.size() <= kMaxDatagramBytes);
  relayed.loads.clear();
  relayed.contacts.clear();
  const auto decoded = DecodeHeartbeat(bytes);
  REQUIRE(decoded);
  REQUIRE(decoded->loads.size() == kMaxLoads);
  REQUIRE_FALSE(decoded->relayed.empty());
  REQUIRE(decoded->relayed.front() == relayed);
  heartbeat.loads.clear();
  REQUIRE(DecodeHeartbeat(EncodeHeartbeat(heartbeat))->relayed.size() == kMaxRelayed);
}

TEST_CASE("Datagrams of other protocols and truncated heartbeats are rejected") {
  const std::string bytes = EncodeHeartbeat(MakeOversizedHeartbeat());
  REQUIRE_FALSE(DecodeHeartbeat(""));
  REQUIRE_FALSE(DecodeHeartbeat("GET / HTTP/1.1\r\n\r\n"));
  for (std::size_t n = 0; n < bytes.size(); n += 7) {
    REQUIRE_FALSE(DecodeHeartbeat(std::string_view(bytes).substr(0, n)));
  }
}

TEST_CASE("Messages of quotas survive encoding, and are not taken for each other") {
  const quota::UsageReport report{
      .number = 7, .usages = {{.tenant = 1, .admitted = -2, .refused = 3, .share = 0}}};
  const quota::ShareUpdate update{.report = 7, .shares = {{.tenant = 1, .share = 1}}};
  REQUIRE(DecodeUsageReport(EncodeUsageReport(report)) == report);
  REQUIRE(DecodeShareUpdate(EncodeShareUpdate(update)) == update);
  REQUIRE_FALSE(DecodeUsageReport(EncodeShareUpdate(update)));
  REQUIRE_FALSE(DecodeShareUpdate(EncodeUsageReport(report)));
  REQUIRE_FALSE(DecodeHeartbeat(EncodeUsageReport(report)));
  REQUIRE_FALSE(DecodeUsageReport("x"));
}

// Guards against a datagram that makes the process allocate gigabytes.
TEST_CASE("A list that claims to be longer than allowed is refused before it is allocated") {
  std::string report = EncodeUsageReport({.number = 7, .usages = {{.tenant = 1}}});
  // The length follows the byte order, the magic number and the number of the report.
  constexpr std::size_t kLengthAt = 1 + 4 + 8;
  report[kLengthAt + 4] = 1;
  REQUIRE_FALSE(DecodeUsageReport(report));
}

TEST_CASE("A report and an update of the largest size fit into a datagram") {
  quota::UsageReport report;
  report.usages.resize(quota::kMaxUsages);
  REQUIRE(EncodeUsageReport(report).size() <= kMaxDatagramBytes);
  quota::ShareUpdate update;
  update.shares.resize(quota::kMaxShares);
  REQUIRE(EncodeShareUpdate(update).size() <= kMaxDatagramBytes);
}

TEST_CASE("Decoded changes keep the remaining cold time when the clocks of the hosts differ") {
  discovery::CatalogChanges changes{.sequence = 4, .is_full = true, .targets_revision = 9};
  catalog::Target target;
  target.id = "t1";
  target.cold_until = At(5000);
  target.report = {.started_at_ms = 1'764'850'000'123, .sequence = 7};
  changes.targets = {{target, 8}};
  changes.removals = {{.id = "t2",
                       .revision = 7,
                       .last_report = {.started_at_ms = 1'764'850'000'124, .sequence = 8},
                       .was_draining = true,
                       .forget_at = At(9000)}};
  auto configuration = std::make_shared<catalog::Configuration>();
  configuration->version = 12;
  configuration->tenants = {{.name = "one",
                             .keys = {{1, 2, 3}},
                             .priority = 1,
                             .rate_limit = 839,
                             .burst = 20,
                             .allowed_regions = {"A"}}};
  changes.configuration = configuration;
  changes.evacuated_zones = {"a1"};
  changes.newest = {.operator_records = 5, .targets = 8};
  const auto copy = DecodeChanges(EncodeChanges(changes, At(3000)), At(70'000));
  REQUIRE(copy);
  REQUIRE(copy->targets.at(0).target.cold_until == At(72'000));
  REQUIRE(copy->targets.at(0).revision == 8);
  REQUIRE(copy->targets.at(0).target.report == target.report);
  const discovery::TargetRemoval& removal = copy->removals.at(0);
  REQUIRE(removal.id == "t2");
  REQUIRE(removal.last_report == changes.removals.at(0).last_report);
  REQUIRE(removal.was_draining);
  REQUIRE(removal.forget_at == At(76'000));
  REQUIRE(*copy->configuration == *configuration);
  REQUIRE(copy->evacuated_zones == changes.evacuated_zones);
  REQUIRE(copy->newest == changes.newest);
  REQUIRE_FALSE(DecodeChanges("nothing", At(0)));
}

}  // namespace mangonotch::peering
