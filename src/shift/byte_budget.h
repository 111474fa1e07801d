// Token bucket that limits the rate at which a host relays bytes over a link between two regions.
// The hosts at each end of a link share one half of its bandwidth.
#pragma once

#include <cstdint>

#include "base/instant.h"

namespace mangonotch::shift {

class ByteBudget {
 public:
  /// A rate of 0 lets nothing pass. `burst_bytes` may be sent immediately after a pause.
  ByteBudget(std::uint64_t bytes_per_s, std::uint64_t burst_bytes);

  /// Changes the rate for later reservations.
  void SetRate(std::uint64_t bytes_per_s) { bytes_per_s_ = bytes_per_s; }

  /// Reserves `bytes` and returns the earliest instant at which they may be sent. At a rate of 0 it
  /// reserves nothing and returns Instant::Never().
  base::Instant Reserve(std::uint64_t bytes, base::Instant now);

 private:
  base::Duration TimeFor(std::uint64_t bytes) const;

  std::uint64_t bytes_per_s_;
  std::uint64_t burst_bytes_;
  /// Time at which all bytes reserved so far will have been sent at the configured rate.
  base::Instant backlog_end_;
};

}  // namespace mangonotch::shift
