// State of a request between its arrival and its answer.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "base/instant.h"
#include "catalog/catalog.h"
#include "steering/attempt.h"
#include "steering/target_state.h"

namespace mangonotch::steering {

class ServiceState;

/// One attempt to have a target serve the request.
struct Attempt {
  AttemptNumber number = 0;
  std::shared_ptr<TargetState> target{};
  base::Instant sent_at{};
  /// Affinity rank of the target at the time of sending.
  std::uint32_t rank = 0;
  /// The target had a free slot when the request was sent, as far as this host knew.
  bool had_free_slot = false;
  /// True until the attempt's outcome is known or the attempt is cancelled.
  bool is_open = true;
  /// False once the outcome shows that the request did not reach the target. Only attempts that
  /// reached a target count towards the route's max_attempts.
  bool has_reached_target = true;
};

struct Exchange {
  ExchangeId id = 0;
  /// Configuration in effect when the request arrived; keeps `route` alive.
  std::shared_ptr<const catalog::Configuration> configuration;
  /// Null when no route matches the request.
  const catalog::Route* route = nullptr;
  /// Null if the caller is anonymous or the deployment has no tenants. Kept alive by
  /// `configuration`.
  const catalog::Tenant* tenant = nullptr;
  /// Of the tenant; compared before the route's.
  std::uint32_t tenant_priority = 0;
  /// The request counts towards the tenant's limit.
  bool is_charged_to_quota = false;
  ServiceState* service = nullptr;
  std::uint64_t affinity_key = 0;
  base::Instant arrived_at;
  /// The earlier of the caller's deadline and the end of the route's timeout.
  base::Instant deadline;
  std::vector<Attempt> attempts;
  /// True while the request is in the queue of its service.
  bool is_waiting = false;
  bool is_caller_gone = false;
  /// True if any attempt ended without proof that the request did not run.
  bool may_have_run = false;
  /// Time of this exchange's entry in the engine's timers.
  base::Instant timer_at;

  std::uint32_t CountOpenAttempts() const {
    std::uint32_t n = 0;
    for (const Attempt& it : attempts) n += it.is_open ? 1 : 0;
    return n;
  }
  std::uint32_t CountAttemptsAtTargets() const {
    std::uint32_t n = 0;
    for (const Attempt& it : attempts) n += it.has_reached_target ? 1 : 0;
    return n;
  }
  /// Whether targets in `region` may serve the request.
  bool IsRegionAllowed(std::string_view region) const {
    const auto allows = [&](const std::vector<std::string>& regions) {
      return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
    };
    return allows(route->allowed_regions) && (!tenant || allows(tenant->allowed_regions));
  }
  Attempt* Find(AttemptNumber number) {
    for (Attempt& it : attempts) {
      if (it.number == number) return &it;
    }
    return nullptr;
  }
};

}  // namespace mangonotch::steering
