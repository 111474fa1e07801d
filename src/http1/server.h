// An HTTP/1.1 server on one Asio context: accepts connections, reads requests (also pipelined),
// passes each to the handler and writes the responses in the order of the requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>  // Boost 1.74 with GCC 12 needs it before its coroutine headers.

#include "base/endpoint.h"
#include "base/instant.h"
#include "http1/message.h"

namespace mangonotch::http1 {

using RequestId = std::uint64_t;

struct ServerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  /// Time limit for the headers of a request, from its first byte.
  base::Duration header_time = base::Duration::Seconds(5);
  /// Time limit between two reads of a body.
  base::Duration body_time = base::Duration::Seconds(10);
  /// Keep-alive connections without a request are closed after this time.
  base::Duration idle_time = base::Duration::Seconds(60);
  /// Maximum of open connections; further ones are closed right after they are accepted.
  std::size_t connections = 2000;
};

struct ServerCounts {
  std::uint64_t accepted = 0;
  std::uint64_t refused_connections = 0;
  std::uint64_t malformed_requests = 0;
};

/// Receives the requests. Server::Reply may be called from within OnRequest or later.
template <typename H>
concept RequestHandler = requires(H& handler, RequestId id, Request request) {
  handler.OnRequest(id, std::move(request));
  /// The connection was closed before the reply; a later reply is ignored.
  handler.OnCallerGone(id);
};

template <typename Handler>
class ServerConnection;

template <typename Handler>
class Server {
 public:
  /// Binds to `address` and listens; throws base::Error on failure. `context` and `handler` must
  /// outlive the server.
  Server(boost::asio::io_context& context, const base::Endpoint& address, Handler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  /// Sends the response to a request; ignored when the caller has disconnected.
  void Reply(RequestId id, Response response);

  /// Stops accepting connections and closes the idle ones. The others are closed after the response
  /// to the last request that was dispatched; requests that have not been dispatched by now are
  /// dispatched only if none is pending on their connection.
  void StartDraining();
  std::size_t connections() const { return connections_.size(); }
  std::size_t pending_requests() const { return pending_.size(); }
  const ServerCounts& counts() const { return counts_; }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  friend class ServerConnection<Handler>;
  using Connection = ServerConnection<Handler>;

  void Accept();
  void OnAccept(boost::system::error_code ec, boost::asio::ip::tcp::socket socket);
  /// Checks the time limits of all connections every kSweepInterval.
  void Sweep();
  void CheckConnections();

  boost::asio::io_context& context_;
  Handler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer sweep_timer_;
  ServerLimits limits_;
  ServerCounts counts_;
  bool is_draining_ = false;
  RequestId last_id_ = 0;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  /// The connection of each request that has no reply yet.
  std::unordered_map<RequestId, Connection*> pending_;
};

}  // namespace mangonotch::http1

#include "http1/internal/server.inl"  // IWYU pragma: export
