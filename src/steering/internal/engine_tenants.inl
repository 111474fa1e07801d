// Engine: tenants of requests and the use of their limits.
#pragma once

#include <utility>

#include "steering/engine.h"

namespace mangonotch::steering {

template <typename Port, DecisionObserver Observer>
bool Engine<Port, Observer>::Authenticate(Exchange& exchange,
                                          const std::optional<catalog::KeyDigest>& key) const {
  if (!tenants_.HasTenants()) return true;
  exchange.tenant = key ? tenants_.Find(*key) : nullptr;
  exchange.tenant_priority =
      exchange.tenant ? exchange.tenant->priority : tenants_.anonymous_priority();
  return exchange.tenant != nullptr || exchange.route->allows_anonymous;
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::RefundQuota(Exchange& exchange) {
  if (std::exchange(exchange.is_charged_to_quota, false)) limiter_.Refund(*exchange.tenant);
}

}  // namespace mangonotch::steering
