// Admits or refuses the requests of tenants with a limit at one host, by the shares that the
// tenants' coordinators grant. Has no sockets, threads or clock.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/instant.h"
#include "catalog/catalog.h"
#include "quota/messages.h"
#include "quota/token_bucket.h"

namespace mangonotch::quota {

class Limiter {
 public:
  /// `host_key`: hash of this host's name.
  explicit Limiter(std::uint64_t host_key) : host_key_(host_key) {}

  void SetTenants(std::span<const catalog::Tenant> tenants);
  /// Number of hosts among which a limit is divided while its coordinator does not answer.
  void SetHostCount(std::uint32_t n) { host_count_ = n; }

  /// Returns false if the request exceeds the tenant's limit.
  bool TryAdmit(const catalog::Tenant& tenant, base::Instant now);
  /// A request that was admitted has been refused as not run.
  void Refund(const catalog::Tenant& tenant);

  /// Usage since the last call; empty if there was none.
  std::vector<TenantUsage> TakeUsage(base::Instant now);
  /// No answer to a report with these usages has come in time.
  void OnUnanswered(std::span<const TenantUsage> usages, base::Instant now);
  void ApplyShares(std::span<const TenantShare> shares, base::Instant now);

  /// Tenants of which this host refuses requests at present.
  std::uint32_t CountLimited(base::Instant now) const;

 private:
  struct State {
    double rate = 0;
    double burst = 0;
    /// Valid until `share_until`.
    double share = 1;
    base::Instant share_until;
    /// Sum of the shares of the requests since the last admitted one; less than 1.
    double carry = 0;
    /// Admits requests while no share is known.
    TokenBucket own_part;
    std::int32_t admitted = 0;
    std::uint32_t refused = 0;
    /// A report of this tenant was not answered, and no share has come since.
    bool is_unanswered = false;
  };

  /// The state of a tenant whose usage changes now; null for one without a limit.
  State* FindUsed(const catalog::Tenant& tenant);
  bool Decide(State& state, base::Instant now) const;

  std::uint64_t host_key_;
  std::uint32_t host_count_ = 1;
  /// Tenants with a limit.
  std::unordered_map<TenantKey, State> states_;
  /// Tenants with usage since the last report.
  std::vector<TenantKey> used_;
};

}  // namespace mangonotch::quota
