// The I/O layer of a traffic thread: connects the HTTP server for callers, the steering engine and
// the connections to targets.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "edge/target_connection_pool.h"
#include "edge/traffic_codec.h"
#include "http1/server.h"
#include "steering/engine.h"

namespace mangonotch::edge {

/// A decision observer that also receives the request identifiers chosen by callers.
template <typename O>
concept RequestObserver = steering::DecisionObserver<O> &&
    requires(O& observer, steering::ExchangeId id, std::string_view request_id) {
  observer.SetRequestId(id, request_id);
  /// The request has ended; the observer releases its state. May be called again for the same `id`.
  observer.OnRequestEnd(id);
};

/// Limits on what callers and targets may make the proxy hold.
struct ProxyLimits {
  /// Open connections of callers.
  std::size_t connections = 1000;
  /// Memory for the connections, requests and responses of callers. Callers within the limits do
  /// not use up the default.
  std::size_t caller_bytes = std::size_t{1024} * 1024 * 1024;
  PendingBodyLimits target_bodies{};
};

template <TrafficCodec Codec, RequestObserver Observer>
class RequestProxy {
 public:
  using Engine = steering::Engine<RequestProxy, Observer>;

  /// Listens for callers on the address `callers`. Throws base::Error when the address cannot be
  /// bound. `context` and `observer` must outlive this object.
  RequestProxy(boost::asio::io_context& context, const base::Endpoint& callers,
               steering::EngineSettings settings, const ProxyLimits& limits, Codec codec,
               Observer& observer);

  void ApplyRetryLimits(const steering::RetryLimits& limits);
  void ApplyCatalog(const catalog::CatalogPtr& catalog);
  /// Forwards to Engine::SetHosts and Engine::SetPeerLoads.
  void ApplyPeers(std::span<const steering::PeerLoad> loads, std::uint32_t hosts,
                  std::vector<std::uint64_t> local_hosts);
  std::vector<steering::PeerLoad> OwnLoads() const { return engine_.OwnLoads(); }
  /// See Engine::limiter.
  quota::Limiter& limiter() { return engine_.limiter(); }
  /// Stops accepting connections and requests; every further response closes its connection. See
  /// Engine::StopTaking and http1::Server::StartDraining.
  void StartDraining() {
    engine_.StopTaking();
    server_.StartDraining();
  }
  /// True when no request is pending and no caller connection is open.
  bool IsIdle() const { return pending_requests_.empty() && server_.connections() == 0; }

  const http1::ServerCounts& server_counts() const { return server_.counts(); }
  const PoolCounts& pool_counts() const { return pool_.counts(); }
  std::size_t connections() const { return server_.connections(); }
  /// Memory in use for callers.
  std::size_t caller_bytes() const { return caller_budget_->used(); }
  std::size_t requests() const { return pending_requests_.size(); }
  std::uint16_t port() const { return server_.port(); }

  // Callbacks of the HTTP server.

  void OnRequest(http1::RequestId id, http1::Request&& request);
  void OnCallerGone(http1::RequestId id);

  // Callbacks of the steering engine.

  void SendAttempt(steering::ExchangeId id, const steering::AttemptCommand& command);
  void CancelAttempt(steering::ExchangeId id, steering::AttemptNumber number);
  void DeliverAnswer(steering::ExchangeId id, steering::AttemptNumber number);
  void SendLocalReply(steering::ExchangeId id, const steering::LocalReply& reply);

 private:
  struct Attempt {
    steering::AttemptNumber number = 0;
    std::string target_id;
    /// Null once the attempt has ended or was cancelled.
    TargetConnectionPool::ConnectionPtr connection;
    /// Empty until the attempt has ended with a response.
    http1::Response response{};
  };

  /// A request and its attempts; kept as long as the engine's exchange is open.
  struct PendingRequest {
    http1::Request request;
    std::vector<Attempt> attempts;
  };

  void OnAttemptEnd(steering::ExchangeId id, steering::AttemptNumber number,
                    http1::ExchangeResult result);
  Attempt* FindAttempt(steering::ExchangeId id, steering::AttemptNumber number);
  /// Releases the state of the request when the engine has closed its exchange.
  void EraseIfClosed(steering::ExchangeId id);
  void ArmTimer();
  void OnTimer();

  boost::asio::io_context& context_;
  Codec codec_;
  Observer& observer_;
  TargetConnectionPool pool_;
  boost::asio::steady_timer timer_;
  /// Expiry of `timer_`; Never() when it is not armed.
  base::Instant timer_at_ = base::Instant::Never();
  std::unordered_map<steering::ExchangeId, PendingRequest> pending_requests_;
  std::size_t max_connections_;
  std::shared_ptr<http1::ByteBudget> caller_budget_;
  Engine engine_;
  http1::Server<RequestProxy> server_;
};

}  // namespace mangonotch::edge

#include "edge/internal/request_proxy.inl"  // IWYU pragma: export
