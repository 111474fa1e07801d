// Guards which hosts callers are sent to, and how many hosts ask the store.
#include "fleet/members.h"

#include <catch2/catch.hpp>

namespace mangonotch::fleet {
namespace {

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

base::Endpoint EndpointOf(std::uint16_t port) {
  base::Endpoint endpoint;
  endpoint.port = port;
  return endpoint;
}

HostRecord RecordOf(const std::string& host, const std::string& zone, std::uint16_t port) {
  return {.host = host,
          .zone = zone,
          .callers = EndpointOf(port),
          .peers = EndpointOf(static_cast<std::uint16_t>(port + 1000)),
          .link_mbps = 100};
}

Heartbeat BeatOf(const HostRecord& record, std::uint64_t sequence = 1) {
  return {.sender = record, .incarnation = 1, .sequence = sequence};
}

Members MembersOf(const HostRecord& self) {
  return Members(self, {{"a1", "A"}, {"a2", "A"}, {"b1", "B"}}, {});
}

HostRecord Self() { return RecordOf("self", "a1", 1); }
HostRecord Near() { return RecordOf("near", "a2", 2); }
HostRecord Far() { return RecordOf("far", "b1", 3); }

}  // namespace

TEST_CASE("Callers are sent to the live hosts of their region") {
  Members members = MembersOf(Self());
  members.OnHeartbeat(BeatOf(Near()), At(0));
  members.OnHeartbeat(BeatOf(Far()), At(0));
  REQUIRE(members.Resolve("A", false, 64, At(100)) == std::vector{Self().callers, Near().callers});
  REQUIRE(members.Resolve("B", false, 64, At(100)) == std::vector{Far().callers});
}

TEST_CASE("Silent and stopping hosts are not named") {
  Members members = MembersOf(Self());
  members.OnHeartbeat(BeatOf(Near()), At(0));
  REQUIRE(members.Resolve("A", false, 64, At(5000)) == std::vector{Self().callers});
  Heartbeat leaving = BeatOf(Near(), 2);
  leaving.is_leaving = true;
  members.OnHeartbeat(leaving, At(5000));
  REQUIRE(members.Resolve("A", false, 64, At(5001)) == std::vector{Self().callers});
}

TEST_CASE("A region without hosts is served by the others, and some host is always named") {
  Members members = MembersOf(Self());
  REQUIRE(members.Resolve("B", false, 64, At(0)) == std::vector{Self().callers});
  REQUIRE(members.Resolve("A", true, 64, At(0)) == std::vector{Self().callers});
}

TEST_CASE("Repeated and late heartbeats do not undo newer ones") {
  Members members = MembersOf(Self());
  Heartbeat leaving = BeatOf(Near(), 5);
  leaving.is_leaving = true;
  REQUIRE(members.OnHeartbeat(leaving, At(0)));
  REQUIRE_FALSE(members.OnHeartbeat(BeatOf(Near(), 4), At(1)));
  REQUIRE(members.Resolve("A", false, 64, At(2)) == std::vector{Self().callers});
}

TEST_CASE("Silent hosts still count where a sum over all hosts is divided") {
  Members members = MembersOf(Self());
  members.OnHeartbeat(BeatOf(Near()), At(0));
  REQUIRE(members.CountLive(At(10'000)) == 1);
  REQUIRE(members.CountForSums(At(10'000)) == 2);
}

TEST_CASE("Work of silent hosts is forgotten") {
  Members members = MembersOf(Self());
  Heartbeat beat = BeatOf(Near());
  beat.loads = {{.target_key = 7, .in_flight = 3}};
  members.OnHeartbeat(beat, At(0));
  REQUIRE(members.PeerLoads(At(10)) == std::vector{TargetLoad{7, 3}});
  REQUIRE(members.PeerLoads(At(10'000)).empty());
}

TEST_CASE("Two of many hosts watch the store, and more while these cannot reach it") {
  std::vector<HostRecord> hosts;
  for (std::uint16_t i = 0; i < 20; ++i) {
    hosts.push_back(RecordOf("host-" + std::to_string(i), "a1", static_cast<std::uint16_t>(i + 1)));
  }
  std::map<std::string, Heartbeat> beats;
  for (const HostRecord& it : hosts) beats[it.host] = BeatOf(it);
  const auto watchers = [&](bool store_answers) {
    int n = 0;
    // Some rounds, since each host's decision follows the heartbeats of the others.
    for (std::uint64_t round = 2; round < 12; ++round) {
      n = 0;
      const auto before = beats;
      for (const HostRecord& self : hosts) {
        Members members = MembersOf(self);
        for (const auto& [host, beat] : before) members.OnHeartbeat(beat, At(0));
        const bool watches = members.ShouldWatchStore(At(1));
        beats[self.host].watches_store = watches;
        beats[self.host].has_fresh_catalog = watches && store_answers;
        n += watches ? 1 : 0;
      }
    }
    return n;
  };
  REQUIRE(watchers(true) == 2);
  REQUIRE(watchers(false) == 5);
  REQUIRE(watchers(true) == 2);
}

// On a link of 10 Mbit/s, 200 kB for each of twenty hosts took longer than a change may.
TEST_CASE("Hosts with wide links watch before those with narrow ones") {
  HostRecord wide = Near();
  wide.link_mbps = 200;
  HostRecord narrow = Self();
  narrow.link_mbps = 10;
  Members members = MembersOf(narrow);
  for (int i = 0; i < 2; ++i) {
    wide.host = "wide-" + std::to_string(i);
    Heartbeat beat = BeatOf(wide);
    beat.has_fresh_catalog = true;
    members.OnHeartbeat(beat, At(0));
  }
  REQUIRE_FALSE(members.ShouldWatchStore(At(1)));
  HostRecord widest = Self();
  widest.link_mbps = 1000;
  Members others = MembersOf(widest);
  others.OnHeartbeat(BeatOf(wide), At(0));
  REQUIRE(others.ShouldWatchStore(At(1)));
}

TEST_CASE("Addresses named by others are tried, and forgotten when nobody answers there") {
  Members members = MembersOf(Self());
  Heartbeat beat = BeatOf(Near());
  beat.contacts = {EndpointOf(77), Self().peers};
  members.OnHeartbeat(beat, At(0));
  REQUIRE(members.Contacts().local == std::vector{Near().peers});
  REQUIRE(members.Contacts().unheard == std::vector{EndpointOf(77)});
  members.OnHeartbeat(BeatOf(Near(), 2), At(59'000));
  members.Expire(At(61'000));
  REQUIRE(members.Contacts().unheard.empty());
}

}  // namespace mangonotch::fleet
