// Sends this host's heartbeat to all others and takes theirs, over UDP; serves copies of the
// catalog over TCP to hosts that cannot read the store, and fetches one when this host cannot.
#pragma once

#include <utility>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "discovery/registry.h"
#include "fleet/members.h"
#include "http1/client_connection.h"
#include "http1/server.h"

namespace mangonotch::peering {

class Gossip {
 public:
  struct Callbacks {
    /// Fills in what the heartbeat says beyond the sender: loads, leaving.
    std::function<void(fleet::Heartbeat&)> describe;
    /// Other hosts' heartbeats may have changed what is known of them; called once an interval.
    std::function<void()> on_interval;
    /// The registry has taken over newer records of another host.
    std::function<void()> on_merged;
    /// This host reads the store itself and needs no copy.
    std::function<bool()> reads_store;
  };

  /// Binds the peer address of `members.self()` for UDP and TCP; throws base::Error when it cannot.
  /// References must outlive this object.
  Gossip(boost::asio::io_context& context, fleet::Members& members, discovery::Registry& registry,
         std::uint64_t incarnation, Callbacks callbacks);

  void Start();
  /// Sends a heartbeat at once, beside those of the interval.
  void Announce();

  // For the server of catalog copies.

  void OnRequest(http1::RequestId id, http1::Request request);
  void OnCallerGone(http1::RequestId) {}

 private:
  void Receive();
  void Beat();
  void FetchIfBehind();
  void OnFetched(const http1::ExchangeResult& result);

  boost::asio::io_context& context_;
  fleet::Members& members_;
  discovery::Registry& registry_;
  Callbacks callbacks_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint from_;
  std::array<char, 2048> buf_{};
  boost::asio::steady_timer beat_timer_;
  http1::Server<Gossip> server_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  base::Random random_;
  std::shared_ptr<http1::ClientConnection> fetch_;
  base::Instant fetch_after_;
};

}  // namespace mangonotch::peering
