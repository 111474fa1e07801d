// The monotonic clock of the event-driven I/O code, and conversions to std::chrono.
#pragma once

#include <chrono>

#include "base/instant.h"

namespace mangonotch::http1 {

inline base::Instant Now() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return base::Instant::FromNanoseconds(
      std::chrono::duration_cast<std::chrono::nanoseconds>(since).count());
}

inline std::chrono::steady_clock::time_point ToTimePoint(base::Instant at) {
  return std::chrono::steady_clock::time_point(std::chrono::nanoseconds(at.nanoseconds()));
}

inline std::chrono::nanoseconds ToChrono(base::Duration d) {
  return std::chrono::nanoseconds(d.nanoseconds());
}

}  // namespace mangonotch::http1
