// Limits the slots that requests moved in from other regions may occupy: at most a cap, and growing
// no faster than a ramp.
//
// The allowed level follows the slots in use, up and down, at the rate of the ramp, and rises to at
// most one slot above them. An idle period therefore accumulates no allowance, and moved requests
// always grow at the rate of the ramp.
#pragma once

#include <cstdint>

#include "base/instant.h"

namespace mangonotch::shift {

struct MoveLimits {
  /// The region's limit for the service, in slots.
  std::uint32_t region_limit = 0;
  /// Maximum for moved requests, in percent of the region's limit.
  double cap_percent = 0;
  /// Growth per minute, in percentage points of the region's limit.
  double ramp_points_per_minute = 0;
};

class MoveCap {
 public:
  /// Takes effect immediately; a level above a lowered cap is reduced to it.
  void SetLimits(const MoveLimits& limits, base::Instant now);

  /// Sets the level of a new coordinator to the moved slots in use that the members report.
  void StartFrom(std::uint32_t used_slots, base::Instant now);

  /// Returns the maximum number of slots for moved requests. `used_slots` is the number they may
  /// currently occupy.
  std::uint32_t Allowed(std::uint32_t used_slots, base::Instant now);

 private:
  double cap_slots() const;

  MoveLimits limits_;
  /// Allowed slots as of `level_at_`, between 0 and the cap.
  double level_ = 0;
  base::Instant level_at_;
};

}  // namespace mangonotch::shift
