// Guards against answers that are not whole or not to this request, and against requests that are
// sent twice.
#include "http/client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <string>

#include "http/server.h"
#include "http/tests/client_calls.h"

namespace mangonotch::http {
namespace {

ExecuteOptions KeptAlive() {
  ExecuteOptions options;
  options.connection = ConnectionUse::kKeptAlive;
  return options;
}

}  // namespace

TEST_CASE("Whole answers are returned") {
  CHECK(Answered(kOk).response.body == "ok");
  const auto chunked = Answered(
      "HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
      "5\r\nhello\r\n1\r\n!\r\n0\r\nA: c\r\nTrailer-Only: d\r\n\r\n");
  CHECK(chunked.response.status == 404);
  CHECK(chunked.response.body == "hello!");
  // A trailer field must not replace or add to the header, which the outcome is read from.
  CHECK(chunked.response.headers.Find("A") == "b");
  CHECK_FALSE(chunked.response.headers.Find("Trailer-Only"));
  CHECK(Answered("HTTP/1.1 204 No Content\r\n\r\n").response.status == 204);
  CHECK(Answered("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", {"HEAD", "/", {}, ""})
            .response.headers.Find("Content-Length") == "7");
}

TEST_CASE("Interim answers are skipped and not taken for the answer") {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const auto outcome = Answered("HTTP/1.1 100 Continue\r\n\r\n" + interim + kOk);
  CHECK(outcome.response.status == 200);
  CHECK(outcome.response.body == "ok");
  CHECK_FALSE(outcome.response.headers.Find("Link"));
}

TEST_CASE("An answer that is not provably whole is refused") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, Failure>> cases = {
      {"", Failure::kCutOff},
      {"HTTP/1.1 200", Failure::kCutOff},
      {head + "Content-Length: 5\r\n", Failure::kCutOff},
      {head + "Content-Length: 5\r\n\r\nabcd", Failure::kCutOff},
      {chunked, Failure::kCutOff},
      {chunked + "5\r\nhello\r\n", Failure::kCutOff},
      {chunked + "5\r\nhello\r\n5\r\nwo", Failure::kCutOff},
      {chunked + "5\r\nhello\r\n0\r\n", Failure::kCutOff},
      {"HTTP/1.1 100 Continue\r\n\r\n", Failure::kCutOff},
      {head + "\r\nhello", Failure::kUnprovableLength},
      {head + "Connection: close\r\n\r\nhello", Failure::kUnprovableLength},
      {"HTTP/1.0 200 OK\r\n\r\nhello", Failure::kUnprovableLength},
      {head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", Failure::kMalformed},
      {head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       Failure::kMalformed},
      {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", Failure::kMalformed},
      {head + "Content-Length: -1\r\n\r\nab", Failure::kMalformed},
      {chunked + "zz\r\nhello\r\n0\r\n\r\n", Failure::kMalformed},
      {"garbage\r\n\r\n", Failure::kMalformed},
      {"HTTP/1.1 101 Switching Protocols\r\n\r\n", Failure::kMalformed},
  };
  for (const auto& [bytes, failure] : cases) {
    INFO(bytes);
    const auto outcome = Answered(bytes);
    REQUIRE(outcome.failure);
    CHECK(Name(*outcome.failure) == Name(failure));
    CHECK(outcome.bytes_written);
  }
}

TEST_CASE("Answers over the limits are refused and not kept in memory") {
  ExecuteOptions options;
  options.max_body_bytes = 4;
  options.max_header_bytes = 200;
  const std::string chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\n";
  CHECK(Answered("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", Get(), options).failure ==
        Failure::kTooLarge);
  CHECK(Answered(chunks + "def\r\n0\r\n\r\n", Get(), options).failure == Failure::kTooLarge);
  CHECK(Answered("HTTP/1.1 200 OK\r\nA: " + std::string(300, 'a') + "\r\n\r\n", Get(), options)
            .failure == Failure::kTooLarge);
}

TEST_CASE("A POST is sent once when the target closes after reading it or never answers") {
  for (const bool close_after_read : {true, false}) {
    for (const bool kept : {false, true}) {
      std::atomic<int> posts = 0;
      RawTarget target([&](RawConnection& connection, int number) {
        if (kept && number == 0) {
          connection.ReadUntil("\r\n\r\n");
          connection.Write(kOk);
        }
        posts += connection.ReadUntil("claim").empty() ? 0 : 1;
        if (!close_after_read) {
          connection.Ended();
        }
      });
      Client client;
      const ExecuteOptions options = kept ? KeptAlive() : ExecuteOptions();
      if (kept) {
        REQUIRE(Call(client, target.port(), Get(), kLongMs, options).response.body == "ok");
      }
      const auto outcome =
          Call(client, target.port(), Post(), close_after_read ? kLongMs : kShortMs, options);
      CHECK(outcome.failure == (close_after_read
                                    ? (kept ? Failure::kStaleConnection : Failure::kCutOff)
                                    : Failure::kTimeout));
      CHECK(outcome.bytes_written);
      CHECK(posts == 1);
      CHECK(target.connections() == 1);
    }
  }
}

TEST_CASE("A failure before the first byte says that nothing was written") {
  Client client;
  std::uint16_t port = 0;
  {
    RawTarget target([](RawConnection&, int) {});
    port = target.port();
  }
  const auto refused = Call(client, port, Post());
  CHECK(refused.failure == Failure::kConnectRefused);
  CHECK_FALSE(refused.bytes_written);

  std::atomic<std::size_t> read = 0;
  RawTarget target([&](RawConnection& connection, int) { read += connection.ReadToEnd().size(); });
  ExecuteOptions veto;
  veto.before_write = [] { return false; };
  const auto vetoed = Call(client, target.port(), Post(), kLongMs, veto);
  CHECK(vetoed.failure == Failure::kVetoed);
  CHECK_FALSE(vetoed.bytes_written);

  // A process that is paused between its connect and its write finds the deadline passed.
  ExecuteOptions paused;
  paused.before_write = [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(2 * kShortMs));
    return true;
  };
  const auto late = Call(client, target.port(), Post(), kShortMs, paused);
  CHECK(late.failure == Failure::kTimeout);
  CHECK_FALSE(late.bytes_written);
  CHECK(read == 0);
}

TEST_CASE("A target that accepts nothing ends the call at the connect deadline") {
  // With a backlog of 0 the kernel takes one connection and drops the handshakes of the next ones.
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in addr = Loopback(0);
  socklen_t n = sizeof addr;
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&addr), sizeof addr) == 0);
  REQUIRE(listen(fd, 0) == 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&addr), &n);
  const std::uint16_t port = ntohs(addr.sin_port);
  const RawConnection first = RawConnection::To(port);
  Client client;
  ExecuteOptions options;
  options.connect_deadline = In(kShortMs);
  const base::Instant end_of_call = In(kLongMs);
  const auto outcome = Call(client, port, Post(), kLongMs, options);
  close(fd);
  CHECK(Now() < end_of_call);
  CHECK(outcome.failure == Failure::kConnectTimeout);
  CHECK_FALSE(outcome.bytes_written);
}

