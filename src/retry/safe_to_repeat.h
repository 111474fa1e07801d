// Decides whether a failed attempt may be retried without the risk of executing a non-idempotent
// request twice.
#pragma once

#include <cstdint>

namespace mangonotch::retry {

/// An attempt that ended without a complete answer from the target.
struct FailedAttempt {
  bool is_idempotent = false;
  /// The request carries an idempotency ticket and must be sent to a target at most once.
  bool is_ticketed = false;
  /// Upper bound of the request bytes that have left this process.
  std::uint64_t bytes_written = 0;
};

/// If nothing was written, the target has not seen the request and any request may be retried.
/// Otherwise only idempotent requests without a ticket may be.
constexpr bool IsSafeToRepeat(const FailedAttempt& attempt) {
  if (attempt.bytes_written == 0) return true;
  return attempt.is_idempotent && !attempt.is_ticketed;
}

}  // namespace mangonotch::retry
