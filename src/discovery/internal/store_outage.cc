// Length of an interruption, and the end of the recovery after it.
#include "discovery/store_outage.h"

#include <algorithm>

namespace mangonotch::discovery {

void StoreOutage::OnRegained(base::Instant lost_at, base::Instant now) {
  // A short interruption does not end the recovery from an outage before it.
  if (!IsOutage(lost_at, now)) return;
  last_ = {.lost_at = lost_at, .regained_at = now, .served_since = now};
}

void StoreOutage::OnServedElsewhere(base::Instant since) {
  if (last_) last_->served_since = std::min(last_->served_since, since);
}

base::Duration StoreOutage::ServiceTime(base::Instant answered_since, base::Instant last_answer_at,
                                        base::Instant now) const {
  if (now - last_answer_at >= timing_.min_outage) return {};
  const base::Instant since = last_ ? std::max(answered_since, last_->regained_at) : answered_since;
  return now - since;
}

std::optional<base::Instant> StoreOutage::recovery_end() const {
  const std::optional<base::Instant> outage_end = outage_recovery_end();
  if (!restored_at_) return outage_end;
  const base::Instant end = *restored_at_ + timing_.recovery_time;
  return std::max(end, outage_end.value_or(end));
}

std::optional<base::Instant> StoreOutage::outage_recovery_end() const {
  if (!last_) return std::nullopt;
  if (last_->served_since - last_->lost_at < timing_.min_outage) return std::nullopt;
  return last_->served_since + timing_.recovery_time;
}

std::optional<base::Instant> StoreOutage::regained_at() const {
  if (!last_) return std::nullopt;
  return last_->regained_at;
}

}  // namespace mangonotch::discovery
