// Guards against taking an answer of the store for more than it says: a write that may have taken
// effect must never be reported as not written. standins/tests/store_contract_test.cc runs the
// client against the whole service.
#include "store/http_store.h"

#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <thread>

#include "http/clock.h"
#include "http/server.h"
#include "http/tests/raw_peer.h"

namespace mangonotch::store {
namespace {

base::Instant In(int ms) { return http::Now() + base::Duration::Milliseconds(ms); }
constexpr int kLongMs = 5000;

/// The results of a read and a write that the store answers with these bytes.
struct Answered {
  ReadStatus read;
  WriteStatus write;
};

Answered AnsweredWith(const std::string& bytes) {
  http::RawTarget target([&](http::RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    connection.Write(bytes);
  });
  HttpStore store({"127.0.0.1", target.port()});
  return {store.Get("k", In(kLongMs)).status, store.Put("k", 0, "v", In(kLongMs)).status};
}

}  // namespace

TEST_CASE("Answers are taken for what the protocol says and for no more") {
  const auto with_status = [](const std::string& line, const std::string& headers = "") {
    return AnsweredWith("HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n" + headers + "\r\n");
  };
  struct Case {
    std::string line;
    std::string headers;
    ReadStatus read;
    WriteStatus write;
  };
  const Case cases[] = {
      {"200 OK", "X-Version: 7\r\n", ReadStatus::kOk, WriteStatus::kOk},
      {"200 OK", "", ReadStatus::kUnavailable, WriteStatus::kUnknown},
      {"200 OK", "X-Version: 7x\r\n", ReadStatus::kUnavailable, WriteStatus::kUnknown},
      {"409 Conflict", "X-Version: 7\r\n", ReadStatus::kUnavailable, WriteStatus::kConflict},
      {"409 Conflict", "", ReadStatus::kUnavailable, WriteStatus::kUnknown},
      {"404 Not Found", "", ReadStatus::kNotFound, WriteStatus::kUnavailable},
      {"429 Too Many Requests", "", ReadStatus::kUnavailable, WriteStatus::kUnavailable},
      {"503 Service Unavailable", "", ReadStatus::kUnavailable, WriteStatus::kUnavailable},
      {"500 Internal Server Error", "", ReadStatus::kUnavailable, WriteStatus::kUnknown},
      {"502 Bad Gateway", "", ReadStatus::kUnavailable, WriteStatus::kUnknown},
      {"504 Gateway Timeout", "", ReadStatus::kUnavailable, WriteStatus::kUnknown},
  };
  for (const Case& it : cases) {
    INFO(it.line << " " << it.headers);
    const Answered answered = with_status(it.line, it.headers);
    CHECK(answered.read == it.read);
    CHECK(answered.write == it.write);
  }
}

TEST_CASE(
    "A write whose answer is lost or cut is unknown, one that was never sent is unavailable") {
  for (const std::string bytes :
       {"", "HTTP/1.1 200 OK\r\nX-Version: 7\r\nContent-Length: 3\r\n\r\nab"}) {
    CHECK(AnsweredWith(bytes).write == WriteStatus::kUnknown);
    CHECK(AnsweredWith(bytes).read == ReadStatus::kUnavailable);
  }
  std::uint16_t port = 0;
  {
    http::RawTarget target([](http::RawConnection&, int) {});
    port = target.port();
  }
  HttpStore store({"127.0.0.1", port});
  CHECK(store.Put("k", 0, "v", In(kLongMs)).status == WriteStatus::kUnavailable);
  CHECK(store.Grant(base::Duration::Seconds(1), In(kLongMs)).status == WriteStatus::kUnavailable);
  CHECK(store.Renew({1}, In(kLongMs)).status == WriteStatus::kUnavailable);
}

TEST_CASE("A write is sent once, a read again when its kept connection had ended") {
  std::atomic<int> requests = 0;
  http::RawTarget target([&](http::RawConnection& connection, int) {
    while (!connection.ReadUntil("\r\n\r\n").empty()) {
      // The first read is answered, the second request ends the connection unanswered.
      if (++requests == 2 || requests == 4) {
        return;
      }
      connection.Write("HTTP/1.1 200 OK\r\nX-Version: 1\r\nContent-Length: 1\r\n\r\nv");
    }
  });
  HttpStore store({"127.0.0.1", target.port()});
  CHECK(store.Get("k", In(kLongMs)).status == ReadStatus::kOk);
  CHECK(store.Get("k", In(kLongMs)).status == ReadStatus::kOk);
  CHECK(requests == 3);
  CHECK(store.Put("k", 1, "", In(kLongMs)).status == WriteStatus::kUnknown);
  CHECK(requests == 4);
}

TEST_CASE("A value over 1 MB is not sent") {
  HttpStore store({"127.0.0.1", 1});
  const auto result = store.Put("k", 0, std::string(kMostValueBytes + 1, 'v'), In(kLongMs));
  CHECK(result.status == WriteStatus::kUnavailable);
  CHECK(result.detail == "value over 1 MB");
}

TEST_CASE("A process that stops does not wait for its watch") {
  http::RawTarget target([](http::RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    connection.Ended();
  });
  HttpStore store({"127.0.0.1", target.port()});
  auto watch = std::async(std::launch::async, [&] { return store.Watch("k", 0, In(600'000)); });
  store.Cancel();
  REQUIRE(watch.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  CHECK(watch.get().status == ReadStatus::kUnavailable);
}

}  // namespace mangonotch::store
