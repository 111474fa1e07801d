// Tests the memory budget of Server and its limits on callers that send or read slowly. Guards
// against callers that make the process hold more than its budget, and against large requests that
// leave no memory for small ones.
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <vector>

#include "http1/clock.h"
#include "http1/server.h"
#include "http1/tests/loopback.h"

namespace mangonotch::http1 {
namespace {

using base::Duration;

constexpr std::size_t kKib = 1024;
constexpr std::size_t kBudgetBytes = 512 * kKib;
constexpr const char* kPost = "POST / HTTP/1.1\r\nHost: h\r\n";
constexpr const char* kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Stores the requests; the tests reply to them.
struct Recorder {
  void OnRequest(RequestId id, Request request) { requests.emplace(id, std::move(request)); }
  void OnCallerGone(RequestId id) { gone.push_back(id); }

  std::map<RequestId, Request> requests;
  std::vector<RequestId> gone;
};

struct Fixture {
  Fixture()
      : budget(std::make_shared<ByteBudget>(kBudgetBytes)), server(context, kLoopback, recorder) {
    server.SetBudget(budget);
  }

  bool RunUntil(const std::function<bool()>& condition) { return RunContext(context, condition); }
  /// Sends all of `bytes`, while the server runs.
  void SendAll(LoopbackSocket& caller, const std::string& bytes) {
    std::size_t sent = 0;
    const bool is_sent = RunUntil([&] {
      sent += caller.SendSome(bytes.substr(sent));
      return sent == bytes.size() || caller.HasFailed();
    });
    REQUIRE(is_sent);
    RunBriefly(context);
  }
  /// A caller whose body lacks its last byte.
  std::unique_ptr<LoopbackSocket> SendUnfinished(std::size_t bytes) {
    auto caller = std::make_unique<LoopbackSocket>(server.port());
    SendAll(*caller, kPost + ("Content-Length: " + std::to_string(bytes + 1)) + "\r\n\r\n" +
                         std::string(bytes, 'a'));
    return caller;
  }

  boost::asio::io_context context;
  std::shared_ptr<ByteBudget> budget;
  Recorder recorder;
  Server<Recorder> server;
};

}  // namespace

TEST_CASE("Without room for another body, the largest unfinished one is refused as not run") {
  Fixture fixture;
  const auto large = fixture.SendUnfinished(300 * kKib);
  const auto small = fixture.SendUnfinished(32 * kKib);
  const auto second = fixture.SendUnfinished(120 * kKib);
  REQUIRE(fixture.RunUntil([&] { return large->IsClosed(); }));
  REQUIRE(large->Received().starts_with("HTTP/1.1 503"));
  REQUIRE(large->Received().find("Retry-After: 1\r\n") != std::string::npos);
  REQUIRE(small->Received().empty());
  REQUIRE(second->Received().empty());
  REQUIRE(fixture.recorder.requests.empty());
  REQUIRE(fixture.server.counts().requests_without_memory == 1);
  for (LoopbackSocket* it : {small.get(), second.get()}) it->Send("a");
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 2; }));
}

// Guards against a refusal that no request has asked for, which the caller would take for the
// answer to its next request.
TEST_CASE("An idle connection whose last head came in parts is sent nothing when memory is short") {
  Fixture fixture;
  LoopbackSocket idle(fixture.server.port());
  const std::string head = "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(10 * kKib, 'a');
  fixture.SendAll(idle, head);
  fixture.SendAll(idle, "\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return !fixture.recorder.requests.empty(); }));
  fixture.server.Reply(fixture.recorder.requests.begin()->first, {.body = "done"});
  REQUIRE(fixture.RunUntil([&] { return idle.Received().ends_with("done"); }));
  const std::string received = idle.Received();
  // Connections that have been quiet for a second lose their memory first.
  const base::Instant quiet_at = Now() + Duration::Milliseconds(1100);
  REQUIRE(fixture.RunUntil([&] { return Now() > quiet_at; }));
  std::array<std::unique_ptr<LoopbackSocket>, 6> others;
  for (auto& it : others) it = fixture.SendUnfinished(100 * kKib);
  REQUIRE(fixture.RunUntil([&] { return fixture.server.counts().requests_without_memory > 0; }));
  RunBriefly(fixture.context);
  REQUIRE(idle.Received() == received);
}

TEST_CASE("Requests that wait for their answer leave memory for small ones") {
  Fixture fixture;
  // Each takes twice its body, and large requests may not take the last quarter of the budget.
  std::vector<std::unique_ptr<LoopbackSocket>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(fixture.SendUnfinished(80 * kKib));
    callers.back()->SendSome("a");
    RunBriefly(fixture.context);
  }
  const std::size_t dispatched = fixture.recorder.requests.size();
  REQUIRE(dispatched >= 1);
  REQUIRE(dispatched < callers.size());
  REQUIRE(fixture.budget->used() <= kBudgetBytes);
  LoopbackSocket ordinary(fixture.server.port());
  ordinary.Send(kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() > dispatched; }));
  for (auto& it : callers) it->Close();
  ordinary.Close();
  REQUIRE(fixture.RunUntil([&] { return fixture.server.connections() == 0; }));
  REQUIRE(fixture.budget->used() == 0);
}

