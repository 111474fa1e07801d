// Counters that a target stand-in reports at GET /counters.
#pragma once

#include <cstdint>

namespace mangonotch::standins {

struct TargetCounters {
  std::uint64_t requests = 0;
  std::uint64_t runs = 0;       // Work that started.
  std::uint64_t completed = 0;  // Work that ended without cancellation or deadline.
  std::uint64_t breaches = 0;   // Requests that exceeded the slots.
  std::uint64_t shed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t deadline_passed = 0;
  std::uint64_t failed = 0;
  std::uint64_t while_draining = 0;  // Requests received after draining began.
  std::int64_t last_after_drain_ms =
      -1;  // From the start of draining to the last of them; -1: none.
  unsigned in_flight = 0;
  unsigned peak_in_flight = 0;
};

}  // namespace mangonotch::standins
