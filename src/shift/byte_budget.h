// Token bucket that paces the bytes a host relays over its half of a link between two regions.
#pragma once

#include <cstdint>

#include "base/instant.h"

namespace mangonotch::shift {

class ByteBudget {
 public:
  /// `bytes_per_s` 0 lets nothing pass. `burst_bytes` may be sent at once after a pause.
  ByteBudget(std::uint64_t bytes_per_s, std::uint64_t burst_bytes);

  /// Changes the rate for what is reserved from now on.
  void SetRate(std::uint64_t bytes_per_s) { bytes_per_s_ = bytes_per_s; }

  /// Reserves `bytes` and returns the earliest instant at which they may be sent, or
  /// Instant::Never() with a rate of 0, which reserves nothing.
  base::Instant Reserve(std::uint64_t bytes, base::Instant now);

 private:
  base::Duration TimeFor(std::uint64_t bytes) const;

  std::uint64_t bytes_per_s_;
  std::uint64_t burst_bytes_;
  /// When all bytes reserved so far will have been sent at the rate.
  base::Instant drained_at_;
};

}  // namespace mangonotch::shift
