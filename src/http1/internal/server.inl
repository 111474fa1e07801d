// Server: accepting connections and checking their time limits.
#pragma once

#include <utility>
#include <vector>

#include "base/error.h"
#include "http1/asio_address.h"
#include "http1/clock.h"
#include "http1/internal/server_connection.h"
#include "http1/server.h"

namespace mangonotch::http1 {

/// Interval between two checks of the connections' time limits.
inline constexpr base::Duration kSweepInterval = base::Duration::Milliseconds(250);
/// Delay after a failed accept, which occurs when file descriptors or memory run out.
inline constexpr base::Duration kAcceptRetryDelay = base::Duration::Milliseconds(50);

template <typename Handler>
Server<Handler>::Server(boost::asio::io_context& context, const base::Endpoint& address,
                        Handler& handler)
    : context_(context),
      handler_(handler),
      acceptor_(context),
      accept_timer_(context),
      sweep_timer_(context) {
  const auto endpoint = ToAsio(address);
  boost::system::error_code ec;
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec) {
    throw base::Error("listen", endpoint.address().to_string() + ":" + std::to_string(address.port),
                      ec.message());
  }
  Accept();
  Sweep();
}

template <typename Handler>
Server<Handler>::~Server() {
  for (const auto& it : connections_) it->Abandon();
}

template <typename Handler>
void Server<Handler>::Accept() {
  acceptor_.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted) return;
    OnAccept(ec, std::move(socket));
  });
}

template <typename Handler>
void Server<Handler>::OnAccept(boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
  if (ec) {
    ++counts_.refused_connections;
    accept_timer_.expires_after(ToChrono(kAcceptRetryDelay));
    accept_timer_.async_wait([this](boost::system::error_code wait_ec) {
      if (!wait_ec) Accept();
    });
    return;
  }
  if (connections_.size() >= limits_.connections) {
    ++counts_.refused_connections;
    socket.close(ec);
  } else {
    ++counts_.accepted;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->Start();
  }
  Accept();
}

template <typename Handler>
void Server<Handler>::Reply(RequestId id, Response response) {
  const auto entry = pending_.find(id);
  if (entry == pending_.end()) return;
  Connection& connection = *entry->second;
  pending_.erase(entry);
  connection.Reply(id, std::move(response));
}

template <typename Handler>
void Server<Handler>::StartDraining() {
  if (std::exchange(is_draining_, true)) return;
  boost::system::error_code ec;
  acceptor_.close(ec);  // Errors are ignored: the process exits soon after draining.
  accept_timer_.cancel();
  for (const auto& it : connections_) it->StartDraining();
  CheckConnections();
}

template <typename Handler>
void Server<Handler>::Sweep() {
  CheckConnections();
  sweep_timer_.expires_after(ToChrono(kSweepInterval));
  sweep_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) Sweep();
  });
}

template <typename Handler>
void Server<Handler>::CheckConnections() {
  const base::Instant now = Now();
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const auto& it : all) it->CheckTimeouts(now);
}

}  // namespace mangonotch::http1
