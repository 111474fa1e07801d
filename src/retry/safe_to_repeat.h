// Says whether a failed attempt may be repeated without running a request twice.
#pragma once

#include <cstdint>

namespace mangonotch::retry {

/// One attempt at a target that ended without a whole answer.
struct FailedAttempt {
  bool is_idempotent = false;
  /// The request runs under an idempotency ticket; its dispatch is sent once.
  bool is_ticketed = false;
  /// Bytes of the request that may have left this process.
  std::uint64_t bytes_written = 0;
};

/// Nothing written: the target has not seen the request, so any request may go to another target.
/// Otherwise only idempotent requests may, and never one that runs under a ticket.
constexpr bool IsSafeToRepeat(const FailedAttempt& attempt) {
  if (attempt.bytes_written == 0) return true;
  return attempt.is_idempotent && !attempt.is_ticketed;
}

}  // namespace mangonotch::retry
