// Runs hosts that exchange heartbeats and catalog changes over loopback sockets. Guards against a
// host that stays behind the store while another host could bring it up to date.
#include "peering/gossip.h"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "base/hash.h"
#include "http1/clock.h"
#include "http1/tests/loopback.h"
#include "peering/codec.h"

namespace mangonotch::peering {
namespace {

using base::Duration;

/// A port that was free for both TCP and UDP a moment ago.
std::uint16_t FreePort() {
  boost::asio::io_context context;
  const boost::asio::ip::address_v4 loopback = boost::asio::ip::address_v4::loopback();
  while (true) {
    boost::asio::ip::tcp::acceptor acceptor(context, {loopback, 0});
    const std::uint16_t port = acceptor.local_endpoint().port();
    boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
    boost::system::error_code ec;
    socket.bind({loopback, port}, ec);
    if (!ec) return port;
  }
}

std::shared_ptr<const catalog::Configuration> MakeConfiguration(std::uint64_t version) {
  auto configuration = std::make_shared<catalog::Configuration>();
  configuration->version = version;
  return configuration;
}

catalog::Target MakeTarget(const std::string& id, bool is_draining) {
  catalog::Target target;
  target.id = id;
  target.is_draining = is_draining;
  return target;
}

/// A host with the state that its store watches would maintain.
struct TestHost {
  TestHost(boost::asio::io_context& context, const std::string& name, const std::string& zone,
           bool watches_store)
      : is_fresh(watches_store),
        members({.host = name, .zone = zone, .callers = {}, .peers = http1::LoopbackAt(FreePort())},
                {{"a1", "A"}, {"b1", "B"}}, {}),
        registry({.min_outage = Duration::Seconds(3), .recovery_time = Duration::Seconds(2)}),
        gossip(context, members, registry, base::Hash(name),
               {.fill_heartbeat =
                    [this](fleet::Heartbeat& heartbeat) {
                      heartbeat.watches_store = is_fresh;
                      heartbeat.has_fresh_catalog = is_fresh;
                    },
                .on_interval = [] {},
                .on_merged = [this](const fleet::CatalogRequest&) { UpdateCatalog(); },
                .has_fresh_catalog = [this] { return is_fresh; }}) {}

  void UpdateCatalog() {
    if (const auto next = registry.TakeUpdatedCatalog()) catalog = next;
  }
  std::uint64_t ConfigurationVersion() const {
    return catalog && catalog->configuration ? catalog->configuration->version : 0;
  }
  bool KnowsDrainingTarget() const {
    return catalog && !catalog->targets.empty() && catalog->targets.front().is_draining;
  }

  bool is_fresh;
  fleet::Members members;
  discovery::Registry registry;
  catalog::CatalogPtr catalog;
  Gossip gossip;
};

/// Sends heartbeats of a host that has a catalog to fetch, but is not there otherwise.
class HeartbeatSender {
 public:
  HeartbeatSender(boost::asio::io_context& context, const TestHost& receiver,
                  const base::Endpoint& own_address)
      : heartbeat_{.sender = {.host = "host-1", .zone = "a1", .callers = {}, .peers = own_address},
                   .incarnation = 1,
                   .has_fresh_catalog = true,
                   .catalog_sequence = 9,
                   .newest = {.operator_records = 10}},
        socket_(context, boost::asio::ip::udp::v4()),
        receiver_(boost::asio::ip::address_v4::loopback(), receiver.members.self().peers.port) {}

  void Send() {
    ++heartbeat_.sequence;
    socket_.send_to(boost::asio::buffer(EncodeHeartbeat(heartbeat_)), receiver_);
  }

 private:
  fleet::Heartbeat heartbeat_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint receiver_;
};

/// Two watchers and a follower. All know version 1 and a target.
struct Fixture {
  explicit Fixture(const std::string& zone_of_second = "a1")
      : first(context, "host-1", "a1", true),
        second(context, "host-2", zone_of_second, true),
        follower(context, "host-3", "a1", false) {
    for (TestHost* host : {&first, &second}) {
      host->registry.PutConfiguration(MakeConfiguration(1), 10);
      host->registry.PutTarget(MakeTarget("t1", false), 11);
      host->registry.AdvanceTargets(11);
      host->UpdateCatalog();
    }
    const TestHost* const hosts[] = {&first, &second, &follower};
    for (TestHost* host : {&first, &second, &follower}) {
      for (const TestHost* it : hosts) {
        host->members.AddContact(it->members.self().peers, http1::Now());
      }
      host->gossip.Start();
    }
    REQUIRE(RunUntil([this] { return follower.ConfigurationVersion() == 1; }));
    // Every host has received heartbeats of all the others.
    for (int i = 0; i < 10; ++i) http1::RunBriefly(context);
  }

