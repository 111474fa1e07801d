// Tests the selection of hosts for callers and the number of hosts that watch the store.
#include "fleet/members.h"

#include <catch2/catch.hpp>

namespace mangonotch::fleet {
namespace {

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

base::Endpoint MakeEndpoint(std::uint16_t port) {
  base::Endpoint endpoint;
  endpoint.port = port;
  return endpoint;
}

HostRecord MakeRecord(const std::string& host, const std::string& zone, std::uint16_t port) {
  return {.host = host,
          .zone = zone,
          .callers = MakeEndpoint(port),
          .peers = MakeEndpoint(static_cast<std::uint16_t>(port + 1000)),
          .link_mbps = 100};
}

Heartbeat MakeHeartbeat(const HostRecord& record, std::uint64_t sequence = 1) {
  return {.sender = record, .incarnation = 1, .sequence = sequence};
}

Members MakeMembers(const HostRecord& self) {
  return Members(self, {{"a1", "A"}, {"a2", "A"}, {"b1", "B"}}, {});
}

HostRecord Self() { return MakeRecord("self", "a1", 1); }
HostRecord Near() { return MakeRecord("near", "a2", 2); }
HostRecord Far() { return MakeRecord("far", "b1", 3); }

}  // namespace

TEST_CASE("Callers are sent to the live hosts of their region") {
  Members members = MakeMembers(Self());
  members.OnHeartbeat(MakeHeartbeat(Near()), At(0));
  members.OnHeartbeat(MakeHeartbeat(Far()), At(0));
  REQUIRE(members.Resolve("A", false, 64, At(100)) == std::vector{Self().callers, Near().callers});
  REQUIRE(members.Resolve("B", false, 64, At(100)) == std::vector{Far().callers});
}

TEST_CASE("Hosts without recent heartbeats and stopping hosts are not returned") {
  Members members = MakeMembers(Self());
  members.OnHeartbeat(MakeHeartbeat(Near()), At(0));
  REQUIRE(members.Resolve("A", false, 64, At(5000)) == std::vector{Self().callers});
  Heartbeat leaving = MakeHeartbeat(Near(), 2);
  leaving.is_leaving = true;
  members.OnHeartbeat(leaving, At(5000));
  REQUIRE(members.Resolve("A", false, 64, At(5001)) == std::vector{Self().callers});
}

TEST_CASE("A region without hosts gets hosts of other regions, and the result is never empty") {
  Members members = MakeMembers(Self());
  REQUIRE(members.Resolve("B", false, 64, At(0)) == std::vector{Self().callers});
  REQUIRE(members.Resolve("A", true, 64, At(0)) == std::vector{Self().callers});
}

TEST_CASE("Out-of-order heartbeats do not override newer ones") {
  Members members = MakeMembers(Self());
  Heartbeat leaving = MakeHeartbeat(Near(), 5);
  leaving.is_leaving = true;
  REQUIRE(members.OnHeartbeat(leaving, At(0)));
  REQUIRE_FALSE(members.OnHeartbeat(MakeHeartbeat(Near(), 4), At(1)));
  REQUIRE(members.Resolve("A", false, 64, At(2)) == std::vector{Self().callers});
}

TEST_CASE("Hosts without recent heartbeats count as possibly alive when totals are divided") {
  Members members = MakeMembers(Self());
  members.OnHeartbeat(MakeHeartbeat(Near()), At(0));
  REQUIRE(members.CountLive(At(10'000)) == 1);
  REQUIRE(members.CountPossiblyAlive(At(10'000)) == 2);
}

TEST_CASE("The load of hosts without recent heartbeats is dropped") {
  Members members = MakeMembers(Self());
  Heartbeat heartbeat = MakeHeartbeat(Near());
  heartbeat.loads = {{.target_key = 7, .in_flight = 3}};
  members.OnHeartbeat(heartbeat, At(0));
  REQUIRE(members.PeerLoads(At(10)) == std::vector{TargetLoad{7, 3}});
  REQUIRE(members.PeerLoads(At(10'000)).empty());
}

// Guards against an outage that is denied by what was said before it, or by a stopped host.
TEST_CASE("The store has served another host since the earliest instant that was heard recently") {
  Members members = MakeMembers(Self());
  REQUIRE(members.StoreServedSince(At(0), At(10)) == base::Instant::Never());
  Heartbeat heartbeat = MakeHeartbeat(Near());
  heartbeat.store_service_time = base::Duration::Seconds(9);
  members.OnHeartbeat(heartbeat, At(10'000));
  heartbeat = MakeHeartbeat(Far());
  members.OnHeartbeat(heartbeat, At(10'100));
  REQUIRE(members.StoreServedSince(At(9900), At(10'200)) == At(1000));
  REQUIRE(members.StoreServedSince(At(10'050), At(10'200)) == base::Instant::Never());
  heartbeat.sequence = 2;
  heartbeat.store_service_time = base::Duration::Seconds(2);
  members.OnHeartbeat(heartbeat, At(10'300));
  REQUIRE(members.StoreServedSince(At(10'050), At(10'400)) == At(8300));
  REQUIRE(members.StoreServedSince(At(9900), At(30'000)) == base::Instant::Never());
}

TEST_CASE("Two of many hosts watch the store, and more while these cannot reach it") {
  std::vector<HostRecord> hosts;
  for (std::uint16_t i = 0; i < 20; ++i) {
    hosts.push_back(
        MakeRecord("host-" + std::to_string(i), "a1", static_cast<std::uint16_t>(i + 1)));
  }
  std::map<std::string, Heartbeat> heartbeats;
  for (const HostRecord& it : hosts) heartbeats[it.host] = MakeHeartbeat(it);
  const auto count_watchers = [&](bool store_answers) {
    int n = 0;
    // Several rounds, since each decision depends on the last heartbeats of the other hosts.
    for (std::uint64_t round = 2; round < 12; ++round) {
      n = 0;
      const auto previous = heartbeats;
      for (const HostRecord& self : hosts) {
        Members members = MakeMembers(self);
        for (const auto& [host, heartbeat] : previous) members.OnHeartbeat(heartbeat, At(0));
        const bool watches = members.ShouldWatchStore(At(1));
        heartbeats[self.host].watches_store = watches;
        heartbeats[self.host].has_fresh_catalog = watches && store_answers;
        n += watches ? 1 : 0;
      }
    }
    return n;
  };
  REQUIRE(count_watchers(true) == 2);
  REQUIRE(count_watchers(false) == 5);
  REQUIRE(count_watchers(true) == 2);
}

// Guards against slow propagation of changes: a watcher on a link of 10 Mbit/s that sent 200 kB
// to each of twenty hosts took longer than a change may take.
TEST_CASE("Hosts with higher bandwidth are selected as watchers first") {
  HostRecord wide = Near();
  wide.link_mbps = 200;
  HostRecord narrow = Self();
  narrow.link_mbps = 10;
  Members members = MakeMembers(narrow);
  for (int i = 0; i < 2; ++i) {
    wide.host = "wide-" + std::to_string(i);
    Heartbeat heartbeat = MakeHeartbeat(wide);
    heartbeat.has_fresh_catalog = true;
    members.OnHeartbeat(heartbeat, At(0));
  }
  REQUIRE_FALSE(members.ShouldWatchStore(At(1)));
  HostRecord widest = Self();
  widest.link_mbps = 1000;
  Members others = MakeMembers(widest);
  others.OnHeartbeat(MakeHeartbeat(wide), At(0));
  REQUIRE(others.ShouldWatchStore(At(1)));
}

TEST_CASE("Contacts learned from heartbeats are used and expire when no host responds there") {
  Members members = MakeMembers(Self());
  Heartbeat heartbeat = MakeHeartbeat(Near());
  heartbeat.contacts = {MakeEndpoint(77), Self().peers};
  members.OnHeartbeat(heartbeat, At(0));
  REQUIRE(members.Contacts(At(0)).local == std::vector{Near().peers});
  REQUIRE(members.Contacts(At(0)).unconfirmed == std::vector{MakeEndpoint(77)});
  members.OnHeartbeat(MakeHeartbeat(Near(), 2), At(59'000));
  members.Expire(At(61'000));
  REQUIRE(members.Contacts(At(61'000)).unconfirmed.empty());
}

// Guards against the fault of regions of over 64 hosts: the last ones by name never got a caller.
TEST_CASE("In a region with more hosts than an answer may name, all of them get callers") {
  constexpr std::uint16_t kHosts = 100;
  constexpr std::size_t kMaxCount = 64;
  std::vector<HostRecord> hosts;
  for (std::uint16_t i = 1; i <= kHosts; ++i) {
    hosts.push_back(MakeRecord("host-" + std::to_string(i), "a1", i));
  }
  std::map<std::uint16_t, int> answers_by_port;
  for (const HostRecord& self : hosts) {
    Members members = MakeMembers(self);
    for (const HostRecord& it : hosts) members.OnHeartbeat(MakeHeartbeat(it), At(0));
    const auto addresses = members.Resolve("A", false, kMaxCount, At(1));
    REQUIRE(addresses.size() == kMaxCount);
    REQUIRE(addresses == members.Resolve("A", false, kMaxCount, At(2)));
    for (const base::Endpoint& it : addresses) ++answers_by_port[it.port];
  }
  REQUIRE(answers_by_port.size() == kHosts);
  for (const auto& [port, answers] : answers_by_port) REQUIRE(answers > 64 / 2);
}

TEST_CASE("Hosts of other regions are known from heartbeats that hosts of this region pass on") {
  Members members = MakeMembers(Self());
  Heartbeat heartbeat = MakeHeartbeat(Near());
  heartbeat.relayed = {MakeHeartbeat(Far())};
  members.OnHeartbeat(heartbeat, At(0));
  REQUIRE(members.Resolve("B", false, 64, At(100)) == std::vector{Far().callers});
  REQUIRE(members.TakeRelayed(8).empty());
}

TEST_CASE("A heartbeat from another region is passed on once, unless another host has done so") {
  Members members = MakeMembers(Self());
  members.OnHeartbeat(MakeHeartbeat(Far()), At(0));
  members.OnHeartbeat(MakeHeartbeat(Near()), At(0));
  const auto relayed = members.TakeRelayed(8);
  REQUIRE(relayed.size() == 1);
  REQUIRE(relayed.front().sender == Far());
  REQUIRE(members.TakeRelayed(8).empty());
  members.OnHeartbeat(MakeHeartbeat(Far(), 2), At(10));
  Heartbeat heartbeat = MakeHeartbeat(Near(), 2);
  heartbeat.relayed = {MakeHeartbeat(Far(), 2)};
  members.OnHeartbeat(heartbeat, At(20));
  REQUIRE(members.TakeRelayed(8).empty());
}

// Guards against a host that has restarted and passes for leaving again, since a heartbeat of its
// last incarnation arrives late through another host.
TEST_CASE("A heartbeat of the incarnation before the present one does not override it") {
  Members members = MakeMembers(Self());
  Heartbeat leaving = MakeHeartbeat(Far(), 9);
  leaving.is_leaving = true;
  members.OnHeartbeat(leaving, At(0));
  Heartbeat restarted = MakeHeartbeat(Far(), 1);
  restarted.incarnation = 2;
  REQUIRE(members.OnHeartbeat(restarted, At(10)));
  Heartbeat late = MakeHeartbeat(Near());
  late.relayed = {leaving};
  members.OnHeartbeat(late, At(20));
  REQUIRE(members.Resolve("B", false, 64, At(30)) == std::vector{Far().callers});
}

TEST_CASE("Hosts spread their heartbeats to another region over all its hosts") {
  std::map<std::uint16_t, int> receivers;
  for (int host = 0; host < 60; ++host) {
    Members members = MakeMembers(MakeRecord("self-" + std::to_string(host), "a1", 1));
    for (std::uint16_t i = 10; i < 20; ++i) {
      members.OnHeartbeat(MakeHeartbeat(MakeRecord("far-" + std::to_string(i), "b1", i)), At(0));
    }
    const auto relays = members.Contacts(At(1)).relays;
    REQUIRE(relays.size() == 2);
    for (const base::Endpoint& it : relays) ++receivers[it.port];
  }
  REQUIRE(receivers.size() == 10);
  for (const auto& [port, n] : receivers) REQUIRE(n < 30);
}

TEST_CASE("A host whose heartbeats are rare does not count as stopped between two of them") {
  Members members = MakeMembers(Self());
  Heartbeat rare = MakeHeartbeat(Near());
  rare.period = base::Duration::Seconds(2);
  members.OnHeartbeat(rare, At(0));
  REQUIRE(members.CountLive(At(4900)) == 2);
  REQUIRE(members.CountLive(At(5100)) == 1);
}

TEST_CASE("A host that names a period beyond reason counts as stopped all the same") {
  Members members = MakeMembers(Self());
  Heartbeat endless = MakeHeartbeat(Near());
  endless.period = base::Duration::Seconds(1'000'000);
  members.OnHeartbeat(endless, At(0));
  REQUIRE(members.CountLive(At(30'000)) == 1);
}

TEST_CASE("A host of the region that has just started gets a reply to its first heartbeat only") {
  Members members = MakeMembers(Self());
  members.OnHeartbeat(MakeHeartbeat(Near()), At(0));
  members.OnHeartbeat(MakeHeartbeat(Far()), At(0));
  REQUIRE(members.TakeNewcomers() == std::vector{Near().peers});
  members.OnHeartbeat(MakeHeartbeat(Near(), 2), At(150));
  REQUIRE(members.TakeNewcomers().empty());
  Heartbeat restarted = MakeHeartbeat(Near());
  restarted.incarnation = 2;
  members.OnHeartbeat(restarted, At(300));
  REQUIRE(members.TakeNewcomers() == std::vector{Near().peers});
}

}  // namespace mangonotch::fleet
