// Stops a host as planned while a caller has several requests under way on one connection. Guards
// against requests that are with a target and get no answer.
#include <signal.h>

#include <catch2/catch.hpp>

#include "http1/message.h"
#include "http1/tests/loopback.h"
#include "tests/edge_tests/edge_deployment.h"
#include "tests/support/edge_settings.h"

namespace mangonotch::edge_tests {
namespace {

using base::Duration;

constexpr Duration kWorkTime = Duration::Milliseconds(700);
constexpr Duration kRequestTimeout = Duration::Seconds(3);
/// Callers that cached a look-up send requests to a stopping host until then. The answers come when
/// it no longer takes requests.
constexpr Duration kCachedLookupTime = Duration::Milliseconds(2500);
constexpr int kStopTimeMs = 6000;
constexpr int kRequests = 3;

std::string Id(int n) { return "stop-" + std::to_string(n); }

}  // namespace

TEST_CASE("A host that is stopped answers all requests of a connection that are with targets") {
  EdgeDeployment deployment("planned-stop", 2, kWorkTime);
  REQUIRE(deployment.RunUntilReady());
  EdgeProcess& stopping = deployment.host(1);
  http1::LoopbackSocket caller(boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(stopping.ip), support::kEdgeCallerPort));
  stopping.process->Signal(SIGTERM);
  deployment.RunFor(kCachedLookupTime);
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += http1::Serialize(platform::testing::MakeCallerRequest(
        "GET", kCallerHost, "/look/1", Id(i), std::to_string(i), kRequestTimeout));
  }
  caller.Send(requests);
  const bool is_closed = deployment.RunUntil(kRequestTimeout, [&] { return caller.IsClosed(); });
  const std::string& answers = caller.Received();
  INFO(answers);
  REQUIRE(is_closed);
  for (int i = 0; i < kRequests; ++i) {
    INFO(Id(i));
    REQUIRE(deployment.runs().contains(Id(i)));
    CHECK(answers.find("whole answer to " + Id(i)) != std::string::npos);
  }
  REQUIRE(stopping.process->Wait(kStopTimeMs) == 0);
}

}  // namespace mangonotch::edge_tests
