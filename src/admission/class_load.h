// Load estimates for one work class: service time, expected wait and slots to request.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/types.h"

namespace mangonotch::admission {

struct ClassLoadSettings {
  /// Service time assumed until the first request has completed.
  base::Duration initial_service_time = base::Duration::Milliseconds(10);
  /// Time until a coordinator answers an urgent request for slots: a round trip between regions
  /// (currently at most 110 ms) plus processing.
  base::Duration grant_delay = base::Duration::Milliseconds(150);
  /// Half-life with which the recorded peak decays towards the number of slots in use.
  base::Duration peak_half_life = base::Duration::Seconds(10);
};

class ClassLoad {
 public:
  explicit ClassLoad(const ClassLoadSettings& settings);

  void OnAcquired(base::RegionIndex region, base::Instant now);
  void OnReleased(base::RegionIndex region, base::Duration held);

  /// Average time for which a request holds a slot.
  base::Duration ServiceTime() const { return service_time_; }
  /// Expected time until the waiter at `position` (1 = next) gets one of the usable slots. Without
  /// usable slots this is the time to obtain a grant.
  base::Duration ExpectedWait(std::size_t position, std::uint32_t usable_slots) const;
  /// Time after which a refused caller may retry, given `waiting` requests in the queue.
  base::Duration RetryAfter(std::size_t waiting, std::uint32_t usable_slots) const;
  /// Fills in `in_use` and `headroom` only; the gate adds the other fields.
  Demand DemandFor(base::RegionIndex region, base::Instant now) const;

 private:
  struct RegionUse {
    std::uint16_t in_use = 0;
    float peak = 0;
    base::Instant peak_time;
  };

  float PeakAt(const RegionUse& use, base::Instant now) const;

  ClassLoadSettings settings_;
  base::Duration service_time_;
  std::vector<RegionUse> regions_;
};

}  // namespace mangonotch::admission