TEST_CASE("A caller that does not take its response loses it to one that needs the memory") {
  Fixture fixture;
  LoopbackSocket slow(fixture.server.port());
  slow.SetReceiveBuffer(4096);
  // The kernel takes the first part of the responses; the rest exceeds the budget.
  constexpr RequestId kRequests = 30;
  for (RequestId id = 1; id <= kRequests; ++id) {
    slow.SendSome(kGet);
    RunBriefly(fixture.context);
    fixture.server.Reply(id, {.body = std::string(300 * kKib, 'a')});
    REQUIRE(fixture.budget->used() <= kBudgetBytes);
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.server.connections() == 0; }));
  REQUIRE(fixture.server.counts().responses_without_memory == 1);
  REQUIRE(fixture.budget->used() == 0);
}

TEST_CASE("Trailers and chunk extensions above the limit on headers are rejected with 431") {
  for (const std::string part : {"2\r\nab\r\n0\r\nName: ", "2;name="}) {
    INFO(part);
    Fixture fixture;
    fixture.server.SetLimits({.header_bytes = 512});
    LoopbackSocket caller(fixture.server.port());
    caller.Send(kPost + ("Transfer-Encoding: chunked\r\n\r\n" + part) + std::string(600, 'a'));
    REQUIRE(fixture.RunUntil([&] { return caller.IsClosed(); }));
    REQUIRE(caller.Received().starts_with("HTTP/1.1 431"));
    REQUIRE(fixture.recorder.requests.empty());
    REQUIRE(fixture.server.counts().oversized_headers == 1);
  }
}

TEST_CASE("Trailers within the limit on headers do not harm the request") {
  Fixture fixture;
  LoopbackSocket caller(fixture.server.port());
  caller.Send(kPost + std::string("Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nA: b"));
  RunBriefly(fixture.context);
  caller.Send("\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 1; }));
  REQUIRE(fixture.recorder.requests[1].body == "ab");
}

TEST_CASE("A body that keeps arriving slowly is rejected with 408 at its time limit") {
  Fixture fixture;
  fixture.server.SetLimits({.request_time = Duration::Milliseconds(400)});
  LoopbackSocket caller(fixture.server.port());
  caller.Send(kPost + std::string("Content-Length: 1000\r\n\r\n"));
  const bool is_closed = fixture.RunUntil([&] {
    caller.SendSome("a");
    return caller.IsClosed();
  });
  REQUIRE(is_closed);
  REQUIRE(caller.Received().starts_with("HTTP/1.1 408"));
  REQUIRE(fixture.recorder.requests.empty());
}

TEST_CASE("A connection whose caller takes no byte of a response is closed") {
  Fixture fixture;
  fixture.server.SetBudget(nullptr);
  fixture.server.SetLimits({.write_time = Duration::Milliseconds(300)});
  LoopbackSocket caller(fixture.server.port());
  caller.SetReceiveBuffer(4096);
  caller.Send(kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 1; }));
  fixture.server.Reply(1, {.body = std::string(16 * kKib * kKib, 'a')});
  REQUIRE(fixture.RunUntil([&] { return fixture.server.connections() == 0; }));
  REQUIRE(fixture.server.counts().stalled_responses == 1);
}

}  // namespace mangonotch::http1
