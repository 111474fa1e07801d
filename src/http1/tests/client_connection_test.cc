// Tests ClientConnection against servers that truncate responses, send extra data, close and reset.
// Guards against delivering a response to the wrong request and accepting an incomplete response as
// complete.
#include "http1/client_connection.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "http1/tests/client_fixture.h"

namespace mangonotch::http1 {
namespace {

/// Whether the kernel has a keep-alive timer for the connection to the local port `server_port`.
bool HasProbeTimer(std::uint16_t server_port) {
  constexpr std::string_view kKeepAliveTimer = "02";
  char address[16];
  std::snprintf(address, sizeof(address), "0100007F:%04X", server_port);
  std::ifstream connections("/proc/net/tcp");
  std::string line;
  while (std::getline(connections, line)) {
    std::istringstream fields(line);
    std::string slot, local, remote, state, queues, timer;
    fields >> slot >> local >> remote >> state >> queues >> timer;
    if (remote == address && timer.starts_with(kKeepAliveTimer)) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("A connection that waits for a late answer is probed, so that a silent one is detected") {
  ClientLimits limits = kClientLimits;
  limits.probes_silence = true;
  ClientFixture fixture(limits);
  fixture.Exchange();
  fixture.Server();
  const std::uint16_t port = fixture.acceptor.local_endpoint().port();
  REQUIRE(RunContext(fixture.context, [&] { return HasProbeTimer(port); }));
}

TEST_CASE("A complete response is delivered and the connection stays reusable") {
  ClientFixture fixture;
  fixture.Exchange();
  fixture.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nab");
  REQUIRE(fixture.RunUntilDone());
  REQUIRE(fixture.result->error == ExchangeError::kNone);
  REQUIRE(fixture.result->response.body == "ab");
  REQUIRE(fixture.connection->is_reusable());
  const auto left = fixture.connection->usable_until() - Now();
  REQUIRE(left > base::Duration::Seconds(3));
  REQUIRE(left < base::Duration::Seconds(6));
}

TEST_CASE("A truncated or reset response is an error, with every kind of framing") {
  for (const char* part : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                           "HTTP/1.1 200 OK\r\nConte", ""}) {
    for (const bool is_reset : {false, true}) {
      INFO(part << is_reset);
      ClientFixture fixture;
      fixture.Exchange();
      fixture.Server().Send(part);
      is_reset ? fixture.server->Reset() : fixture.server->Close();
      REQUIRE(fixture.RunUntilDone());
      REQUIRE(fixture.result->error == ExchangeError::kBroken);
      REQUIRE_FALSE(fixture.connection->is_reusable());
    }
  }
}

// Guards against a server that stops in the middle of its response's head, also between two lines
// of it, and closes: the caller got a success with an empty or short body.
TEST_CASE("A response that breaks off at any byte is never complete") {
  for (const std::string whole :
       {"HTTP/1.1 200 OK\r\nId: x\r\nX: y\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}) {
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
      CAPTURE(whole, cut);
      ClientFixture fixture;
      fixture.Exchange();
      // In two segments, so that the first is parsed before the second arrives.
      fixture.Server().Send(whole.substr(0, cut / 2));
      RunBriefly(fixture.context);
      fixture.server->Send(whole.substr(cut / 2, cut - cut / 2));
      fixture.server->Close();
      REQUIRE(fixture.RunUntilDone());
      REQUIRE(fixture.result->error == ExchangeError::kBroken);
    }
  }
}

TEST_CASE("A response without a length ends at the close of the connection, but not at a reset") {
  for (const bool is_reset : {false, true}) {
    ClientFixture fixture;
    fixture.Exchange();
    fixture.Server().Send("HTTP/1.1 200 OK\r\n\r\nabc");
    RunBriefly(fixture.context);
    is_reset ? fixture.server->Reset() : fixture.server->Close();
    REQUIRE(fixture.RunUntilDone());
    REQUIRE((fixture.result->error == ExchangeError::kNone) == !is_reset);
    if (!is_reset) REQUIRE(fixture.result->response.body == "abc");
    REQUIRE_FALSE(fixture.connection->is_reusable());
  }
}

TEST_CASE("Interim responses and a response to another request are discarded") {
  ClientFixture fixture;
  fixture.Exchange();
  fixture.Server().Send(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"
      "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 1\r\n\r\ny");
  REQUIRE(fixture.RunUntilDone());
  REQUIRE(fixture.result->response.body == "y");
}

TEST_CASE("Data after a response or on an idle connection closes the connection") {
  ClientFixture trailing;
  trailing.Exchange();
  trailing.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n");
  REQUIRE(trailing.RunUntilDone());
  REQUIRE(trailing.result->response.body == "x");
  REQUIRE_FALSE(trailing.connection->is_reusable());

  ClientFixture idle;
  idle.Exchange();
  idle.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(idle.RunUntilDone());
  // A connection pool sets this callback to remove closed connections.
  bool has_ended = false;
  idle.connection->set_on_idle_end([&] { has_ended = true; });
  idle.server->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(RunContext(idle.context, [&] { return has_ended; }));
  REQUIRE_FALSE(idle.connection->is_reusable());
}

// Guards against a target that makes a host run out of memory or keeps it busy until the deadline.
TEST_CASE("Bytes without end are cut off, whatever part of a response they are in") {
  const std::string line(1000, 'a');
  const std::string mismatch = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n";
  const std::pair<std::string, std::string> parts[] = {
      {"", line},
      {"HTTP/1.1 200 ", line},
      {"HTTP/1.1 200 OK\r\n", "Name: " + line + "\r\n"},
      {"HTTP/1.1 200 OK\r\nName: ", line},
      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"", mismatch},
      {"HTTP/1.1 200 OK\r\n\r\n", line},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", line},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", line},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: " + line + "\r\n"}};
  constexpr std::size_t kMaxBytes = std::size_t{1024} * 1024;
  for (const auto& [start, repeated] : parts) {
    INFO(start << "..." << repeated.substr(0, 40));
    ClientLimits limits = kClientLimits;
    limits.body_bytes = kMaxBytes / 2;
    ClientFixture fixture(limits);
    fixture.Exchange();
    fixture.Server().Send(start.empty() ? repeated : start);
    std::string block;
    while (block.size() < 4096) block += repeated;
    std::size_t sent = 0;
    const bool has_ended = RunContext(fixture.context, [&] {
      if (!fixture.result && sent < kMaxBytes) sent += fixture.server->SendSome(block);
      return fixture.result.has_value();
    });
    REQUIRE(has_ended);
    REQUIRE(fixture.result->error == ExchangeError::kBroken);
    REQUIRE(fixture.server->IsClosed());
  }
}

TEST_CASE("Bodies without end from several servers stay within their budget, small ones pass") {
  constexpr std::size_t kConnections = 8;
  constexpr std::size_t kBudget = std::size_t{256} * 1024;
  const auto budget = std::make_shared<ByteBudget>(kBudget);
  ClientLimits limits = kClientLimits;
  limits.unreserved_body_bytes = std::size_t{16} * 1024;
  std::vector<std::unique_ptr<ClientFixture>> fixtures;
  for (std::size_t i = 0; i < kConnections; ++i) {
    fixtures.push_back(std::make_unique<ClientFixture>(limits, budget));
    fixtures.back()->Exchange();
    fixtures.back()->Server().Send("HTTP/1.1 200 OK\r\n\r\n");
  }
  ClientFixture small(limits, budget);
  small.Exchange();
  LoopbackSocket& small_server = small.Server();
  const std::string block(4096, 'a');
  const auto all_ended = [&] {
    return std::all_of(fixtures.begin(), fixtures.end(),
                       [](const auto& it) { return it->result.has_value(); });
  };
  std::size_t most_used = 0;
  for (int round = 0; round < 2000 && !all_ended(); ++round) {
    for (const auto& it : fixtures) {
      if (!it->result) it->server->SendSome(block);
      it->context.restart();
      it->context.poll();
      most_used = std::max(most_used, budget->used());
    }
  }
  REQUIRE(all_ended());
  REQUIRE(most_used > 0);
  REQUIRE(most_used <= kBudget);
  REQUIRE(budget->used() == 0);
  small_server.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  REQUIRE(small.RunUntilDone());
  REQUIRE(small.result->error == ExchangeError::kNone);
}

// Guards against a failing server whose status 000 was passed on to the caller as an answer.
TEST_CASE("A status outside 100 to 599 is no response") {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    for (const char* rest :
         {" OK\r\nContent-Length: 2\r\n\r\nab", "\r\nContent-Length: 0\r\n\r\n"}) {
      CAPTURE(status, rest);
      ClientFixture fixture;
      fixture.Exchange();
      fixture.Server().Send(std::string("HTTP/1.1 ") + status + rest);
      REQUIRE(fixture.RunUntilDone());
      REQUIRE(fixture.result->error == ExchangeError::kBroken);
      REQUIRE(fixture.server->IsClosed());
    }
  }
  for (const char* status : {"200", "599"}) {
    CAPTURE(status);
    ClientFixture fixture;
    fixture.Exchange();
    fixture.Server().Send(std::string("HTTP/1.1 ") + status +
                          " Any\r\nContent-Length: 2\r\n\r\nab");
    REQUIRE(fixture.RunUntilDone());
    REQUIRE(fixture.result->error == ExchangeError::kNone);
  }
}

TEST_CASE("Data that is not an HTTP response is an error") {
  ClientFixture fixture;
  fixture.Exchange();
  fixture.Server().Send("\x16\x03\x01 nothing\r\n\r\n");
  REQUIRE(fixture.RunUntilDone());
  REQUIRE(fixture.result->error == ExchangeError::kBroken);
}

// After kNotSent even a non-idempotent request is retried at another target, so the request must
// not have reached the server.
TEST_CASE("A refused connection is reported as not sent") {
  ClientFixture fixture;
  const std::uint16_t port = fixture.acceptor.local_endpoint().port();
  fixture.acceptor.close();
  std::optional<ExchangeResult> result;
  fixture.connection->Exchange(
      LoopbackAt(port), "GET / HTTP/1.1\r\n\r\n", false, [](const Response&) { return true; },
      [&](ExchangeResult it) { result = std::move(it); });
  REQUIRE(RunContext(fixture.context, [&] { return result.has_value(); }));
  REQUIRE(result->error == ExchangeError::kNotSent);
}

TEST_CASE("The close of an idle connection is detected") {
  ClientFixture fixture;
  fixture.Exchange();
  fixture.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(fixture.RunUntilDone());
  fixture.server->Close();
  REQUIRE(RunContext(fixture.context, [&] { return !fixture.connection->is_reusable(); }));
}

}  // namespace mangonotch::http1
