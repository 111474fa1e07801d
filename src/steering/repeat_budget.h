// Bounds the attempts beyond the first of each request to a share of the requests of a window,
// summed over all hosts: each host keeps to the share of its own requests and to its part of the
// fixed allowance.
#pragma once

#include <cstdint>

#include "steering/sliding_count.h"

namespace mangonotch::steering {

struct RepeatLimits {
  /// Repeats allowed for each request.
  double ratio = 0.1;
  /// Repeats that all hosts together may make beyond that.
  std::uint32_t allowance = 0;
  /// Must be equal on all hosts.
  base::Duration window = base::Duration::Seconds(10);

  bool operator==(const RepeatLimits&) const = default;
};

class RepeatBudget {
 public:
  explicit RepeatBudget(const RepeatLimits& limits)
      : limits_(limits), requests_(limits.window), repeats_(limits.window) {}

  /// Takes over other limits. Repeats of the window before count as made at `now`, its requests do
  /// not count, so that the sum stays within either limit.
  void SetLimits(const RepeatLimits& limits, base::Instant now);

  void OnRequest(base::Instant now) { requests_.Add(now); }

  /// Takes one repeat; false when there is none left. `hosts` is the number of hosts that may draw
  /// on the allowance, this one included.
  bool TryRepeat(std::uint32_t hosts, base::Instant now);

  /// Repeats left in the present window.
  double Left(std::uint32_t hosts, base::Instant now);

 private:
  RepeatLimits limits_;
  SlidingCount requests_;
  SlidingCount repeats_;
};

}  // namespace mangonotch::steering
