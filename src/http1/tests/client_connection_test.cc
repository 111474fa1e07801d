// Plays servers that break off, add, delay and reset against the client's connection. Guards
// against an answer that reaches the wrong request or looks whole when it is not.
#include "http1/client_connection.h"

#include <catch2/catch.hpp>

#include "http1/tests/loopback.h"

namespace mangonotch::http1 {
namespace {

struct Fixture {
  Fixture()
      : acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
        connection(std::make_shared<ClientConnection>(
            context, ClientLimits{.connect_time = base::Duration::Milliseconds(300)})) {}
  ~Fixture() { connection->Close(); }

  void Exchange() {
    result.reset();
    connection->Exchange(
        LoopbackAt(acceptor.local_endpoint().port()), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false,
        [](const Response& it) { return FindHeader(it.headers, "Id") != "other"; },
        [this](ExchangeResult it) { result = std::move(it); });
  }
  /// The server's end of the connection, once the request has come.
  LoopbackSocket& Server() {
    if (!server) server.emplace(acceptor);
    const bool has_come =
        RunContext(context, [&] { return server->Received().ends_with("\r\n\r\n"); });
    REQUIRE(has_come);
    return *server;
  }
  bool Ends() {
    return RunContext(context, [&] { return result.has_value(); });
  }

  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::shared_ptr<ClientConnection> connection;
  std::optional<LoopbackSocket> server;
  std::optional<ExchangeResult> result;
};

}  // namespace

TEST_CASE("A whole answer is taken and the connection is kept") {
  Fixture fixture;
  fixture.Exchange();
  fixture.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nab");
  REQUIRE(fixture.Ends());
  REQUIRE(fixture.result->error == ExchangeError::kNone);
  REQUIRE(fixture.result->response.body == "ab");
  REQUIRE(fixture.connection->is_reusable());
  const auto left = fixture.connection->usable_until() - Now();
  REQUIRE(left > base::Duration::Seconds(3));
  REQUIRE(left < base::Duration::Seconds(6));
}

TEST_CASE("An answer that is cut or reset is broken, however it is framed") {
  for (const char* part : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                           "HTTP/1.1 200 OK\r\nConte", ""}) {
    for (const bool is_reset : {false, true}) {
      INFO(part << is_reset);
      Fixture fixture;
      fixture.Exchange();
      fixture.Server().Send(part);
      is_reset ? fixture.server->Reset() : fixture.server->Close();
      REQUIRE(fixture.Ends());
      REQUIRE(fixture.result->error == ExchangeError::kBroken);
      REQUIRE_FALSE(fixture.connection->is_reusable());
    }
  }
}

TEST_CASE("An answer without a length ends with its connection, unless that is reset") {
  for (const bool is_reset : {false, true}) {
    Fixture fixture;
    fixture.Exchange();
    fixture.Server().Send("HTTP/1.1 200 OK\r\n\r\nabc");
    RunBriefly(fixture.context);
    is_reset ? fixture.server->Reset() : fixture.server->Close();
    REQUIRE(fixture.Ends());
    REQUIRE((fixture.result->error == ExchangeError::kNone) == !is_reset);
    if (!is_reset) REQUIRE(fixture.result->response.body == "abc");
    REQUIRE_FALSE(fixture.connection->is_reusable());
  }
}

TEST_CASE("An answer to another request and interim answers are thrown away") {
  Fixture fixture;
  fixture.Exchange();
  fixture.Server().Send(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"
      "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 1\r\n\r\ny");
  REQUIRE(fixture.Ends());
  REQUIRE(fixture.result->response.body == "y");
}

TEST_CASE("Bytes behind an answer, or on an idle connection, end the connection") {
  Fixture behind;
  behind.Exchange();
  behind.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n");
  REQUIRE(behind.Ends());
  REQUIRE(behind.result->response.body == "x");
  REQUIRE_FALSE(behind.connection->is_reusable());

  Fixture idle;
  idle.Exchange();
  idle.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(idle.Ends());
  // As the owner of a kept connection does when it waits for its end.
  bool has_ended = false;
  idle.connection->set_on_idle_end([&] { has_ended = true; });
  idle.server->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(RunContext(idle.context, [&] { return has_ended; }));
  REQUIRE_FALSE(idle.connection->is_reusable());
}

TEST_CASE("Bytes that are no answer are broken") {
  Fixture fixture;
  fixture.Exchange();
  fixture.Server().Send("\x16\x03\x01 nothing\r\n\r\n");
  REQUIRE(fixture.Ends());
  REQUIRE(fixture.result->error == ExchangeError::kBroken);
}

// "Not sent" lets a filing go to another target, so it must be certain.
TEST_CASE("Only a connection that was not made proves that nothing was sent") {
  Fixture fixture;
  const std::uint16_t port = fixture.acceptor.local_endpoint().port();
  fixture.acceptor.close();
  std::optional<ExchangeResult> result;
  fixture.connection->Exchange(
      LoopbackAt(port), "GET / HTTP/1.1\r\n\r\n", false, [](const Response&) { return true; },
      [&](ExchangeResult it) { result = std::move(it); });
  REQUIRE(RunContext(fixture.context, [&] { return result.has_value(); }));
  REQUIRE(result->error == ExchangeError::kNotSent);
}

TEST_CASE("The end of an idle connection is noticed") {
  Fixture fixture;
  fixture.Exchange();
  fixture.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(fixture.Ends());
  fixture.server->Close();
  REQUIRE(RunContext(fixture.context, [&] { return !fixture.connection->is_reusable(); }));
}

}  // namespace mangonotch::http1
