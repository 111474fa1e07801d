// What hosts and coordinators tell each other about the use of tenants' limits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/hash.h"

namespace mangonotch::quota {

/// Hash of a tenant's name; the same on every host.
using TenantKey = std::uint64_t;

inline TenantKey KeyOf(std::string_view tenant) { return base::Hash(tenant); }

/// A tenant's requests at one host since its last report.
struct TenantUsage {
  TenantKey tenant = 0;
  /// Without those that were refused later as not run; negative if more were returned than
  /// admitted.
  std::int32_t admitted = 0;
  /// Refused for the tenant's limit.
  std::uint32_t refused = 0;
  /// The share that the host holds, from 0 to 1; 1 if it has none.
  double share = 1;

  bool operator==(const TenantUsage&) const = default;
};

/// The share of a tenant's requests that every host admits, from 0 to 1.
struct TenantShare {
  TenantKey tenant = 0;
  double share = 1;

  bool operator==(const TenantShare&) const = default;
};

/// Requests of a tenant in a report, at most; more are not plausible.
inline constexpr std::int32_t kMaxCount = 1'000'000;

/// Maximum lengths of the lists, so that each message fits into a datagram.
inline constexpr std::size_t kMaxUsages = 48;
inline constexpr std::size_t kMaxShares = 96;

struct UsageReport {
  /// Identifies the report in its answer.
  std::uint64_t number = 0;
  std::vector<TenantUsage> usages{};

  bool operator==(const UsageReport&) const = default;
};

struct ShareUpdate {
  /// Number of the report that is answered; 0 if the update answers none.
  std::uint64_t report = 0;
  std::vector<TenantShare> shares{};

  bool operator==(const ShareUpdate&) const = default;
};

}  // namespace mangonotch::quota
