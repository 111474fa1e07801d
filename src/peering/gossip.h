// Exchanges heartbeats with the other hosts over UDP: with each host of the region, and with a few
// relays of each other region, which pass them on there. Serves catalog changes over HTTP to hosts
// that do not watch the store, and fetches them from another host when this host does not watch it
// or has fallen behind.
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
#include "fleet/catalog_sync.h"
#include "fleet/heartbeat_schedule.h"
#include "fleet/members.h"
#include "http1/client_connection.h"
#include "http1/server.h"

namespace mangonotch::peering {

class Gossip {
 public:
  struct Callbacks {
    /// Sets the fields that describe the state of this host: loads, leaving, store watches.
    std::function<void(fleet::Heartbeat&)> fill_heartbeat;
    /// Called once per heartbeat interval; heartbeats received since the last call may have changed
    /// the members.
    std::function<void()> on_interval;
    /// Called after the changes of another host have been merged into the registry.
    std::function<void(const fleet::CatalogRequest&)> on_merged;
    /// Receives datagrams that are not heartbeats; they are dropped if empty.
    std::function<void(std::string_view bytes, const base::Endpoint& sender)> on_datagram{};
    /// Returns whether this host watches the store itself and, as far as it can tell, needs no
    /// changes from other hosts.
    std::function<bool()> has_fresh_catalog;
  };

  /// Binds the peer address of `members.self()` for UDP and TCP; throws base::Error on failure.
  /// The referenced objects must outlive this object.
  Gossip(boost::asio::io_context& context, fleet::Members& members, discovery::Registry& registry,
         std::uint64_t incarnation, Callbacks callbacks);

  void Start();
  /// Sends a heartbeat to all known addresses immediately, in addition to the periodic ones.
  void Announce();
  /// Sends a heartbeat to the known hosts of this region immediately.
  void AnnounceLocally();

  /// This host has listed the entries of the targets in the store: asks another host once what it
  /// knows of them.
  void OnTargetsListed();

  /// Name of the host whose changes were fetched, or are being fetched, last.
  const base::HostId& last_source() const { return fetch_source_.source.host; }

  /// Sends a datagram from the peer address. A datagram that cannot be sent is lost.
  void SendDatagram(const base::Endpoint& receiver, std::string_view bytes);

  // Handler of the HTTP server of catalog changes.

  void OnRequest(http1::RequestId id, const http1::Request& request);
  void OnCallerGone(http1::RequestId) {}

 private:
  void Receive();
  void OnDatagram(std::string_view bytes);
  void OnInterval();
  void FetchIfBehind();
  void Fetch(const fleet::CatalogRequest& catalog_request);
  void LogSource(const fleet::CatalogRequest& request);
  void OnFetched(const http1::ExchangeResult& result);
  void OnFetchFailed(std::string_view cause);
  void CloseFetch();
  /// Sends a heartbeat to the hosts of this region that have just been heard of.
  void GreetNewcomers();
  /// Sends a heartbeat with loads and relayed heartbeats to the hosts of this region.
  void SendLocally(const fleet::Members::ContactLists& contacts);
  void SendTo(std::span<const base::Endpoint> receivers, const fleet::Heartbeat& heartbeat);
  /// The heartbeat for hosts of other regions.
  fleet::Heartbeat RemoteHeartbeat(const fleet::Members::ContactLists& contacts);
  fleet::Heartbeat MakeHeartbeat(std::uint64_t period_intervals,
                                 const fleet::Members::ContactLists& contacts);
  void AddContacts(std::span<const base::Endpoint> contacts, fleet::Heartbeat& heartbeat);

  boost::asio::io_context& context_;
  fleet::Members& members_;
  discovery::Registry& registry_;
  Callbacks callbacks_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 2048> receive_buffer_{};
  boost::asio::steady_timer interval_timer_;
  http1::Server<Gossip> server_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  base::Random random_;
  std::shared_ptr<http1::ClientConnection> fetch_;
  /// The request that `fetch_` carries.
  fleet::CatalogRequest fetch_source_;
  base::Instant fetch_deadline_;
  fleet::CatalogSync catalog_sync_;
  /// Incarnation of the source that was last logged.
  base::Incarnation logged_source_ = 0;
  fleet::HeartbeatSchedule schedule_;
};

}  // namespace mangonotch::peering
