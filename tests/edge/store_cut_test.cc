// Runs two hosts, one of which loses its link to the store for a while. Guards against requests to
// a target that has left: the host took the fault of its own link for an outage of the store and
// kept the target for the time that live targets take to register again (review, case 5, the day).
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/instant.h"
#include "http1/clock.h"
#include "platform/testing/stand_in_store.h"
#include "platform/testing/stand_in_worker.h"
#include "tests/soak/fault_proxy.h"
#include "tests/support/edge_settings.h"
#include "tests/support/loopback_network.h"
#include "tests/support/process.h"

namespace mangonotch {
namespace {

using base::Duration;
using platform::testing::StandInWorker;

constexpr const char* kService = "status";
/// Longer than the shortest outage in which the entry of a live target expires.
constexpr Duration kCutTime = Duration::Seconds(6);
/// A host sends no requests to a target this long after its entry was removed.
constexpr Duration kDrainTime = Duration::Milliseconds(2000);
constexpr Duration kStartTime = Duration::Seconds(20);

base::Endpoint LocalPort(std::uint16_t port) {
  return {.address = *base::ParseIpAddress("127.0.0.1"), .port = port};
}

/// A host that reaches the store through a proxy.
struct Host {
  Host(boost::asio::io_context& context, const std::string& folder, const std::string& name,
       const std::string& ip, const std::string& seed_ip, std::uint16_t store_port)
      : proxy(context, LocalPort(0), LocalPort(store_port)) {
    const std::string settings = folder + "/" + name + ".jsonc";
    support::WriteEdgeSettings(settings, {.name = name,
                                          .ip = ip,
                                          .region = "north",
                                          .seed_ip = seed_ip,
                                          .store = LocalPort(proxy.port())});
    const std::vector<std::string> argv = {MANGONOTCH_BINARY, "edge", settings};
    const std::string log = folder + "/" + name + ".log";
    remove(log.c_str());
    process = std::make_unique<support::Process>(argv, log);
  }

  bool HasLogged(const std::string& text) const {
    return process->Output().find(text) != std::string::npos;
  }

  soak::FaultProxy proxy;
  std::unique_ptr<support::Process> process;
};

struct Fixture {
  Fixture() : network(context), store(context, LocalPort(0)) {
    mkdir(folder.c_str(), 0755);
    store.Put(std::string(platform::testing::kConfigurationStoreKey),
              platform::testing::MakeConfiguration(1, "test.example", kService));
    for (const char* const id : {"stays", "leaves"}) {
      workers.push_back(std::make_unique<StandInWorker>(
          context, LocalPort(0),
          platform::testing::WorkerOptions{.id = id, .service = kService, .zone = "north-a"},
          runs));
      const StandInWorker& worker = *workers.back();
      const std::string address = "127.0.0.1:" + std::to_string(worker.port());
      store.Put(worker.EntryKey(), worker.Entry(address, false));
    }
    for (int i = 1; i <= 2; ++i) {
      hosts.push_back(std::make_unique<Host>(context, folder, "host-" + std::to_string(i),
                                             network.Host(i), network.Host(1), store.port()));
    }
  }

  void RunFor(Duration d) {
    context.restart();
    context.run_for(http1::ToChrono(d));
  }
  /// Runs the stand-ins until `condition` holds; false when it does not hold within `limit`.
  template <typename Condition>
  bool RunUntil(Duration limit, Condition condition) {
    const base::Instant end = http1::Now() + limit;
    while (http1::Now() < end) {
      RunFor(Duration::Milliseconds(20));
      if (condition()) return true;
    }
    return false;
  }

  std::string folder = MANGONOTCH_TEST_LOGS;
  boost::asio::io_context context;
  support::LoopbackNetwork network;
  platform::testing::RunCounts runs;
  platform::testing::StandInStore store;
  std::vector<std::unique_ptr<StandInWorker>> workers;
  std::vector<std::unique_ptr<Host>> hosts;
};

}  // namespace

TEST_CASE(
    "A host whose link to the store was cut leaves a target that is removed after its return") {
  Fixture fixture;
  Host& cut = *fixture.hosts[0];
  Host& other = *fixture.hosts[1];
  REQUIRE(fixture.RunUntil(kStartTime, [&] {
    return cut.HasLogged("targets_listed targets=2") && other.HasLogged("targets_listed targets=2");
  }));
  fixture.RunFor(Duration::Seconds(1));
  cut.proxy.SetFault({.delay = {}, .drops_responses = true});
  fixture.RunFor(kCutTime);
  REQUIRE(cut.HasLogged("store_lost records=targets"));
  cut.proxy.SetFault({});
  REQUIRE(fixture.RunUntil(kStartTime,
                           [&] { return cut.HasLogged("store_regained records=targets"); }));
  fixture.store.Delete(fixture.workers[1]->EntryKey());
  const bool has_left =
      fixture.RunUntil(kDrainTime, [&] { return cut.HasLogged("targets=1 draining=0"); });
  INFO(cut.process->Output());
  REQUIRE(has_left);
  REQUIRE_FALSE(other.HasLogged("store_lost"));
}

}  // namespace mangonotch
