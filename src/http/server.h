// The caller side: an HTTP server on cxxtools that refuses every request whose framing is not
// certain.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/duration.h"
#include "http/header.h"
#include "http/refusal.h"
#include "http/response.h"

namespace mangonotch::http {

/// A request with its whole body. All views end with the call of the handler.
class Request {
 public:
  std::string_view method;
  std::string_view path;   // Decoded by cxxtools; free of control characters.
  std::string_view query;  // As sent, without '?'.
  std::span<const HeaderView> headers;
  std::string_view body;
  std::string_view peer;  // IP address of the caller as text.

  /// Value of the first header line of this name.
  std::optional<std::string_view> Header(std::string_view name) const;
  /// Value of a parameter of the query, decoded; nullopt when it is missing.
  std::optional<std::string> Parameter(std::string_view name) const;
  /// True when the caller has closed its side of the connection, so that work for it can be
  /// dropped.
  bool CallerGone() const;
  /// Socket of the caller, for polling only; valid until the handler returns.
  int caller_socket() const { return caller_socket_; }
  void set_caller_socket(int fd) { caller_socket_ = fd; }

 private:
  int caller_socket_ = -1;
};

struct ServerLimits {
  unsigned threads = 64;  // Requests that run at the same time; more wait for a thread.
  /// Without a byte, while the body of a request is not whole.
  base::Duration read_timeout = base::Duration::Seconds(10);
  /// Without a byte in either direction, while no request is read or handled.
  base::Duration idle_timeout = base::Duration::Seconds(15);
  std::size_t body_bytes = 1 << 20;
  std::size_t url_bytes = 2048;
};

class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  /// Listens on `address`:`port`; port 0 takes a free one. Throws base::Error when the address
  /// cannot be bound. `handler` is called on several threads at once.
  Server(const std::string& address, std::uint16_t port, ServerLimits limits, Handler handler);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();  // Stops.

  std::uint16_t port() const;

  /// Accepts no new connection or request, waits until the requests in flight are answered with
  /// Connection: close.
  void Stop();
  bool stopping() const;

  /// Requests refused for this reason since the start.
  std::uint64_t refused(Refusal refusal) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangonotch::http
