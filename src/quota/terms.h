// How operators measure whether a tenant's limit is kept.
#pragma once

#include <algorithm>

#include "base/duration.h"
#include "catalog/catalog.h"

namespace mangonotch::quota {

struct Terms {
  /// In any span of this length a tenant may have its rate's requests and its burst. Zero: the
  /// burst is available once, and again as the tenant stays below its rate.
  base::Duration window{};
  /// Tolerated beyond that, as a part of it and as a number of requests.
  double overage = 0;
  double slack = 0;

  bool operator==(const Terms&) const = default;
};

/// Requests per second that a tenant may have indefinitely.
inline double SustainedRate(const catalog::Tenant& tenant, const Terms& terms) {
  if (terms.window <= base::Duration()) return tenant.rate_limit;
  return tenant.rate_limit + tenant.burst / terms.window.seconds();
}

/// Requests beyond the sustained rate that a tenant may have at once. A part of the tolerance is
/// kept for what hosts admit before they know each other's requests.
inline double BurstDepth(const catalog::Tenant& tenant, const Terms& terms) {
  if (terms.window <= base::Duration()) return std::max(tenant.burst, 1.0);
  constexpr double kUsedPart = 0.5;
  const double in_window = tenant.rate_limit * terms.window.seconds() + tenant.burst;
  return std::max(kUsedPart * (in_window * terms.overage + terms.slack), 1.0);
}

}  // namespace mangonotch::quota
