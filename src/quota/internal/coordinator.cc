// Demand, tokens and shares of the coordinated tenants.
#include "quota/coordinator.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace mangonotch::quota {
namespace {

using base::Duration;

/// Time constant of the demand's decay: a few reports of every host.
constexpr double kDemandSeconds = 0.5;
/// Tokens beyond the rate, or missing from it, are spread over this time. Twice the time from a
/// request to the effect of the share that follows from it, so that the level does not swing.
constexpr double kBalanceSeconds = 0.5;
/// A tenant without reports for this long has another coordinator or no requests. Longer than hosts
/// keep a share, so that a share in a report after the pause comes from another coordinator.
constexpr Duration kReportPause = Duration::Seconds(4);
/// A new coordinator keeps to the shares of the one before for this time, until it knows the demand
/// of all hosts.
constexpr Duration kTakeoverTime = Duration::Seconds(1);
constexpr double kMajority = 0.5;
/// What was admitted too much is made up for within this time; what is more is forgotten, since a
/// tenant would get nothing for long.
constexpr double kMaxDebtSeconds = 2;
constexpr Duration kBroadcastInterval = Duration::Seconds(1);
/// Other changes of a share reach the hosts that use it with the answers to their reports.
constexpr double kBroadcastChange = 0.25;
/// Only shares of tenants reported within this time are broadcast: later reports may have gone to
/// another coordinator, whose shares must not be overruled.
constexpr Duration kBroadcastReportAge = Duration::Milliseconds(300);

}  // namespace

void Coordinator::SetReach(double part) {
  granted_part_ = part >= kMajority ? 1 : std::max(part, 0.0);
}

void Coordinator::SetTenants(std::span<const catalog::Tenant> tenants) {
  std::unordered_set<TenantKey> limited;
  for (const catalog::Tenant& it : tenants) {
    if (it.rate_limit == 0) continue;
    const TenantKey key = KeyOf(it.name);
    limited.insert(key);
    State& state = states_[key];
    state.rate = SustainedRate(it, terms_);
    state.depth = BurstDepth(it, terms_);
  }
  std::erase_if(states_, [&](const auto& it) { return !limited.contains(it.first); });
}

double Coordinator::DemandAt(const State& state, base::Instant now) {
  const double elapsed = std::max((now - state.demand_at).seconds(), 0.0);
  return state.demand * std::exp(-elapsed / kDemandSeconds);
}

void Coordinator::Apply(State& state, const TenantUsage& usage, base::Instant now) {
  if (now - state.last_report_at > kReportPause) {
    state.first_report_at = now;
    state.inherited_share = 1;
  }
  state.last_report_at = now;
  const double level = LevelOf(state, now);
  if (now < state.first_report_at + kTakeoverTime && usage.share < 1) {
    // Another coordinator held the tenant to its limit, so that no burst is left.
    state.inherited_share = std::min(state.inherited_share, usage.share);
    if (level > 0) state.bucket = TokenBucket(0, now);
  }
  const std::int64_t requests = std::int64_t{usage.admitted} + usage.refused;
  state.demand =
      DemandAt(state, now) +
      static_cast<double>(std::clamp<std::int64_t>(requests, 0, kMaxCount)) / kDemandSeconds;
  state.demand_at = now;
  const std::int32_t admitted = std::clamp(usage.admitted, -kMaxCount, kMaxCount);
  const double max_debt = std::max(state.rate * kMaxDebtSeconds, 1.0);
  state.bucket.Take(std::min<double>(admitted, LevelOf(state, now) + max_debt));
}

double Coordinator::LevelOf(State& state, base::Instant now) const {
  return state.bucket.Level(state.rate * granted_part_, state.depth * granted_part_, now);
}

double Coordinator::ShareOf(State& state, base::Instant now) const {
  const double demand = DemandAt(state, now);
  const double available = state.rate * granted_part_ + LevelOf(state, now) / kBalanceSeconds;
  double share = demand <= available ? 1 : std::max(available, 0.0) / demand;
  if (now < state.first_report_at + kTakeoverTime) share = std::min(share, state.inherited_share);
  return share;
}

std::vector<TenantShare> Coordinator::OnReport(std::uint64_t host, const UsageReport& report,
                                               base::Instant now) {
  const std::uint64_t last = std::exchange(last_reports_[host], report.number);
  std::vector<TenantShare> shares;
  for (const TenantUsage& it : report.usages) {
    const auto entry = states_.find(it.tenant);
    if (entry == states_.end()) continue;
    if (last != report.number) Apply(entry->second, it, now);
    shares.push_back({.tenant = it.tenant, .share = ShareOf(entry->second, now)});
  }
  return shares;
}

std::vector<TenantShare> Coordinator::TakeBroadcast(base::Instant now) {
  std::vector<TenantShare> shares;
  limited_ = 0;
  for (auto& [tenant, state] : states_) {
    if (now - state.last_report_at > kReportPause) state.is_limited = false;
    if (now - state.last_report_at > kBroadcastReportAge) {
      limited_ += state.is_limited ? 1 : 0;
      continue;
    }
    const double share = ShareOf(state, now);
    const bool was_limited = std::exchange(state.is_limited, share < 1);
    limited_ += state.is_limited ? 1 : 0;
    const bool has_changed = was_limited != state.is_limited ||
                             std::abs(share - state.broadcast_share) > kBroadcastChange;
    const bool is_due = state.is_limited && now >= state.broadcast_at + kBroadcastInterval;
    if (!has_changed && !is_due) continue;
    state.broadcast_at = now;
    state.broadcast_share = share;
    shares.push_back({.tenant = tenant, .share = share});
  }
  return shares;
}

std::uint32_t Coordinator::CountActive(base::Instant now) const {
  return static_cast<std::uint32_t>(std::count_if(
      states_.begin(), states_.end(),
      [&](const auto& it) { return now - it.second.last_report_at <= kReportPause; }));
}

}  // namespace mangonotch::quota
