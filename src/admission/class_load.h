// Estimates for one work class: service time, expected wait, and the slots worth asking for.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/types.h"

namespace mangonotch::admission {

struct ClassLoadSettings {
  /// Service time assumed before the first request has ended.
  base::Duration initial_service_time = base::Duration::Milliseconds(10);
  /// Time in which a coordinator answers an urgent request for slots: a round trip between regions
  /// (110 ms at most today) and its work.
  base::Duration grant_delay = base::Duration::Milliseconds(150);
  /// A peak of slots in use loses half of its excess over the present use in this time.
  base::Duration peak_half_life = base::Duration::Seconds(10);
};

class ClassLoad {
 public:
  explicit ClassLoad(const ClassLoadSettings& settings);

  void OnTaken(base::RegionIndex region, base::Instant now);
  void OnReleased(base::RegionIndex region, base::Duration held);

  /// Average time for which a request holds a slot.
  base::Duration ServiceTime() const { return service_time_; }
  /// Time until the waiter at a position (1 = next) can expect one of the usable slots.
  base::Duration ExpectedWait(std::size_t position, std::uint32_t usable_slots) const;
  /// Time after which a caller that was refused behind `waiting` others may come back.
  base::Duration RetryAfter(std::size_t waiting, std::uint32_t usable_slots) const;
  /// In use and headroom; the waiters are counted by the gate.
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
