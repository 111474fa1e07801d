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
#include "http1/byte_budget.h"
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
  /// Time limit for a whole request, from its first byte. The largest body of an entry host, 8 MiB,
  /// arrives in time from 1.2 Mbit/s on.
  base::Duration request_time = base::Duration::Seconds(60);
  /// A connection is closed when its caller takes no byte of a response for this time.
  base::Duration write_time = base::Duration::Seconds(20);
  /// Keep-alive connections without a request are closed after this time.
  base::Duration idle_time = base::Duration::Seconds(60);
  /// Maximum of open connections; further ones are closed right after they are accepted.
  std::size_t connections = 2000;
};

struct ServerCounts {
  std::uint64_t accepted = 0;
  std::uint64_t refused_connections = 0;
  /// All requests that the server has rejected itself; the counts below are parts of it.
  std::uint64_t malformed_requests = 0;
  /// 408: the headers or the body did not arrive in time.
  std::uint64_t late_requests = 0;
  /// 413.
  std::uint64_t oversized_bodies = 0;
  /// 431: the headers, trailers or a chunk's header.
  std::uint64_t oversized_headers = 0;
  /// 503: there was no memory for the request.
  std::uint64_t requests_without_memory = 0;
  /// Connections closed because the caller did not take its response in time.
  std::uint64_t stalled_responses = 0;
  /// Connections closed because there was no memory for their responses.
  std::uint64_t responses_without_memory = 0;
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
  /// Bounds the memory that connections, unfinished and unanswered requests and unsent responses
  /// use together. Without a budget, it is not bounded. To be called before connections arrive.
  void SetBudget(std::shared_ptr<ByteBudget> budget) { budget_ = std::move(budget); }
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
  /// Reserves `n` bytes more for `connection`. When the budget is used up, connections that hold
  /// more lose what they hold, those that have stalled first.
  bool Reserve(const Connection& connection, std::size_t n);
  void Release(std::size_t n);
  /// The connection to evict in favour of `connection`; null when there is none.
  Connection* FindVictim(const Connection& connection, base::Instant now);

  boost::asio::io_context& context_;
  Handler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer sweep_timer_;
  ServerLimits limits_;
  ServerCounts counts_;
  /// Null for no limit.
  std::shared_ptr<ByteBudget> budget_;
  bool is_draining_ = false;
  RequestId last_id_ = 0;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  /// The connection of each request that has no reply yet.
  std::unordered_map<RequestId, Connection*> pending_;
};

}  // namespace mangonotch::http1

#include "http1/internal/server.inl"  // IWYU pragma: export
