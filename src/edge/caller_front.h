// The traffic thread's shell: joins the server for callers, the engine that decides, and the
// connections to targets.
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
#include "edge/target_pool.h"
#include "edge/traffic_codec.h"
#include "http1/server.h"
#include "steering/engine.h"

namespace mangonotch::edge {

/// An observer that also learns what callers name their requests.
template <typename O>
concept RequestObserver = steering::DecisionObserver<O> &&
    requires(O& observer, steering::ExchangeId id, std::string_view request_id) {
  observer.Name(id, request_id);
  /// The request is over.
  observer.Forget(id);
};

template <TrafficCodec Codec, RequestObserver Observer>
class CallerFront {
 public:
  using Engine = steering::Engine<CallerFront, Observer>;

  /// Binds `callers`; throws base::Error when it cannot. `observer` must outlive the front.
  CallerFront(boost::asio::io_context& context, const base::Endpoint& callers,
              steering::EngineSettings settings, std::size_t most_connections, Codec codec,
              Observer& observer);

  void ApplyRepeatLimits(const steering::RepeatLimits& limits);
  void ApplyCatalog(const catalog::CatalogPtr& catalog);
  /// As Engine::SetPeerLoads and Engine::SetHosts.
  void ApplyPeers(std::span<const steering::PeerLoad> loads, std::uint32_t hosts,
                  std::vector<std::uint64_t> local_hosts);
  std::vector<steering::PeerLoad> OwnLoads() const { return engine_.OwnLoads(); }
  /// Answers carry the wish to close from now on.
  void StartDraining() { server_.StartDraining(); }
  /// Neither a request nor a caller's connection is open.
  bool IsIdle() const { return calls_.empty() && server_.connections() == 0; }

  const http1::ServerCounts& server_counts() const { return server_.counts(); }
  const PoolCounts& pool_counts() const { return pool_.counts(); }
  std::size_t connections() const { return server_.connections(); }
  std::size_t requests() const { return calls_.size(); }
  std::uint16_t port() const { return server_.port(); }

  // For the server.

  void OnRequest(http1::RequestId id, http1::Request&& request);
  void OnCallerGone(http1::RequestId id);

  // For the engine.

  void SendAttempt(steering::ExchangeId id, const steering::AttemptOrder& order);
  void CancelAttempt(steering::ExchangeId id, steering::AttemptNumber number);
  void DeliverAnswer(steering::ExchangeId id, steering::AttemptNumber number);
  void Conclude(steering::ExchangeId id, const steering::Conclusion& conclusion);

 private:
  struct Attempt {
    steering::AttemptNumber number = 0;
    std::string target_id;
    TargetPool::ConnectionPtr connection;
    /// Set when the target has answered.
    http1::Response response{};
  };

  /// A request and its attempts; lives as long as the engine's exchange.
  struct Call {
    http1::Request request;
    std::vector<Attempt> attempts;
  };

  void OnAttemptEnd(steering::ExchangeId id, steering::AttemptNumber number,
                    http1::ExchangeResult result);
  Attempt* FindAttempt(steering::ExchangeId id, steering::AttemptNumber number);
  void ForgetIfClosed(steering::ExchangeId id);
  void ArmTimer();
  void OnTimer();

  boost::asio::io_context& context_;
  Codec codec_;
  Observer& observer_;
  TargetPool pool_;
  boost::asio::steady_timer timer_;
  base::Instant timer_at_ = base::Instant::Never();
  std::unordered_map<steering::ExchangeId, Call> calls_;
  std::size_t most_connections_;
  Engine engine_;
  http1::Server<CallerFront> server_;
};

}  // namespace mangonotch::edge

#include "edge/internal/caller_front.inl"  // IWYU pragma: export
