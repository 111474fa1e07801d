// Tests ClientConnection against servers in trouble. Guards against bytes that are no complete
// response and reach the caller as one, and against responses that end the process.
#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http1/tests/client_fixture.h"
#include "http1/tests/malformed_heads.h"

namespace mangonotch::http1 {
namespace {

/// Heads of responses whose bodies end with the connection.
constexpr std::array<const char*, 3> kHeadsWithoutLength = {
    "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n"};

/// Carries one exchange, after which the connection is kept.
void UseOnce(ClientFixture& fixture) {
  fixture.Exchange();
  fixture.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(fixture.RunUntilDone());
  REQUIRE(fixture.connection->is_reusable());
}

/// Checks that a server which sends `bytes` and closes has sent no response.
void CheckIsBroken(const std::string& bytes) {
  ClientFixture fixture;
  fixture.Exchange();
  fixture.Server().Send(bytes);
  fixture.server->Close();
  REQUIRE(fixture.RunUntilDone());
  CHECK(fixture.result->error == ExchangeError::kBroken);
}

}  // namespace

// Guards against a server that responds to a long upload at once, without a length, and resets the
// connection while the upload is still being written: the caller got the part that had arrived as a
// complete response.
TEST_CASE("A response without a length that is reset during the upload is not complete") {
  for (const char* const head : kHeadsWithoutLength) {
    for (const bool is_kept : {false, true}) {
      for (const bool is_read_before_reset : {false, true}) {
        CAPTURE(head, is_kept, is_read_before_reset);
        ClientFixture fixture;
        if (is_kept) UseOnce(fixture);
        LoopbackSocket& server = fixture.StartUpload();
        server.Send(std::string(head) + "part");
        if (is_read_before_reset) RunBriefly(fixture.context);
        REQUIRE_FALSE(fixture.result);
        server.Reset();
        REQUIRE(fixture.RunUntilDone());
        CHECK(fixture.result->error == ExchangeError::kBroken);
        CHECK(fixture.result->response.body.empty());
      }
    }
  }
}

// Guards against the same from a server that neither reads the upload nor resets the connection:
// the kernel gives the connection up.
TEST_CASE("A response without a length from a server that stalls the upload is not complete") {
  for (const char* const head : kHeadsWithoutLength) {
    CAPTURE(head);
    ClientLimits limits = kClientLimits;
    limits.unacknowledged_time = base::Duration::Milliseconds(300);
    ClientFixture fixture(limits);
    fixture.StartUpload().Send(std::string(head) + "part");
    REQUIRE(fixture.RunUntilDone());
    CHECK(fixture.result->error == ExchangeError::kBroken);
    // The server was last heard of some time ago.
    CHECK(Now() - fixture.result->last_contact >= limits.unacknowledged_time);
  }
}

// Guards against losing responses together with the broken ones: a server need not read an upload
// to its end, and what it has sent before it ends its side in order is complete.
TEST_CASE("A response without a length that ends in order during the upload is complete") {
  for (const char* const head : kHeadsWithoutLength) {
    for (const bool is_reset_afterwards : {false, true}) {
      CAPTURE(head, is_reset_afterwards);
      ClientFixture fixture;
      LoopbackSocket& server = fixture.StartUpload();
      server.Send(std::string(head) + "whole");
      server.ShutDownSending();
      if (is_reset_afterwards) server.Reset();
      REQUIRE(fixture.RunUntilDone());
      CHECK(fixture.result->error == ExchangeError::kNone);
      CHECK(fixture.result->response.body == "whole");
    }
  }
}

// Guards against the same with a length or in chunks, which say themselves whether they are
// complete.
TEST_CASE("A reset during the upload cuts no framed response that is complete, and no other one") {
  const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n";
  for (const std::string& start : {length, chunked}) {
    const std::string end = start == chunked ? "\r\n0\r\n\r\n" : "";
    for (const bool is_complete : {false, true}) {
      CAPTURE(start, is_complete);
      ClientFixture fixture;
      LoopbackSocket& server = fixture.StartUpload();
      const std::string sent = is_complete ? "whole" + end : "part";
      server.Send(start + sent);
      server.Reset();
      REQUIRE(fixture.RunUntilDone());
      CHECK((fixture.result->error == ExchangeError::kNone) == is_complete);
      CHECK(fixture.result->response.body == (is_complete ? "whole" : ""));
      CHECK_FALSE(fixture.connection->is_reusable());
    }
  }
}

// Guards against a server whose announcement alone made the process allocate more than there is, or
// passed over the limit: with the head in one segment came a part of the body.
TEST_CASE("A response that announces more than the limit ends the exchange, whatever follows") {
  ClientLimits limits = kClientLimits;
  limits.body_bytes = 1000;
  for (const char* const length : {"1001", "99999999999", "1000000000000", "9223372036854775808",
                                   "18446744073709551615", "18446744073709551616"}) {
    for (const std::string& body : {std::string(), std::string("a"), std::string(1001, 'a')}) {
      CAPTURE(length, body.size());
      ClientFixture fixture(limits);
      fixture.Exchange();
      fixture.Server().Send(std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length +
                            "\r\n\r\n" + body);
      REQUIRE(fixture.RunUntilDone());
      CHECK(fixture.result->error == ExchangeError::kBroken);
      CHECK(fixture.server->IsClosed());
    }
  }
  ClientFixture fixture(limits);
  fixture.Exchange();
  fixture.Server().Send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'a'));
  REQUIRE(fixture.RunUntilDone());
  CHECK(fixture.result->error == ExchangeError::kNone);
}

// Guards against a server in trouble whose head has a line that is none: the caller got that line,
// or a body that was not the server's.
TEST_CASE("A response with a blank or a control byte in the name of a field is none") {
  for (const std::string& name : MalformedNames()) {
    for (const std::string& bytes : ResponsesWith(name + ": 2\r\n")) {
      CAPTURE(bytes);
      CheckIsBroken(bytes);
    }
  }
}

// Guards against a body that callers got in a coding that the head they got did not name.
TEST_CASE("A response in a transfer coding other than chunked is none") {
  for (const char* const codings :
       {"gzip", "gzip, chunked", "chunked, gzip", "identity", "chunked, chunked", "xchunked", ""}) {
    CAPTURE(codings);
    CheckIsBroken(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") + codings +
                  "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  }
  CheckIsBroken(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n0\r\n\r\n");
  CheckIsBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok");
}

}  // namespace mangonotch::http1
