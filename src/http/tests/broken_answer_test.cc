// Calls targets in trouble. Guards against bytes that are no whole answer and are returned as one,
// and against calls that keep whatever they are sent.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http/tests/client_calls.h"
#include "http1/tests/malformed_heads.h"

namespace mangonotch::http {
namespace {

/// Checks that the client takes `bytes` for no answer and says why.
void CheckFailure(const std::string& bytes, Failure failure, const ExecuteOptions& options = {}) {
  CAPTURE(bytes.substr(0, 200));
  const auto outcome = Answered(bytes, Get(), options);
  REQUIRE(outcome.failure);
  CHECK(Name(*outcome.failure) == Name(failure));
  CHECK(outcome.bytes_written);
}

std::string WithLength(const std::string& length, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body;
}

}  // namespace

// Guards against a target in trouble whose head has a line that is none: the caller got that line,
// or a body that was not the target's.
TEST_CASE("An answer with a blank or a control byte in the name of a field is none") {
  for (const std::string& name : http1::MalformedNames()) {
    for (const std::string& bytes : http1::ResponsesWith(name + ": 2\r\n")) {
      CheckFailure(bytes, Failure::kMalformed);
    }
  }
}

// Guards against a target's status 000 that callers got as an answer, and that a health check took
// for a target in good health.
TEST_CASE("A status outside 100 to 599 is no answer") {
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    CheckFailure("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok", Failure::kMalformed);
    CheckFailure("HTTP/1.1 " + status + " Odd\r\n\r\n", Failure::kMalformed);
  }
  CHECK(Answered("HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok").response.status == 599);
}

// Guards against a target that makes a call keep bytes without end, until the process has no memory
// left.
TEST_CASE("Bytes without end are cut off, whatever part of an answer they are in") {
  constexpr std::size_t kSentBytes = std::size_t{4} * 1024 * 1024;
  const std::string line(1000, 'a');
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> parts = {
      {"HTTP/1.1 200 ", line},        {ok, "Name: " + line + "\r\n"},
      {ok + "Name: ", line},          {chunked, "3e8\r\n" + line + "\r\n"},
      {chunked + "1;", line},         {chunked + "1;name=", line},
      {chunked + "0;", line},         {chunked + "0\r\n", "Name: " + line + "\r\n"},
      {chunked + "0\r\nName: ", line}};
  ExecuteOptions options;
  options.max_body_bytes = kSentBytes / 4;
  for (const auto& [start, repeated] : parts) {
    std::string bytes = start;
    while (bytes.size() < kSentBytes) bytes += repeated;
    CheckFailure(bytes, Failure::kTooLarge, options);
  }
}

// Guards against a target that answers a long upload at once, without a length, and resets the
// connection: what arrived is no whole answer.
TEST_CASE("An early answer that is reset during the upload is none") {
  const std::string upload(std::size_t{16} * 1024 * 1024, 'u');
  for (const std::string framing :
       {"", "Connection: close\r\n", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"}) {
    CAPTURE(framing);
    RawTarget target([&](RawConnection& connection, int) {
      connection.ReadUntil("\r\n\r\n");
      connection.Write("HTTP/1.1 200 OK\r\n" + framing + "\r\n4\r\npart");
      connection.Reset();
    });
    Client client;
    const auto outcome = Call(client, target.port(), {"PUT", "/a", {}, upload});
    CHECK(outcome.failure == Failure::kWrite);
    CHECK(outcome.bytes_written);
  }
}

// Guards against a length that makes the call allocate more than there is.
TEST_CASE("An answer that announces more than the limit is refused, whatever follows") {
  for (const std::string length : {"1048577", "99999999999", "1000000000000"}) {
    for (const std::string& body : {std::string(), std::string("a"), std::string(2000, 'a')}) {
      CheckFailure(WithLength(length, body), Failure::kTooLarge);
    }
  }
}

}  // namespace mangonotch::http
