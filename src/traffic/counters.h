// Counts of the traffic threads, as metrics; status pages read them too.
#pragma once

#include <cstdint>

#include "metrics/enum_counter.h"
#include "metrics/registry.h"
#include "traffic/refusal_reason.h"

namespace mangonotch::traffic {

class Counters {
 public:
  explicit Counters(metrics::Registry& registry);

  metrics::EnumCounter<RefusalReason> refusals;
  metrics::EnumCounter<RetryReason> retries;
  metrics::Counter lookups;
  metrics::Counter requests;
  /// Requests sent or meant to be sent to a target; over `requests` by the number of retries.
  metrics::Counter attempts;
  metrics::Counter answered;
  /// Requests passed on to the host that issued their ticket.
  metrics::Counter forwarded;
};

}  // namespace mangonotch::traffic
