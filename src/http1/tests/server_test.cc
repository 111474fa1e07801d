// Tests Server over loopback connections: pipelining, invalid framing, limits and closing.
#include "http1/server.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <thread>

#include "http1/clock.h"
#include "http1/tests/loopback.h"

namespace mangonotch::http1 {
namespace {

/// Stores the requests; the tests reply to them.
struct Recorder {
  void OnRequest(RequestId id, Request request) { requests.emplace(id, std::move(request)); }
  void OnCallerGone(RequestId id) { gone.push_back(id); }

  std::map<RequestId, Request> requests;
  std::vector<RequestId> gone;
};

struct Fixture {
  Fixture() : server(context, kLoopback, recorder) {}

  /// Runs the server until `condition` holds; false when it does not hold within 2 seconds.
  bool RunUntil(const std::function<bool()>& condition) { return RunContext(context, condition); }

  boost::asio::io_context context;
  Recorder recorder;
  Server<Recorder> server;
};

constexpr const char* kGet = "GET /one HTTP/1.1\r\nHost: h\r\n\r\n";

std::size_t CountOf(std::string_view text, std::string_view part) {
  std::size_t n = 0;
  for (std::size_t at = text.find(part); at != std::string_view::npos; ++n) {
    at = text.find(part, at + part.size());
  }
  return n;
}

}  // namespace

TEST_CASE(
    "Responses to pipelined requests are sent in request order, independent of the reply order") {
  Fixture fixture;
  LoopbackSocket caller(fixture.server.port());
  caller.Send(std::string(kGet) + "GET /two HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 2; }));
  fixture.server.Reply(2, {.body = "second"});
  fixture.server.Reply(1, {.body = "first"});
  REQUIRE(fixture.RunUntil([&] { return caller.Received().find("second") != std::string::npos; }));
  REQUIRE(caller.Received().find("first") < caller.Received().find("second"));
}

TEST_CASE("Bodies with a length and chunked bodies are read, also in several segments") {
  Fixture fixture;
  LoopbackSocket caller(fixture.server.port());
  caller.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe");
  RunBriefly(fixture.context);
  REQUIRE(fixture.recorder.requests.empty());
  caller.Send(
      "lloPOST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 2; }));
  REQUIRE(fixture.recorder.requests[1].body == "hello");
  REQUIRE(fixture.recorder.requests[2].body == "ab");
}

// With ambiguous framing, two HTTP implementations can disagree on where a request ends, so that
// one request is smuggled inside another.
TEST_CASE("A request with ambiguous or invalid framing or Host is rejected and not dispatched") {
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::vector<std::string> requests = {
      post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      post + "Content-Length: -3\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
      "GET / HTTP/1.1\r\n\r\n",
      "no request\r\n\r\n"};
  for (const std::string& request : requests) {
    INFO(request);
    Fixture fixture;
    LoopbackSocket caller(fixture.server.port());
    caller.Send(request);
    REQUIRE(fixture.RunUntil([&] { return caller.IsClosed(); }));
    REQUIRE(caller.Received().starts_with("HTTP/1.1 400"));
    REQUIRE(fixture.recorder.requests.empty());
  }
}

TEST_CASE("Headers and bodies above the limits are rejected with 431 and 413") {
  Fixture fixture;
  fixture.server.SetLimits({.header_bytes = 512, .body_bytes = 10});
  LoopbackSocket large_header(fixture.server.port());
  large_header.Send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return large_header.IsClosed(); }));
  REQUIRE(large_header.Received().starts_with("HTTP/1.1 431"));
  LoopbackSocket large_body(fixture.server.port());
  large_body.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return large_body.IsClosed(); }));
  REQUIRE(large_body.Received().starts_with("HTTP/1.1 413"));
}

TEST_CASE("The handler is notified when a caller disconnects before the reply") {
  Fixture fixture;
  {
    LoopbackSocket caller(fixture.server.port());
    caller.Send(kGet);
    REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 1; }));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.gone == std::vector<RequestId>{1}; }));
  fixture.server.Reply(1, {.body = "late"});
}

TEST_CASE("Connections with slow headers and idle connections are closed") {
  Fixture fixture;
  fixture.server.SetLimits({.header_time = base::Duration::Milliseconds(300),
                            .idle_time = base::Duration::Milliseconds(300)});
  LoopbackSocket slow(fixture.server.port());
  slow.Send("GET / HT");
  LoopbackSocket idle(fixture.server.port());
  REQUIRE(fixture.RunUntil([&] { return slow.IsClosed() && idle.IsClosed(); }));
  REQUIRE(slow.Received().starts_with("HTTP/1.1 408"));
  REQUIRE(idle.Received().empty());
}

