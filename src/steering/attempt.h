// What the steering core and the traffic shell tell each other about one request and the attempts
// that are made for it at targets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/duration.h"
#include "base/endpoint.h"
#include "base/instant.h"

namespace mangonotch::steering {

/// A request of a caller from its arrival to its answer; unique in a process.
using ExchangeId = std::uint64_t;
/// Counts the attempts of one exchange from 1.
using AttemptNumber = std::uint32_t;

/// The facts of a request that decide where it goes.
struct RequestFacts {
  std::string_view host;
  /// Path and query.
  std::string_view target;
  /// Hash of the object that the request concerns; 0 when it names none.
  std::uint64_t affinity_key = 0;
  /// When the caller stops waiting.
  base::Instant deadline = base::Instant::Never();
};

/// Tells the shell to send a request to a target.
struct AttemptOrder {
  AttemptNumber number = 0;
  std::string target_id{};
  base::Endpoint address{};
  /// When the target should stop work on it.
  base::Instant deadline{};
};

/// The load that a target reports with an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Time that work takes at this moment; 100 is usual.
  std::uint32_t slowness_percent = 100;

  bool operator==(const LoadReport&) const = default;
};

enum class AttemptResult : std::uint8_t {
  /// A whole answer of the target that is not a failure of its own.
  kAnswered,
  /// A whole answer that reports a failure of the target; the request may have run.
  kFailed,
  /// The target says that it has not run the request and never will.
  kNotRun,
  /// Another incarnation has the address; it has not run the request.
  kMisdirected,
  /// No byte of the request left this process.
  kNotSent,
  /// The request was sent and no whole, valid answer came.
  kLost,
};

struct AttemptOutcome {
  AttemptResult result = AttemptResult::kLost;
  std::optional<LoadReport> load{};
};

enum class ConclusionReason : std::uint8_t {
  kNoConfiguration,
  kNoRoute,
  kNoTarget,
  kNoRoom,
  kTargetsRefused,
  kNotSent,
  kTimedOutWaiting,
  kTimedOutRunning,
  kAnswerLost,
};
std::string_view NameOf(ConclusionReason reason);

enum class ConclusionKind : std::uint8_t {
  /// The request has not run and never will; the caller may repeat it.
  kNotRun,
  /// The request may have run.
  kMayHaveRun,
  /// The request may have run, and the time for it is over.
  kTimedOut,
  /// No route allows the request.
  kNoRoute,
};

/// An answer of the system's own, in place of a target's.
struct Conclusion {
  ConclusionKind kind = ConclusionKind::kNotRun;
  ConclusionReason reason = ConclusionReason::kNoTarget;
  /// When a repeat is likely to be served; only with kNotRun.
  base::Duration retry_after{};
};

}  // namespace mangonotch::steering
