// What callers are told by a host that cannot or must not run their request.
#include "traffic/caller_api.h"

#include <catch2/catch.hpp>

#include "control/tests/test_table.h"

namespace mangonotch::traffic {
namespace {

/// The caller side of a host named north-1, with no targets that answer.
class Host {
 public:
  Host() = default;

  void PutTableInForce() {
    auto snapshot = std::make_shared<control::Snapshot>();
    snapshot->table = control::MakeTable(1);
    gates_.Configure(*snapshot->table);
    snapshots_.Store(std::move(snapshot));
  }

  http::Response Ask(std::string_view method, std::string_view path,
                     std::span<const http::HeaderView> headers = {}) {
    http::Request request;
    request.method = method;
    request.path = path;
    request.headers = headers;
    request.peer = "10.1.0.1";
    return api_.Handle(request, false);
  }

  TicketDesk& tickets() { return tickets_; }

 private:
  metrics::Registry registry_;
  Counters counters_{registry_};
  GateSet gates_{"north", 1};
  LinkBudgets links_{"north", 1};
  control::SnapshotCell snapshots_;
  TicketDesk tickets_{"north-1", 7, {}};
  Dispatcher dispatcher_{"north", gates_, links_, counters_, {[] {}, [](base::TargetKey) {}}};
  CallerApi api_{{{"north-1", "127.0.0.1:1", 7}, "north", "north-a"},
                 snapshots_,
                 dispatcher_,
                 tickets_,
                 counters_};
};

std::string_view OutcomeOf(const http::Response& response) {
  return response.headers.Find("Mangonotch-Outcome").value_or("");
}

}  // namespace

// A repeat may follow a first copy that ran at the ticket's issuer, so this host cannot know that
// it was not run.
TEST_CASE("A refused repeat with a ticket is told unknown, not not-run") {
  Host host;
  const std::vector<http::HeaderView> ticket = {{"Idempotency-Ticket", "north-2.00.1.2.00"}};
  REQUIRE(OutcomeOf(host.Ask("POST", "/s/status/filings", ticket)) == "unknown");
  REQUIRE(OutcomeOf(host.Ask("POST", "/s/status/filings")) == "not-run");
  host.PutTableInForce();
  REQUIRE(OutcomeOf(host.Ask("POST", "/s/nothing/filings", ticket)) == "unknown");
  REQUIRE(OutcomeOf(host.Ask("POST", "/s/nothing/filings")) == "not-run");
}

TEST_CASE("A filing without a ticket is refused and gets one") {
  Host host;
  host.PutTableInForce();
  const auto response = host.Ask("POST", "/s/status/filings");
  REQUIRE(response.status == 428);
  REQUIRE(response.headers.Find("Idempotency-Ticket"));
}

TEST_CASE("A deadline that is no positive number is refused") {
  Host host;
  host.PutTableInForce();
  for (const std::string_view text : {"0", "-5", "soon", "10x", ""}) {
    const std::vector<http::HeaderView> headers = {{"Deadline-Ms", text}};
    CAPTURE(text);
    REQUIRE(host.Ask("GET", "/s/status/x", headers).status == 400);
  }
}

// Without slots nothing reaches a target, so the refusal may say so and must say when to come back.
TEST_CASE("A request that gets no slot before its deadline is told not-run with a time") {
  Host host;
  host.PutTableInForce();
  const std::vector<http::HeaderView> headers = {{"Deadline-Ms", "50"}};
  const auto response = host.Ask("GET", "/s/status/x", headers);
  REQUIRE(response.status == 503);
  REQUIRE(OutcomeOf(response) == "not-run");
  REQUIRE(response.headers.Find("Retry-After"));
}

TEST_CASE("A voided ticket never runs and its caller is told not-run") {
  Host host;
  host.PutTableInForce();
  const std::string ticket = *host.tickets().Issue();
  const std::vector<http::HeaderView> headers = {{"Idempotency-Ticket", ticket}};
  REQUIRE(OutcomeOf(host.Ask("POST", "/v1/ticket/void", headers)) == "not-run");
  const auto response = host.Ask("POST", "/s/status/filings", headers);
  REQUIRE(OutcomeOf(response) == "not-run");
  REQUIRE(response.headers.Find("Mangonotch-Reason") == "ticket-void");
}

}  // namespace mangonotch::traffic
