// Test harness that sends requests through the engine with a port that records its calls.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "base/hash.h"
#include "catalog/catalog.h"
#include "steering/engine.h"

namespace mangonotch::steering {

struct NullObserver {
  void OnSent(const Exchange&, const Choice&, base::Instant) {}
  void OnTargetsFull(const Exchange&, const Choice&, base::Duration, base::Instant) {}
  void OnTargetsLimited(const Exchange&, base::Duration, base::Instant) {}
  void OnOutcome(const Exchange&, AttemptNumber, const AttemptOutcome&, base::Instant) {}
  void OnRetry(const Exchange&, RetryReason, base::Instant) {}
  void OnRetryDenied(const Exchange&, RetryReason, RetryDenial, base::Instant) {}
  void OnDelivered(const Exchange&, AttemptNumber, base::Instant) {}
  void OnLocalReply(const Exchange&, const LocalReply&, base::Instant) {}
  void OnCallerGone(const Exchange&, base::Instant) {}
  void OnRateLimitChanged(const TargetState&, base::Instant) {}
  void OnMalformedRateLimit(const TargetState&, base::Instant) {}
  void OnSignalsChanged(const TargetState&, base::Instant) {}
  void OnMalformedSignal(const TargetState&, base::Instant) {}
};

struct RecordingPort {
  struct Sent {
    ExchangeId id = 0;
    AttemptCommand command;
  };
  struct SentLocalReply {
    ExchangeId id = 0;
    LocalReply reply;
  };

  void SendAttempt(ExchangeId id, const AttemptCommand& command) { sent.push_back({id, command}); }
  void CancelAttempt(ExchangeId id, AttemptNumber number) { cancelled.emplace_back(id, number); }
  void DeliverAnswer(ExchangeId id, AttemptNumber number) { delivered.emplace_back(id, number); }
  void SendLocalReply(ExchangeId id, const LocalReply& reply) {
    local_replies.push_back({id, reply});
  }

  std::vector<Sent> sent;
  std::vector<std::pair<ExchangeId, AttemptNumber>> cancelled;
  std::vector<std::pair<ExchangeId, AttemptNumber>> delivered;
  std::vector<SentLocalReply> local_replies;
};

/// The instant `ms` milliseconds after the start of a test.
inline base::Instant At(std::int64_t ms) {
  return base::Instant() + base::Duration::Milliseconds(1'000'000 + ms);
}

inline catalog::Target MakeTarget(const std::string& id, const std::string& service = "status",
                                  const std::string& zone = "a1", std::uint32_t slots = 2) {
  catalog::Target target;
  target.id = id;
  target.service = service;
  target.zone = zone;
  target.slots = slots;
  return target;
}

inline catalog::Route MakeRoute(const std::string& prefix, bool is_idempotent,
                                const std::string& service = "status") {
  catalog::Route route;
  route.name = prefix;
  route.host = "h.example";
  route.path_prefix = prefix;
  route.is_idempotent = is_idempotent;
  route.max_attempts = 2;
  route.timeout = base::Duration::Milliseconds(1000);
  route.latency_objective = base::Duration::Milliseconds(300);
  route.services = {{.service = service, .weight = 1}};
  return route;
}

/// A host in region A with the idempotent route /look/ and the non-idempotent route /file/.
class EngineHarness {
 public:
  explicit EngineHarness(std::vector<catalog::Target> targets, std::uint32_t allowance = 100)
      : EngineHarness(std::move(targets), Settings(allowance)) {}

  EngineHarness(std::vector<catalog::Target> targets, EngineSettings settings)
      : engine(std::move(settings), port, observer) {
    configuration.version = 1;
    configuration.routes = {MakeRoute("/look/", true), MakeRoute("/file/", false)};
    configuration.services = {{.name = "status",
                               .health_path = {},
                               .max_connections = 0,
                               .cold_time = base::Duration::Seconds(3),
                               .cold_rate = 16}};
    Apply(std::move(targets), 0);
  }

  void Apply(std::vector<catalog::Target> targets, std::int64_t ms) {
    auto next = std::make_shared<catalog::Catalog>();
    next->configuration = std::make_shared<const catalog::Configuration>(configuration);
    next->targets = std::move(targets);
    next->evacuated_zones = evacuated_zones;
    engine.ApplyCatalog(next, At(ms));
  }

  ExchangeId Request(const std::string& target, std::int64_t ms, std::uint64_t key = 0,
                     std::int64_t caller_timeout_ms = 1000) {
    const ExchangeId id = ++last_id;
    engine.OnRequest(id,
                     {.host = "h.example",
                      .target = target,
                      .affinity_key = key,
                      .deadline = At(ms + caller_timeout_ms)},
                     At(ms));
    return id;
  }

  void Outcome(ExchangeId id, AttemptResult result, std::int64_t ms, AttemptNumber number = 1) {
    engine.OnOutcome(id, number, {.result = result}, At(ms));
  }

  /// Identifier of the target that the last attempt was sent to.
  const std::string& LastTarget() const { return port.sent.back().command.target_id; }

  static EngineSettings Settings(std::uint32_t allowance) {
    EngineSettings settings;
    settings.region = "A";
    settings.zones = {{"a1", "A"}, {"a2", "A"}, {"b1", "B"}};
    settings.retry_limits = {.ratio = 0.2, .allowance = allowance};
    return settings;
  }

  RecordingPort port;
  NullObserver observer;
  Engine<RecordingPort, NullObserver> engine;
  catalog::Configuration configuration;
  std::set<std::string, std::less<>> evacuated_zones;
  ExchangeId last_id = 0;
};

}  // namespace mangonotch::steering
