// Calls of a client to targets that a test answers by hand.
#pragma once

#include <optional>
#include <string>

#include "http/client.h"
#include "http/clock.h"
#include "http/tests/raw_peer.h"

namespace mangonotch::http {

inline constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

inline base::Instant In(int ms) { return Now() + base::Duration::Milliseconds(ms); }
inline constexpr int kLongMs = 5000;
inline constexpr int kShortMs = 100;

inline ClientRequest Get() { return {"GET", "/a", {}, ""}; }
inline ClientRequest Post() { return {"POST", "/file", {}, "claim"}; }

struct Outcome {
  std::optional<Failure> failure;
  bool bytes_written = false;
  Response response;
};

inline Outcome Call(Client& client, std::uint16_t port, const ClientRequest& request,
                    int ms = kLongMs, const ExecuteOptions& options = {}) {
  Outcome outcome;
  try {
    outcome.response = client.Execute({"127.0.0.1", port}, request, In(ms), options);
  } catch (const ClientError& error) {
    outcome.failure = error.failure();
    outcome.bytes_written = error.bytes_written();
  }
  return outcome;
}

/// One call to a target that answers with these bytes and then closes the connection.
inline Outcome Answered(const std::string& bytes, const ClientRequest& request = Get(),
                        const ExecuteOptions& options = {}) {
  RawTarget target([&](RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    connection.Write(bytes);
  });
  Client client;
  return Call(client, target.port(), request, kLongMs, options);
}

}  // namespace mangonotch::http
