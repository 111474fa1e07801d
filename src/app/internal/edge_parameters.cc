// Conversion of settings.
#include "app/internal/edge_parameters.h"

#include <algorithm>
#include <cstdint>

#include "base/hash.h"

namespace mangonotch::app {
namespace {

using base::Duration;

/// Targets whose entries expired in an outage of the store register again within two seconds of
/// its return; the remaining 0.5 s covers the time that their requests take to reach the store.
constexpr Duration kRecoveryTime = Duration::Milliseconds(2500);
/// An entry expires after three intervals without a renewal, and the last renewal before an outage
/// was up to one interval old.
constexpr std::int64_t kMinOutageIntervals = 2;
/// An entry expires after three intervals; the store carries out a call within seconds, so that the
/// others have a wide margin.
constexpr std::int64_t kRemovalMemoryIntervals = 40;
/// Three, and one more in which this host reads that the entry has expired.
constexpr std::int64_t kLapseIntervals = 4;
/// The store carries out a call that got no answer "seconds later", if at all.
constexpr Duration kLateCallTime = Duration::Seconds(8);
/// Divisor that gives the share of file descriptors for caller connections; the rest is for
/// targets, the store and files.
constexpr std::size_t kCallerDescriptorsDivisor = 2;
constexpr std::size_t kMiB = std::size_t{1024} * 1024;
/// The readiness, look-up and metrics addresses, which have equal parts.
constexpr std::size_t kControlAddresses = 3;
constexpr std::size_t kDefaultControlCallerBytes = 64 * kMiB;
// Shares of the machine's memory; together at most a half. The other half is for the program, its
// connections to targets, the kernel's socket buffers and copies in the making.
constexpr std::size_t kCallerShare = 5;   // Sixteenths.
constexpr std::size_t kTargetShare = 2;   // Sixteenths.
constexpr std::size_t kControlShare = 1;  // Sixteenths.
constexpr std::size_t kShares = 16;
/// The part of each target's answer that is not reserved, as a part of all of their share.
constexpr std::size_t kUnreservedDivisor = 256;
constexpr Duration kMaxWatchDelay = Duration::Milliseconds(2000);

}  // namespace

discovery::OutageTiming OutageTimingOf(const settings::EdgeBounds& bounds) {
  return {.min_outage = bounds.target_heartbeat * kMinOutageIntervals,
          .recovery_time = kRecoveryTime};
}

discovery::RemovalTiming RemovalTimingOf(const settings::EdgeBounds& bounds) {
  const Duration lapse_time = bounds.target_heartbeat * kLapseIntervals;
  const Duration memory_time = bounds.target_heartbeat * kRemovalMemoryIntervals;
  return {.memory_time = std::max(memory_time, kLateCallTime + lapse_time),
          .late_call_time = kLateCallTime,
          .lapse_time = lapse_time};
}

steering::RetryLimits RetryLimitsOf(const settings::EdgeBounds& bounds) {
  return {.ratio = bounds.retry_ratio,
          .allowance = bounds.retry_allowance,
          .window = bounds.retry_window};
}

quota::Terms QuotaTermsOf(const settings::EdgeBounds& bounds) {
  return {
      .window = bounds.quota_window, .overage = bounds.quota_overage, .slack = bounds.quota_slack};
}

steering::EngineSettings EngineSettingsOf(const settings::EdgeSettings& settings) {
  steering::EngineSettings engine;
  engine.region = settings.region;
  engine.host_key = base::Hash(settings.host);
  engine.zones = settings.zones;
  engine.retry_limits = RetryLimitsOf(settings.bounds);
  return engine;
}

edge::ProxyLimits ProxyLimitsOf(const settings::EdgeSettings& settings) {
  edge::ProxyLimits limits;
  limits.connections = settings.descriptors / kCallerDescriptorsDivisor;
  if (settings.memory_mb == 0) return limits;
  const std::size_t share_bytes = settings.memory_mb * kMiB / kShares;
  edge::PendingBodyLimits& bodies = limits.target_bodies;
  limits.caller_bytes = share_bytes * kCallerShare;
  bodies.total_bytes = std::min(bodies.total_bytes, share_bytes * kTargetShare);
  bodies.unreserved_bytes =
      std::min(bodies.unreserved_bytes, bodies.total_bytes / kUnreservedDivisor);
  return limits;
}

std::size_t ControlCallerBytesOf(const settings::EdgeSettings& settings) {
  if (settings.memory_mb == 0) return kDefaultControlCallerBytes / kControlAddresses;
  return settings.memory_mb * kMiB / kShares * kControlShare / kControlAddresses;
}

Duration WatchDelayOf(std::string_view host) {
  constexpr std::uint64_t kSteps = 1000;
  const auto step = static_cast<std::int64_t>(base::Hash(host) % kSteps);
  return kMaxWatchDelay * step / static_cast<std::int64_t>(kSteps);
}

std::vector<base::Endpoint> PeersOfSeeds(const settings::EdgeSettings& settings) {
  std::vector<base::Endpoint> peers;
  for (const base::IpAddress& it : settings.seeds) {
    peers.push_back({.address = it, .port = settings.listen.peers.port});
  }
  return peers;
}

}  // namespace mangonotch::app
