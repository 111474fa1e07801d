// Cap on the slots that work moved in from other regions may occupy, and the ramp by which that
// level may grow.
//
// The level follows the slots in use at the rate of the ramp, up and down, and leads them by at
// most one slot. So an idle hour saves up nothing: moved work always grows at the rate of the ramp.
#pragma once

#include <cstdint>

#include "base/instant.h"

namespace mangonotch::shift {

struct MoveLimits {
  /// The region's limit for the service, in slots.
  std::uint32_t region_limit = 0;
  /// Most that moved work may occupy, in percent of the region's limit.
  double cap_percent = 0;
  /// Growth per minute, in percentage points of the region's limit.
  double ramp_points_per_minute = 0;
};

class MoveCap {
 public:
  /// Takes effect at once; a level above a lowered cap falls to it.
  void SetLimits(const MoveLimits& limits, base::Instant now);

  /// A new coordinator's level starts from the moved slots that members report.
  void StartFrom(std::uint32_t used_slots, base::Instant now);

  /// Most moved slots allowed now. `used_slots` are those that moved work may occupy now.
  std::uint32_t Allowed(std::uint32_t used_slots, base::Instant now);

 private:
  double cap_slots() const;

  MoveLimits limits_;
  /// Between 0 and the cap, in slots.
  double level_ = 0;
  base::Instant level_at_;
};

}  // namespace mangonotch::shift
