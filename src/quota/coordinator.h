// Keeps the limits of the tenants that this host coordinates: adds up what all hosts report, and
// answers with the share of requests that each of them admits. Has no sockets, threads or clock.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/instant.h"
#include "catalog/catalog.h"
#include "quota/messages.h"
#include "quota/terms.h"
#include "quota/token_bucket.h"

namespace mangonotch::quota {

class Coordinator {
 public:
  explicit Coordinator(const Terms& terms) : terms_(terms) {}

  void SetTenants(std::span<const catalog::Tenant> tenants);

  /// Sets the part of the hosts known lately that this host can reach, from 0 to 1. A minority of
  /// them grants only its part of the limits: the others may have a coordinator of their own.
  void SetReach(double part);

  /// Applies the report of a host, unless it is the last one sent again, and returns the shares of
  /// the tenants in it.
  std::vector<TenantShare> OnReport(std::uint64_t host, const UsageReport& report,
                                    base::Instant now);

  /// Shares to send to all hosts: those of tenants that have just reached their limit or are no
  /// longer held to it, and now and then those of tenants that stay at their limit.
  std::vector<TenantShare> TakeBroadcast(base::Instant now);

  /// Tenants whose requests are refused in part at present.
  std::uint32_t limited() const { return limited_; }
  /// Tenants with recent reports.
  std::uint32_t CountActive(base::Instant now) const;

 private:
  struct State {
    /// Of the bucket.
    double rate = 0;
    double depth = 0;
    TokenBucket bucket;
    /// Requests per second, admitted or not; decays since `demand_at`.
    double demand = 0;
    base::Instant demand_at;
    /// First of the reports without a long pause between them.
    base::Instant first_report_at;
    base::Instant last_report_at;
    /// Lowest share that hosts held when their first reports came.
    double inherited_share = 1;
    bool is_limited = false;
    /// Last broadcast of the share.
    base::Instant broadcast_at;
    double broadcast_share = 1;
  };

  static double DemandAt(const State& state, base::Instant now);
  double ShareOf(State& state, base::Instant now) const;
  double LevelOf(State& state, base::Instant now) const;
  void Apply(State& state, const TenantUsage& usage, base::Instant now);

  Terms terms_;
  /// Part of the limits that this host grants.
  double granted_part_ = 1;
  std::unordered_map<TenantKey, State> states_;
  /// Number of the last report of each host, by the hash of its address.
  std::unordered_map<std::uint64_t, std::uint64_t> last_reports_;
  std::uint32_t limited_ = 0;
};

}  // namespace mangonotch::quota
