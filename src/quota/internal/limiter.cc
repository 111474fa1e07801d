// Admission by share, and by a part of the limit while no share is known.
#include "quota/limiter.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace mangonotch::quota {
namespace {

using base::Duration;

/// A share below 1 is used for this long without a new one; coordinators repeat it every second, so
/// that hosts that rarely see the tenant know it too.
constexpr Duration kLimitedShareTime = Duration::Seconds(3);
constexpr Duration kFullShareTime = Duration::Milliseconds(500);
/// Without a share, a host may admit this part of the burst at once: the answer to its first report
/// takes a fraction of a second.
constexpr double kUnknownBurstPart = 0.25;
constexpr double kMinUnknownBurst = 3;
/// Part of a host's equal share that it admits while no coordinator answers. Others may still use
/// shares of coordinators that they reach.
constexpr double kUnansweredPart = 0.8;
/// A host that has just started knows few of the others; no limit is divided among fewer.
constexpr std::uint32_t kMinHosts = 10;

double UnknownBurst(double burst) { return std::max(kMinUnknownBurst, burst * kUnknownBurstPart); }

/// Between 0 and 1, so that hosts with few requests each do not admit their first ones together.
double PhaseOf(std::uint64_t host_key, TenantKey tenant) {
  return static_cast<double>(base::Mix(host_key ^ tenant) >> 11) * 0x1.0p-53;
}

}  // namespace

void Limiter::SetTenants(std::span<const catalog::Tenant> tenants) {
  std::unordered_set<TenantKey> limited;
  for (const catalog::Tenant& it : tenants) {
    if (it.rate_limit == 0) continue;
    const TenantKey key = KeyOf(it.name);
    limited.insert(key);
    const auto [entry, is_new] = states_.try_emplace(key);
    State& state = entry->second;
    state.rate = it.rate_limit;
    state.burst = it.burst;
    if (!is_new) continue;
    state.carry = PhaseOf(host_key_, key);
    state.own_part = TokenBucket(UnknownBurst(it.burst), {});
  }
  std::erase_if(states_, [&](const auto& it) { return !limited.contains(it.first); });
  std::erase_if(used_, [&](TenantKey it) { return !limited.contains(it); });
}

bool Limiter::Decide(State& state, base::Instant now) const {
  if (now < state.share_until) {
    state.carry += state.share;
    if (state.carry < 1) return false;
    state.carry -= 1;
    return true;
  }
  const double hosts = std::max(host_count_, kMinHosts);
  const double depth =
      state.is_unanswered ? std::max(1.0, state.burst / hosts) : UnknownBurst(state.burst);
  const double rate = state.rate / hosts * (state.is_unanswered ? kUnansweredPart : 1);
  if (state.own_part.Level(rate, depth, now) < 1) return false;
  state.own_part.Take(1);
  return true;
}

Limiter::State* Limiter::FindUsed(const catalog::Tenant& tenant) {
  if (tenant.rate_limit == 0) return nullptr;
  const TenantKey key = KeyOf(tenant.name);
  const auto entry = states_.find(key);
  if (entry == states_.end()) return nullptr;
  State& state = entry->second;
  if (state.admitted == 0 && state.refused == 0) used_.push_back(key);
  return &state;
}

bool Limiter::TryAdmit(const catalog::Tenant& tenant, base::Instant now) {
  State* const state = FindUsed(tenant);
  if (state == nullptr) return true;
  if (!Decide(*state, now)) {
    ++state->refused;
    return false;
  }
  ++state->admitted;
  return true;
}

void Limiter::Refund(const catalog::Tenant& tenant) {
  State* const state = FindUsed(tenant);
  if (state == nullptr) return;
  --state->admitted;
  state->own_part.Take(-1);
}

std::vector<TenantUsage> Limiter::TakeUsage(base::Instant now) {
  std::vector<TenantUsage> usages;
  usages.reserve(used_.size());
  for (const TenantKey key : used_) {
    State& state = states_.at(key);
    if (state.admitted == 0 && state.refused == 0) continue;
    usages.push_back({.tenant = key,
                      .admitted = state.admitted,
                      .refused = state.refused,
                      .share = now < state.share_until ? state.share : 1});
    state.admitted = 0;
    state.refused = 0;
  }
  used_.clear();
  return usages;
}

void Limiter::OnUnanswered(std::span<const TenantUsage> usages, base::Instant now) {
  for (const TenantUsage& it : usages) {
    const auto entry = states_.find(it.tenant);
    if (entry == states_.end() || std::exchange(entry->second.is_unanswered, true)) continue;
    entry->second.own_part = TokenBucket(0, now);
  }
}

void Limiter::ApplyShares(std::span<const TenantShare> shares, base::Instant now) {
  for (const TenantShare& it : shares) {
    const auto entry = states_.find(it.tenant);
    if (entry == states_.end()) continue;
    State& state = entry->second;
    state.share = std::clamp(it.share, 0.0, 1.0);
    state.share_until = now + (state.share < 1 ? kLimitedShareTime : kFullShareTime);
    state.is_unanswered = false;
    // The limit leaves room, so that the next request after a pause is admitted again.
    if (state.share == 1) state.own_part = TokenBucket(UnknownBurst(state.burst), now);
  }
}

std::uint32_t Limiter::CountLimited(base::Instant now) const {
  return static_cast<std::uint32_t>(std::count_if(
      states_.begin(), states_.end(),
      [&](const auto& it) { return now < it.second.share_until && it.second.share < 1; }));
}

}  // namespace mangonotch::quota
