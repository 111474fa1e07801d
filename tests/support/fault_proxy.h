// A loopback TCP proxy that injects connection faults: delay, loss in either direction, reset.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_set>
#include <utility>

#include "base/endpoint.h"
#include "base/instant.h"

namespace mangonotch::support {

struct ConnectionFault {
  /// Added before each relayed read is written on.
  base::Duration delay;
  /// The next bytes towards the server are discarded, and nothing more is relayed to it on that
  /// connection.
  bool drops_requests = false;
  /// The same for bytes from the server.
  bool drops_responses = false;
};

class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& context, const base::Endpoint& listen,
             const base::Endpoint& server);
  ~FaultProxy();

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void SetServer(const base::Endpoint& server) { server_ = server; }
  void SetFault(const ConnectionFault& fault) { fault_ = fault; }
  /// Closes all open connections with a TCP reset.
  void ResetAll();

 private:
  class Connection;
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  base::Endpoint server_;
  ConnectionFault fault_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
};

}  // namespace mangonotch::support
