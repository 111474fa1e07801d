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

/// Connections that hold no more than this may use the whole budget. The others leave a part of it,
/// so that small requests are served while large ones use up the rest.
inline constexpr std::size_t kSmallConnectionBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kSmallConnectionsDivisor = 4;

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
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    if (connection->Start()) {
      ++counts_.accepted;
    } else {
      ++counts_.refused_connections;
    }
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

template <typename Handler>
bool Server<Handler>::Reserve(const Connection& connection, std::size_t n) {
  if (!budget_) return true;
  const bool is_small = connection.reserved() + n <= kSmallConnectionBytes;
  const std::size_t spare = is_small ? 0 : budget_->limit() / kSmallConnectionsDivisor;
  while (!budget_->TryReserve(n, spare)) {
    Connection* const victim = FindVictim(connection, Now());
    if (victim == nullptr) return false;
    victim->Evict();
  }
  return true;
}

template <typename Handler>
void Server<Handler>::Release(std::size_t n) {
  if (budget_) budget_->Release(n);
}

template <typename Handler>
typename Server<Handler>::Connection* Server<Handler>::FindVictim(const Connection& connection,
                                                                  base::Instant now) {
  Connection* victim = nullptr;
  std::pair<bool, std::size_t> most = {false, connection.reserved()};
  for (const auto& it : connections_) {
    const std::size_t bytes = it->EvictableBytes();
    const std::pair<bool, std::size_t> rank = {it->IsStalled(now), bytes};
    if (it.get() == &connection || bytes == 0 || rank <= most) continue;
    most = rank;
    victim = it.get();
  }
  return victim;
}

}  // namespace mangonotch::http1
