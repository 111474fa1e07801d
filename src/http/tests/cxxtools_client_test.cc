// Records why cxxtools::http::Client does not talk to targets: it repeats requests by itself and
// passes cut answers as whole. When a later cxxtools makes a case here fail, the choice of the
// client can be looked at again. Compiled as C++17, because <cxxtools/net/tcpsocket.h> does not
// compile as C++20.
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include <catch2/catch.hpp>
#include <exception>

#include "http/tests/raw_peer.h"

namespace mangonotch::http {
namespace {

constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

cxxtools::http::Request Post() {
  cxxtools::http::Request request("/file");
  request.method("POST");
  request.body() << "claim";
  return request;
}

/// Answers a first GET on each connection, reads a POST after it, counts it and does not answer it.
class ForgetfulTarget {
 public:
  explicit ForgetfulTarget(bool close_after_read)
      : target_([this, close_after_read](RawConnection& connection, int number) {
          if (number == 0) {
            connection.ReadUntil("\r\n\r\n");
            connection.Write(kOk);
          }
          if (!connection.ReadUntil("claim").empty()) {
            ++posts_;
          }
          if (!close_after_read) {
            connection.Ended();
          }
        }) {}

  std::uint16_t port() const { return target_.port(); }
  int posts() const { return posts_; }

 private:
  std::atomic<int> posts_ = 0;
  RawTarget target_;
};

void PostAfterGet(std::uint16_t port) {
  cxxtools::http::Client client("127.0.0.1", port);
  client.get("/first", cxxtools::Milliseconds(300));
  try {
    client.execute(Post(), cxxtools::Milliseconds(300));
  } catch (const std::exception&) {
  }
}

}  // namespace

TEST_CASE(
    "cxxtools sends a POST twice when the target closes a kept-alive connection after reading it") {
  ForgetfulTarget target(true);
  PostAfterGet(target.port());
  CHECK(target.posts() == 2);
}

TEST_CASE("cxxtools sends a POST twice when the read on a kept-alive connection times out") {
  ForgetfulTarget target(false);
  PostAfterGet(target.port());
  CHECK(target.posts() == 2);
}

TEST_CASE("cxxtools passes a chunked answer that was cut as a whole one") {
  RawTarget target([](RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nwo");
  });
  cxxtools::http::Client client("127.0.0.1", target.port());
  client.execute(cxxtools::http::Request("/"), cxxtools::Milliseconds(1000));
  CHECK_NOTHROW(client.readBody());
  CHECK(client.body().substr(0, 5) == "hello");
}

}  // namespace mangonotch::http
