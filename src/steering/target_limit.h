// The rate at which a target accepts requests from all hosts together, as the target names it in
// its answers, and this host's part of it. Each host works its part out alone, from its position
// among the hosts, so that nothing has to be agreed on and the parts add up to the limit at most.
#pragma once

#include <cstdint>

#include "base/instant.h"
#include "steering/attempt.h"

namespace mangonotch::steering {

/// The position of a host among the hosts that may send to a target. Ranks are by rendezvous
/// hashing with the target's key, so that hosts with the same view agree on them.
struct HostPosition {
  /// The host is in the target's region.
  bool is_local = true;
  /// Hosts of this host's region, including it, and its rank among them.
  std::uint32_t hosts = 1;
  std::uint32_t rank = 0;
  /// Regions other than the target's, and the rank of this host's region among them. Unused in the
  /// target's region.
  std::uint32_t other_regions = 0;
  std::uint32_t region_rank = 0;
  /// Hosts of all regions.
  std::uint32_t all_hosts = 1;
};

class TargetLimit {
 public:
  /// Applies the report of a complete answer of the target to a request sent at `sent_at`. Returns
  /// whether the limit has changed. An answer without a limit ends it only if its request was sent
  /// after the limit was last named: an earlier answer may arrive late.
  bool OnAnswer(const RateLimitReport& report, const HostPosition& position, base::Instant sent_at,
                base::Instant now);

  bool is_active() const { return is_active_; }
  /// Requests per second from all hosts together; only while active.
  double per_second() const { return per_second_; }
  base::Instant last_named_at() const { return last_named_at_; }

  /// When the host at `position` may next send; not later than `now` if it may at once.
  base::Instant NextSendAt(const HostPosition& position, base::Instant now) const;
  void OnSent(const HostPosition& position, base::Instant now);

 private:
  /// Tokens at `now`, each for one request; at most the burst that the host may send.
  double TokensAt(const HostPosition& position, base::Instant now) const;

  bool is_active_ = false;
  double per_second_ = 0;
  base::Instant last_named_at_;
  /// Tokens of this host at `tokens_at_`. Below 0 while a host that only probes waits for its turn.
  double tokens_ = 0;
  base::Instant tokens_at_;
};

}  // namespace mangonotch::steering
