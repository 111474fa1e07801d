// Plays callers against the server over loopback: pipelining, odd framing, limits and closes.
#include "http1/server.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <thread>

#include "http1/clock.h"
#include "http1/tests/loopback.h"

namespace mangonotch::http1 {
namespace {

/// Keeps requests until the test answers them.
struct Recorder {
  void OnRequest(RequestId id, Request request) { requests.emplace(id, std::move(request)); }
  void OnCallerGone(RequestId id) { gone.push_back(id); }

  std::map<RequestId, Request> requests;
  std::vector<RequestId> gone;
};

struct Fixture {
  Fixture() : server(context, kLoopback, recorder) {}

  /// Runs the server until `condition` holds, for two seconds at most.
  bool RunUntil(const std::function<bool()>& condition) { return RunContext(context, condition); }

  boost::asio::io_context context;
  Recorder recorder;
  Server<Recorder> server;
};

constexpr const char* kGet = "GET /one HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_CASE("Pipelined requests are answered in their order, whatever the order of replies") {
  Fixture fixture;
  LoopbackSocket caller(fixture.server.port());
  caller.Send(std::string(kGet) + "GET /two HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 2; }));
  fixture.server.Reply(2, {.body = "second"});
  fixture.server.Reply(1, {.body = "first"});
  REQUIRE(fixture.RunUntil([&] { return caller.Received().find("second") != std::string::npos; }));
  REQUIRE(caller.Received().find("first") < caller.Received().find("second"));
}

TEST_CASE("A body may come with a length, in chunks, and in pieces") {
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

// Two ways to tell the end of a request let one be smuggled inside another.
TEST_CASE(
    "A request with two kinds of framing, or none that can be read, is refused and not passed on") {
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

TEST_CASE("Headers and bodies beyond the limits are refused with their status") {
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

TEST_CASE("The handler learns at once that a caller has left") {
  Fixture fixture;
  {
    LoopbackSocket caller(fixture.server.port());
    caller.Send(kGet);
    REQUIRE(fixture.RunUntil([&] { return fixture.recorder.requests.size() == 1; }));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.recorder.gone == std::vector<RequestId>{1}; }));
  fixture.server.Reply(1, {.body = "late"});
}

TEST_CASE("A caller that is slow with its headers, or idle, is closed") {
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

TEST_CASE("A draining server finishes what is under way and closes with the answer") {
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

TEST_CASE("An answer to HEAD has the length and no body; 100-continue is answered") {
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