TEST_CASE("A call is cancelled when its caller has gone or no longer wants it") {
  std::promise<void> closed;
  RawTarget target([&](RawConnection& connection, int number) {
    connection.ReadUntil("\r\n\r\n");
    CHECK(connection.Ended());
    if (number == 1) {
      closed.set_value();
    }
  });
  Client client;
  int pair[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair) == 0);
  close(pair[1]);
  ExecuteOptions by_socket;
  by_socket.cancel_socket = pair[0];
  CHECK(Call(client, target.port(), Get(), kLongMs, by_socket).failure == Failure::kCancelled);
  close(pair[0]);
  ExecuteOptions by_predicate;
  by_predicate.cancelled = [n = 0]() mutable { return ++n > 3; };
  CHECK(Call(client, target.port(), Get(), kLongMs, by_predicate).failure == Failure::kCancelled);
  CHECK(closed.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
}

TEST_CASE("A kept connection is used again, but not one that has ended or speaks unasked") {
  for (const std::string after : {"", "HTTP/1.1 408 Request Timeout\r\n\r\n"}) {
    std::promise<void> spoilt;
    RawTarget target([&](RawConnection& connection, int number) {
      connection.ReadUntil("\r\n\r\n");
      connection.Write(kOk);
      if (number == 0) {
        connection.ReadUntil("\r\n\r\n");
        connection.Write(kOk);
        connection.Write(after);
        connection.Close();
        spoilt.set_value();
      }
    });
    Client client;
    for (int i = 0; i < 2; ++i) {
      CHECK(Call(client, target.port(), Get(), kLongMs, KeptAlive()).response.body == "ok");
    }
    CHECK(target.connections() == 1);
    spoilt.get_future().wait();
    CHECK(Call(client, target.port(), Get(), kLongMs, KeptAlive()).response.body == "ok");
    CHECK(target.connections() == 2);
  }
}

TEST_CASE(
    "A time-out notice on a kept connection is not taken for the answer to the next request") {
  RawTarget target([](RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    connection.Write(kOk);
    connection.ReadUntil("\r\n\r\n");
    connection.Write("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
  });
  Client client;
  CHECK(Call(client, target.port(), Get(), kLongMs, KeptAlive()).response.body == "ok");
  CHECK(Call(client, target.port(), Get(), kLongMs, KeptAlive()).failure ==
        Failure::kStaleConnection);
}

TEST_CASE("A request that cannot be written safely is not sent") {
  Client client;
  const auto send = [&](const ClientRequest& request) {
    return client.Execute({"127.0.0.1", 1}, request, In(kLongMs));
  };
  const HeaderView split[] = {{"A", "x\r\nB: y"}};
  const HeaderView length[] = {{"content-length", "3"}};
  const HeaderView coding[] = {{"Transfer-Encoding", "chunked"}};
  CHECK_THROWS_AS(send({"GET", "/", split, ""}), std::invalid_argument);
  CHECK_THROWS_AS(send({"GET", "/", length, ""}), std::invalid_argument);
  CHECK_THROWS_AS(send({"GET", "/", coding, ""}), std::invalid_argument);
  CHECK_THROWS_AS(send({"GET", "/a b", {}, ""}), std::invalid_argument);
  CHECK_THROWS_AS(send({"GET", "/a\r\nB: y", {}, ""}), std::invalid_argument);
  CHECK_THROWS_AS(send({"GET /", "/", {}, ""}), std::invalid_argument);
}

TEST_CASE("The client and the server carry a large body both ways") {
  ServerLimits limits;
  limits.body_bytes = 4 << 20;
  Server server("127.0.0.1", 0, limits, [](const Request& request) {
    Response response;
    response.body = request.body;
    response.headers.Add("Seen", request.Header("x-name").value_or(""));
    return response;
  });
  Client client;
  const std::string body(3 << 20, 'b');
  const HeaderView headers[] = {{"X-Name", "value"}};
  ExecuteOptions options;
  options.max_body_bytes = 4 << 20;
  const auto outcome = Call(client, server.port(), {"PUT", "/a", headers, body}, kLongMs, options);
  CHECK(outcome.response.body == body);
  CHECK(outcome.response.headers.Find("seen") == "value");
}

}  // namespace mangonotch::http
