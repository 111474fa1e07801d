// Sends this host's heartbeat to all others and takes theirs, over UDP; serves changes of
// the catalog over TCP to hosts that do not watch the store, and fetches them when this host does
// not.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>

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
    /// This host watches the store itself and needs no changes from others.
    std::function<bool()> has_fresh_catalog;
  };

  /// Binds the peer address of `members.self()` for UDP and TCP; throws base::Error when it cannot.
  /// References must outlive this object.
  Gossip(boost::asio::io_context& context, fleet::Members& members, discovery::Registry& registry,
         std::uint64_t incarnation, Callbacks callbacks);

  void Start();
  /// Sends a heartbeat to all at once, beside those of the interval.
  void Announce();
  /// The same to the hosts of this region.
  void AnnounceLocally();

  // For the server of catalog changes.

  void OnRequest(http1::RequestId id, const http1::Request& request);
  void OnCallerGone(http1::RequestId) {}

 private:
  void Receive();
  void Beat();
  void FetchIfBehind();
  void OnFetched(std::uint64_t incarnation, const http1::ExchangeResult& result);
  void EndFetch();
  void SendTo(std::span<const base::Endpoint> receivers, bool with_loads,
              const fleet::Members::ContactLists& contacts);
  void AddContacts(std::span<const base::Endpoint> contacts, fleet::Heartbeat& heartbeat);

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
  base::Instant fetch_deadline_;
  /// The host that the last changes came from, and how far they went.
  std::uint64_t source_incarnation_ = 0;
  std::uint64_t source_sequence_ = 0;
  std::uint64_t beats_ = 0;
};

}  // namespace mangonotch::peering
