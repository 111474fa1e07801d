// Reports of a target, for tests of the registry.
#pragma once

#include <cstdint>
#include <optional>

#include "base/instant.h"
#include "catalog/catalog.h"
#include "discovery/store_outage.h"

namespace mangonotch::discovery {

inline constexpr OutageTiming kTiming = {.min_outage = base::Duration::Seconds(3),
                                         .recovery_time = base::Duration::Milliseconds(2500)};
/// Starts of two incarnations of the target.
inline constexpr std::int64_t kStartMs = 1'764'850'000'123;
inline constexpr std::int64_t kRestartMs = kStartMs + 60'000;

/// The instant `ms` milliseconds after the start of a test.
inline base::Instant At(std::int64_t ms) {
  return base::Instant() + base::Duration::Milliseconds(ms);
}

/// A report of the target `t1`.
inline catalog::Target Report(std::optional<std::uint64_t> sequence, bool is_draining = false,
                              std::int64_t started_at_ms = kStartMs) {
  catalog::Target target;
  target.id = "t1";
  target.service = "status";
  target.zone = "a1";
  target.is_draining = is_draining;
  target.report = {.started_at_ms = started_at_ms, .sequence = sequence};
  return target;
}

}  // namespace mangonotch::discovery
