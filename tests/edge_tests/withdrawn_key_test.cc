// Withdraws a tenant's key while callers keep their connections open. Guards against a host that
// goes on serving the key: by its connection, by its store link, or by what it reads at its start.
#include <catch2/catch.hpp>
#include <memory>

#include "http1/message.h"
#include "http1/tests/loopback.h"
#include "tests/edge_tests/edge_deployment.h"
#include "tests/support/edge_settings.h"

namespace mangonotch::edge_tests {
namespace {

using base::Duration;
using platform::testing::StoreMode;

constexpr Duration kRequestTimeout = Duration::Seconds(3);
constexpr Duration kLoseTime = Duration::Seconds(20);
/// A withdrawn key stops working within this time on every connected host.
constexpr Duration kWithdrawalTime = Duration::Seconds(4);
constexpr Duration kStartTime = Duration::Seconds(10);
constexpr unsigned kOk = 200;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kUnavailable = 503;

/// Writes a configuration whose only tenant has these keys, given as JSON strings.
void PutKeys(EdgeDeployment& deployment, std::uint64_t version, const std::string& keys) {
  std::string json = platform::testing::MakeConfiguration(version, kCallerHost, "status");
  json.pop_back();
  json += R"(,"tenants":[{"name":"ada","apiKeys":[)" + keys + "]}]}";
  deployment.store().Put(std::string(platform::testing::kConfigurationStoreKey), json);
}

bool RunUntilBothHaveLogged(EdgeDeployment& deployment, const std::string& text) {
  return deployment.RunUntil(kLoseTime, [&] {
    return deployment.host(0).HasLogged(text) && deployment.host(1).HasLogged(text);
  });
}

/// A caller that keeps one connection to a host.
class Caller {
 public:
  /// Throws boost::system::system_error if the host does not accept connections.
  explicit Caller(const EdgeProcess& host)
      : name_(host.ip),
        socket_({boost::asio::ip::make_address(host.ip), support::kEdgeCallerPort}) {}

  /// Sends a request with the key and returns the status of its answer; 0 without one.
  unsigned Ask(EdgeDeployment& deployment, const std::string& key) {
    const std::string id = name_ + "-" + std::to_string(++requests_);
    http1::Request request = platform::testing::MakeCallerRequest("GET", kCallerHost, "/look/1", id,
                                                                  id, kRequestTimeout);
    request.headers.push_back({"Authorization", "Bearer " + key});
    const std::size_t start = socket_.Received().size();
    socket_.Send(http1::Serialize(request));
    constexpr std::string_view kStatusLine = "HTTP/1.1 ";
    constexpr std::size_t kStatusDigits = 3;
    const std::size_t status_end = start + kStatusLine.size() + kStatusDigits;
    const auto is_whole = [&] {
      const std::string& answers = socket_.Received();
      return answers.size() >= status_end && answers.find("\r\n\r\n", start) != std::string::npos;
    };
    if (!deployment.RunUntil(kRequestTimeout, is_whole)) return 0;
    // What is left of the answer.
    deployment.RunFor(Duration::Milliseconds(20));
    return static_cast<unsigned>(
        std::stoul(socket_.Received().substr(start + kStatusLine.size(), kStatusDigits)));
  }

 private:
  std::string name_;
  http1::LoopbackSocket socket_;
  int requests_ = 0;
};

bool RunUntilWithdrawn(EdgeDeployment& deployment, Caller& caller) {
  return deployment.RunUntil(kWithdrawalTime,
                             [&] { return caller.Ask(deployment, "old-key") == kUnauthorized; });
}

/// Connects when the host has started again and no longer refuses requests for want of a
/// configuration; null if it does not do so in time.
std::unique_ptr<Caller> ConnectAfterStart(EdgeDeployment& deployment, std::size_t host) {
  std::unique_ptr<Caller> caller;
  deployment.RunUntil(kStartTime, [&] {
    try {
      auto next = std::make_unique<Caller>(deployment.host(host));
      const unsigned status = next->Ask(deployment, "new-key");
      if (status != kUnavailable && status != 0) caller = std::move(next);
    } catch (const boost::system::system_error&) {
      return false;  // Does not listen yet.
    }
    return caller != nullptr;
  });
  return caller;
}

}  // namespace

TEST_CASE("A withdrawn key is refused on open connections, also where the store link is cut") {
  EdgeDeployment deployment("withdrawn-key", 2, Duration::Milliseconds(20));
  REQUIRE(deployment.RunUntilReady());
  PutKeys(deployment, 2, R"("old-key","new-key")");
  REQUIRE(RunUntilBothHaveLogged(deployment, "catalog_changed configuration=2"));
  Caller cut(deployment.host(0));
  Caller connected(deployment.host(1));
  REQUIRE(cut.Ask(deployment, "old-key") == kOk);
  REQUIRE(connected.Ask(deployment, "old-key") == kOk);
  deployment.host(0).store_proxy->SetFault({.delay = {}, .drops_responses = true});
  REQUIRE(
      deployment.RunUntil(kLoseTime, [&] { return deployment.host(0).HasLogged("store_lost"); }));
  PutKeys(deployment, 3, R"("new-key")");
  CHECK(RunUntilWithdrawn(deployment, connected));
  CHECK(RunUntilWithdrawn(deployment, cut));
  CHECK(connected.Ask(deployment, "new-key") == kOk);
  CHECK(cut.Ask(deployment, "new-key") == kOk);
  deployment.Restart(0);
  const auto restarted = ConnectAfterStart(deployment, 0);
  REQUIRE(restarted);
  CHECK(restarted->Ask(deployment, "old-key") == kUnauthorized);
}

TEST_CASE(
    "A host that starts after the store was restored refuses a key withdrawn since the copy") {
  EdgeDeployment deployment("withdrawn-key-restored", 2, Duration::Milliseconds(20));
  REQUIRE(deployment.RunUntilReady());
  PutKeys(deployment, 2, R"("old-key","new-key")");
  REQUIRE(RunUntilBothHaveLogged(deployment, "catalog_changed configuration=2"));
  const platform::testing::StoreCopy copy = deployment.store().Copy();
  PutKeys(deployment, 3, R"("new-key")");
  REQUIRE(RunUntilBothHaveLogged(deployment, "catalog_changed configuration=3"));
  deployment.store().SetMode(StoreMode::kBusy);
  deployment.store().RefuseOpenWatches();
  deployment.store().Restore(copy);
  deployment.store().SetMode(StoreMode::kServing);
  REQUIRE(RunUntilBothHaveLogged(deployment, "store_restored"));
  Caller running(deployment.host(1));
  CHECK(running.Ask(deployment, "old-key") == kUnauthorized);
  deployment.Restart(0);
  const auto restarted = ConnectAfterStart(deployment, 0);
  REQUIRE(restarted);
  CHECK(RunUntilWithdrawn(deployment, *restarted));
  CHECK(running.Ask(deployment, "old-key") == kUnauthorized);
  CHECK(restarted->Ask(deployment, "new-key") == kOk);
}

}  // namespace mangonotch::edge_tests
