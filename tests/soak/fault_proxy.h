// A loopback proxy that harms connections: delays, silences either way, resets.
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

namespace mangonotch::soak {

struct Harm {
  /// Added to each piece of bytes.
  base::Duration delay;
  /// Bytes towards the server, or from it, are held back for good.
  bool silences_requests = false;
  bool silences_answers = false;
};

class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& context, const base::Endpoint& listen,
             const base::Endpoint& server);
  ~FaultProxy();

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void SetServer(const base::Endpoint& server) { server_ = server; }
  void SetHarm(const Harm& harm) { harm_ = harm; }
  /// Resets all connections that are open.
  void ResetAll();

 private:
  class Link;
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  base::Endpoint server_;
  Harm harm_;
  std::unordered_set<std::shared_ptr<Link>> links_;
};

}  // namespace mangonotch::soak
