// Start, change and end of a target's limit, and its division among the hosts.
#include "steering/target_limit.h"

#include <algorithm>
#include <cmath>

namespace mangonotch::steering {
namespace {

using base::Duration;

/// Parts of the limit for the hosts of the target's region, for those of the other regions, and for
/// hosts without a part of their own, whose few requests show them when the limit ends.
constexpr double kLocalPart = 0.85;
constexpr double kRemotePart = 0.1;
constexpr double kProbePart = 0.05;
/// Requests per second that are sent to a target that names less, so that the end of its limit is
/// noticed.
constexpr double kMinRate = 0.25;
/// A host may send what it has not used of its part in this many seconds at once.
constexpr double kBurstSeconds = 0.5;
/// Allows for the rounding of tokens and instants.
constexpr double kTokenTolerance = 1e-6;

double RateOf(double limit) { return std::max(limit, kMinRate); }

/// Number of hosts or regions, of `n`, that `rate` requests per second are divided among: at least
/// one request per second each, so that their bursts add up to little.
std::uint32_t CountSenders(double rate, std::uint32_t n) {
  return static_cast<std::uint32_t>(std::clamp(std::floor(rate), 1.0, static_cast<double>(n)));
}

/// Requests per second of the host's own part; 0 if it has none.
double OwnRate(double limit, const HostPosition& position) {
  const double rate = RateOf(limit);
  if (position.is_local) {
    const std::uint32_t senders = CountSenders(rate * kLocalPart, position.hosts);
    return position.rank < senders ? rate * kLocalPart / senders : 0;
  }
  const std::uint32_t regions = CountSenders(rate, std::max(position.other_regions, 1U));
  if (position.region_rank >= regions) return 0;
  const std::uint32_t senders = CountSenders(rate / regions, position.hosts);
  return position.rank < senders ? rate * kRemotePart / regions / senders : 0;
}

double ProbeRate(double limit, const HostPosition& position) {
  return RateOf(limit) * kProbePart / std::max(position.all_hosts, 1U);
}

double SendRate(double limit, const HostPosition& position) {
  const double own = OwnRate(limit, position);
  return own > 0 ? own : ProbeRate(limit, position);
}

/// Position among all hosts between 0 and 1, by which their first probes are spread over the
/// interval between two probes.
double ProbePhase(const HostPosition& position) {
  const double region =
      position.is_local ? 0 : (position.region_rank + 1.0) / (position.other_regions + 1.0);
  return (position.rank + region) / std::max(position.hosts, 1U);
}

}  // namespace

bool TargetLimit::OnAnswer(const RateLimitReport& report, const HostPosition& position,
                           base::Instant sent_at, base::Instant now) {
  switch (report.kind) {
    case ReportKind::kMalformed:
      return false;
    case ReportKind::kNone: {
      const bool ends = is_active_ && sent_at >= last_named_at_;
      if (ends) is_active_ = false;
      return ends;
    }
    case ReportKind::kGiven:
      break;
  }
  const bool is_new = !is_active_;
  const bool has_changed = is_new || per_second_ != report.per_second;
  is_active_ = true;
  per_second_ = report.per_second;
  last_named_at_ = now;
  if (is_new) {
    tokens_ = OwnRate(per_second_, position) > 0 ? 1 : -ProbePhase(position);
    tokens_at_ = now;
  }
  return has_changed;
}

double TargetLimit::TokensAt(const HostPosition& position, base::Instant now) const {
  const double rate = SendRate(per_second_, position);
  const double burst = std::max(1.0, rate * kBurstSeconds);
  return std::min(burst, tokens_ + rate * (now - tokens_at_).seconds());
}

base::Instant TargetLimit::NextSendAt(const HostPosition& position, base::Instant now) const {
  if (!is_active_) return now;
  const double missing = 1 - kTokenTolerance - TokensAt(position, now);
  if (missing <= 0) return now;
  const double seconds = missing / SendRate(per_second_, position);
  return now + Duration::Nanoseconds(static_cast<std::int64_t>(std::ceil(seconds * 1e9)) + 1);
}

void TargetLimit::OnSent(const HostPosition& position, base::Instant now) {
  if (!is_active_) return;
  tokens_ = TokensAt(position, now) - 1;
  tokens_at_ = now;
}

}  // namespace mangonotch::steering
