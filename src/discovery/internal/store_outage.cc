// Length of an interruption, and the end of the recovery after it.
#include "discovery/store_outage.h"

namespace mangonotch::discovery {

void StoreOutage::OnRegained(base::Instant lost_at, base::Instant now) {
  // A short interruption does not end the recovery from an outage before it.
  if (now - lost_at < timing_.min_outage) return;
  regained_at_ = now;
}

std::optional<base::Instant> StoreOutage::recovery_end() const {
  if (!regained_at_) return std::nullopt;
  return *regained_at_ + timing_.recovery_time;
}

}  // namespace mangonotch::discovery