TEST_CASE("A draining server completes pending requests and closes their connections") {
  Fixture fixture;
  LoopbackSocket busy(fixture.server.port());
  LoopbackSocket idle(fixture.server.port());
  busy.Send(kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 1; }));
  fixture.server.StartDraining();
  REQUIRE(fixture.RunUntil([&] { return idle.IsClosed(); }));
  REQUIRE_FALSE(busy.IsClosed());
  fixture.server.Reply(1, {.body = "done"});
  REQUIRE(fixture.RunUntil([&] { return busy.IsClosed(); }));
  REQUIRE(busy.Received().find("Connection: close\r\n") != std::string::npos);
  REQUIRE(busy.Received().ends_with("done"));
}

// Guards against a planned stop that drops requests which are with a target.
TEST_CASE("A draining server answers every request that it has dispatched before it closes") {
  const std::vector<std::vector<RequestId>> reply_orders = {{1, 2, 3}, {3, 2, 1}, {2, 1, 3}};
  for (const auto& reply_order : reply_orders) {
    Fixture fixture;
    LoopbackSocket caller(fixture.server.port());
    caller.Send(std::string(kGet) + kGet + kGet);
    REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 3; }));
    // This response is ready before the server drains, and waits for the first one.
    if (reply_order.front() != 1) fixture.server.Reply(reply_order.front(), {.body = "early"});
    fixture.server.StartDraining();
    for (const RequestId id : reply_order) fixture.server.Reply(id, {.body = "late"});
    REQUIRE(fixture.RunUntil([&] { return caller.IsClosed(); }));
    INFO(caller.Received());
    REQUIRE(CountOf(caller.Received(), "HTTP/1.1 200") == 3);
    REQUIRE(CountOf(caller.Received(), "Connection: close\r\n") == 1);
    REQUIRE(caller.Received().rfind("Connection: close") > caller.Received().rfind("HTTP/1.1"));
    REQUIRE(fixture.recorder.gone.empty());
  }
}

TEST_CASE("A draining server dispatches no request behind those that are pending") {
  Fixture fixture;
  LoopbackSocket caller(fixture.server.port());
  caller.Send(std::string(kGet) + "GET /half HTTP/1.1\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 1; }));
  fixture.server.StartDraining();
  caller.Send(std::string("Host: h\r\n\r\n") + kGet);
  RunBriefly(fixture.context);
  REQUIRE(fixture.recorder.requests.size() == 1);
  fixture.server.Reply(1, {.body = "last"});
  REQUIRE(fixture.RunUntil([&] { return caller.IsClosed(); }));
  REQUIRE(caller.Received().find("Connection: close\r\n") != std::string::npos);
  REQUIRE(caller.Received().ends_with("last"));
}

// Guards against the same loss when a handler ends the connection with its response.
TEST_CASE("A response that ends the connection is not sent before those to dispatched requests") {
  Fixture fixture;
  LoopbackSocket caller(fixture.server.port());
  caller.Send(std::string(kGet) + kGet);
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 2; }));
  fixture.server.Reply(1, {.body = "first", .keep_alive = false});
  fixture.server.Reply(2, {.body = "second"});
  REQUIRE(fixture.RunUntil([&] { return caller.IsClosed(); }));
  REQUIRE(caller.Received().find("first") != std::string::npos);
  REQUIRE(caller.Received().ends_with("second"));
  REQUIRE(fixture.recorder.gone.empty());
}

TEST_CASE("The response to HEAD has the length but no body; 100-continue is answered") {
  Fixture fixture;
  LoopbackSocket caller(fixture.server.port());
  caller.Send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 1; }));
  fixture.server.Reply(1, {.body = "12345"});
  REQUIRE(fixture.RunUntil([&] { return caller.Received().ends_with("\r\n\r\n"); }));
  REQUIRE(caller.Received().find("Content-Length: 5") != std::string::npos);
  caller.Send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
  REQUIRE(fixture.RunUntil(
      [&] { return caller.Received().find("100 Continue") != std::string::npos; }));
  caller.Send("x");
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 2; }));
}

}  // namespace mangonotch::http1
