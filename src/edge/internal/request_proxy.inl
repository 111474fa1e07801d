// RequestProxy: passes socket events to the engine and carries out the engine's decisions.
#pragma once

#include <algorithm>
#include <unordered_set>

#include "edge/request_proxy.h"
#include "http1/clock.h"
#include "http1/post.h"

namespace mangonotch::edge {

/// Upper limit of a request body: bodies are kept in memory until their request is answered.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{8} * 1024 * 1024;

template <TrafficCodec Codec, RequestObserver Observer>
RequestProxy<Codec, Observer>::RequestProxy(boost::asio::io_context& context,
                                            const base::Endpoint& callers,
                                            steering::EngineSettings settings,
                                            const ProxyLimits& limits, Codec codec,
                                            Observer& observer)
    : context_(context),
      codec_(std::move(codec)),
      observer_(observer),
      pool_(context, limits.target_bodies),
      timer_(context),
      max_connections_(limits.connections),
      caller_budget_(std::make_shared<http1::ByteBudget>(limits.caller_bytes)),
      engine_(std::move(settings), *this, observer),
      server_(context, callers, *this) {
  server_.SetLimits({.connections = max_connections_});
  server_.SetBudget(caller_budget_);
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::ApplyRetryLimits(const steering::RetryLimits& limits) {
  engine_.SetRetryLimits(limits, http1::Now());
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::ApplyCatalog(const catalog::CatalogPtr& catalog) {
  if (catalog->configuration) {
    const catalog::CallerLimits& limits = catalog->configuration->limits;
    server_.SetLimits({.header_bytes = limits.header_bytes,
                       .body_bytes = std::min(limits.body_bytes, kMaxBodyBytes),
                       .header_time = limits.header_time,
                       .idle_time = limits.idle_time,
                       .connections = max_connections_});
  }
  engine_.ApplyCatalog(catalog, http1::Now());
  std::unordered_set<std::string_view> known;
  for (const catalog::Target& it : catalog->targets) known.insert(it.id);
  pool_.RetainIf([&](const std::string& id) { return known.contains(id); });
  ArmTimer();
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::ApplyPeers(std::span<const steering::PeerLoad> loads,
                                               std::uint32_t hosts,
                                               std::vector<std::uint64_t> local_hosts) {
  engine_.SetHosts(hosts, std::move(local_hosts));
  engine_.SetPeerLoads(loads, http1::Now());
  ArmTimer();
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::OnRequest(http1::RequestId id, http1::Request&& request) {
  const base::Instant now = http1::Now();
  PendingRequest& pending = pending_requests_[id];
  pending.request = std::move(request);
  observer_.SetRequestId(id, codec_.LogId(pending.request));
  engine_.OnRequest(id, codec_.AttributesOf(pending.request, now), now);
  ArmTimer();
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::OnCallerGone(http1::RequestId id) {
  engine_.OnCallerGone(id, http1::Now());
  EraseIfClosed(id);
  // An attempt may go on, but no further one is sent.
  const auto entry = pending_requests_.find(id);
  if (entry != pending_requests_.end()) entry->second.request.body = std::string();
  ArmTimer();
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::SendAttempt(steering::ExchangeId id,
                                                const steering::AttemptCommand& command) {
  PendingRequest& pending = pending_requests_.at(id);
  const base::Instant now = http1::Now();
  const auto connection = pool_.Acquire(command.target_id, now);
  pending.attempts.push_back(
      {.number = command.number, .target_id = command.target_id, .connection = connection});
  connection->Exchange(
      command.address, codec_.Encode(pending.request, command, now),
      pending.request.method == "HEAD",
      [this, id](const http1::Response& response) {
        const auto entry = pending_requests_.find(id);
        return entry != pending_requests_.end() &&
               codec_.IsResponseTo(entry->second.request, response);
      },
      [this, id, number = command.number](http1::ExchangeResult result) {
        OnAttemptEnd(id, number, std::move(result));
      });
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::OnAttemptEnd(steering::ExchangeId id,
                                                 steering::AttemptNumber number,
                                                 http1::ExchangeResult result) {
  Attempt* const attempt = FindAttempt(id, number);
  if (attempt == nullptr) return;
  steering::AttemptOutcome outcome;
  switch (result.error) {
    case http1::ExchangeError::kNone:
      outcome = codec_.ClassifyResponse(result.response);
      if (!codec_.IsIdentified(result.response)) attempt->connection->Close();
      break;
    case http1::ExchangeError::kNotSent:
      outcome.result = steering::AttemptResult::kNotSent;
      break;
    case http1::ExchangeError::kBroken:
      outcome.result = steering::AttemptResult::kLost;
      break;
  }
  attempt->response = std::move(result.response);
  pool_.Release(attempt->target_id, std::exchange(attempt->connection, nullptr));
  engine_.OnOutcome(id, number, outcome, http1::Now());
  EraseIfClosed(id);
  ArmTimer();
}

template <TrafficCodec Codec, RequestObserver Observer>
typename RequestProxy<Codec, Observer>::Attempt* RequestProxy<Codec, Observer>::FindAttempt(
    steering::ExchangeId id, steering::AttemptNumber number) {
  const auto pending = pending_requests_.find(id);
  if (pending == pending_requests_.end()) return nullptr;
  for (Attempt& it : pending->second.attempts) {
    if (it.number == number) return &it;
  }
  return nullptr;
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::CancelAttempt(steering::ExchangeId id,
                                                  steering::AttemptNumber number) {
  Attempt* const attempt = FindAttempt(id, number);
  if (attempt == nullptr || !attempt->connection) return;
  // Closing the connection makes the target cancel the request.
  attempt->connection->Close();
  attempt->connection.reset();
  // No end of the attempt will release the request if the engine ends it without a reply, as it
  // does when the caller has left.
  http1::Post(context_, [this, id] { EraseIfClosed(id); });
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::DeliverAnswer(steering::ExchangeId id,
                                                  steering::AttemptNumber number) {
  Attempt* const attempt = FindAttempt(id, number);
  server_.Reply(id, codec_.ToCallerResponse(std::move(attempt->response)));
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::SendLocalReply(steering::ExchangeId id,
                                                   const steering::LocalReply& reply) {
  // The engine still uses the exchange, so its state is released after the engine has returned. A
  // request that is answered without an attempt has no attempt end that would release it.
  server_.Reply(id, codec_.EncodeLocalReply(pending_requests_.at(id).request, reply));
  http1::Post(context_, [this, id] { EraseIfClosed(id); });
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::EraseIfClosed(steering::ExchangeId id) {
  if (engine_.IsOpen(id)) return;
  pending_requests_.erase(id);
  observer_.OnRequestEnd(id);
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::ArmTimer() {
  const base::Instant next = engine_.NextDeadline();
  if (next == timer_at_) return;
  timer_at_ = next;
  if (next == base::Instant::Never()) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(http1::ToTimePoint(next));
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) OnTimer();
  });
}

template <TrafficCodec Codec, RequestObserver Observer>
void RequestProxy<Codec, Observer>::OnTimer() {
  timer_at_ = base::Instant::Never();
  engine_.OnTimer(http1::Now());
  ArmTimer();
}

}  // namespace mangonotch::edge
