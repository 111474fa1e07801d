// The one place that reads the monotonic clock and turns it into an instant of the core.
#pragma once

#include <time.h>

#include <concepts>

#include "base/instant.h"

namespace mangonotch::http {

/// A source of the present time; tests put their own in its place.
template <typename C>
concept Clock = requires(const C& clock) {
  { clock.Now() } -> std::same_as<base::Instant>;
};

/// CLOCK_BOOTTIME goes on counting while the process is paused or the host sleeps, so a deadline
/// that passed meanwhile is seen as passed.
class BoottimeClock {
 public:
  base::Instant Now() const {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return base::Instant::FromNanoseconds(ts.tv_sec * 1'000'000'000LL + ts.tv_nsec);
  }
};
static_assert(Clock<BoottimeClock>);

/// The present time of the process.
inline base::Instant Now() { return BoottimeClock().Now(); }

}  // namespace mangonotch::http