  bool RunUntil(const std::function<bool()>& condition) {
    return http1::RunContext(context, condition);
  }

  boost::asio::io_context context;
  TestHost first;
  TestHost second;
  TestHost follower;
};

}  // namespace

TEST_CASE("A host whose source has a silent store watch gets the configuration from another host") {
  Fixture fixture;
  fixture.second.registry.PutConfiguration(MakeConfiguration(2), 20);
  REQUIRE(fixture.RunUntil([&] { return fixture.follower.ConfigurationVersion() == 2; }));
}

TEST_CASE("A host whose source has a silent store watch learns from another that a target leaves") {
  Fixture fixture;
  fixture.second.registry.PutTarget(MakeTarget("t1", true), 20);
  fixture.second.registry.AdvanceTargets(20);
  REQUIRE(fixture.RunUntil([&] { return fixture.follower.KnowsDrainingTarget(); }));
}

TEST_CASE("A host whose own store watch is silent gets the configuration from another host") {
  Fixture fixture;
  fixture.second.registry.PutConfiguration(MakeConfiguration(2), 20);
  REQUIRE(fixture.RunUntil([&] { return fixture.first.ConfigurationVersion() == 2; }));
}

TEST_CASE("A region whose watchers are all silent gets the configuration from another region") {
  Fixture fixture("b1");
  fixture.second.registry.PutConfiguration(MakeConfiguration(2), 20);
  REQUIRE(fixture.RunUntil([&] {
    return fixture.first.ConfigurationVersion() == 2 &&
           fixture.follower.ConfigurationVersion() == 2;
  }));
}

TEST_CASE("A host that has listed a late report learns from another that the target drains") {
  Fixture fixture;
  catalog::Target late = MakeTarget("t2", false);
  late.report = {.started_at_ms = 1, .sequence = 6};
  catalog::Target draining = MakeTarget("t2", true);
  draining.report = {.started_at_ms = 1, .sequence = 7};
  fixture.second.registry.PutTarget(draining, 20);
  fixture.second.registry.PutTarget(late, 21);
  const std::vector<catalog::Target> listed = {late};
  fixture.first.registry.ReplaceTargets(listed, 21, http1::Now());
  fixture.second.registry.AdvanceTargets(21);
  fixture.first.UpdateCatalog();
  fixture.first.gossip.OnTargetsListed();
  REQUIRE(fixture.RunUntil([&] { return fixture.first.KnowsDrainingTarget(); }));
}

TEST_CASE("A host whose source does not answer fetches from another one") {
  boost::asio::io_context context;
  TestHost healthy(context, "host-2", "a1", true);
  healthy.registry.PutConfiguration(MakeConfiguration(1), 10);
  TestHost follower(context, "host-3", "a1", false);
  follower.gossip.Start();
  // Does not listen for connections.
  HeartbeatSender unreachable(context, follower, http1::LoopbackAt(FreePort()));
  unreachable.Send();
  http1::RunBriefly(context);
  healthy.members.AddContact(follower.members.self().peers, http1::Now());
  healthy.gossip.Start();
  REQUIRE(http1::RunContext(context, [&] {
    unreachable.Send();
    return follower.ConfigurationVersion() == 1;
  }));
}

// Guards against a host that ends, or applies what it got, because of another one in trouble.
TEST_CASE("A host whose source sends broken answers applies none and fetches from another one") {
  discovery::Registry other(
      {.min_outage = Duration::Seconds(3), .recovery_time = Duration::Seconds(2)});
  other.PutConfiguration(MakeConfiguration(9), 10);
  const std::string body = EncodeChanges(other.ChangesSince(0), http1::Now());
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  for (const std::string& head :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n"),
        "HTTP/1.1 000 OK\r\n" + length, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + length}) {
    CAPTURE(head);
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    TestHost healthy(context, "host-2", "a1", true);
    healthy.registry.PutConfiguration(MakeConfiguration(1), 10);
    TestHost follower(context, "host-3", "a1", false);
    follower.gossip.Start();
    HeartbeatSender troubled(context, follower,
                             http1::LoopbackAt(acceptor.local_endpoint().port()));
    troubled.Send();
    http1::RunBriefly(context);
    http1::LoopbackSocket source(acceptor);
    source.Send(head + body);
    http1::RunBriefly(context);
    CHECK(follower.ConfigurationVersion() == 0);
    healthy.members.AddContact(follower.members.self().peers, http1::Now());
    healthy.gossip.Start();
    REQUIRE(http1::RunContext(context, [&] {
      troubled.Send();
      return follower.ConfigurationVersion() == 1;
    }));
  }
}

}  // namespace mangonotch::peering
