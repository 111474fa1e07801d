// Why an entry host did not give a caller the answer of a target; one counter for each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangonotch::traffic {

enum class RefusalReason : std::uint8_t {
  kNoTable,         // No table revision is in force on this host yet.
  kNoService,       // The table has no such service.
  kBadRequest,      // A header or parameter cannot be read.
  kDeadlinePassed,  // From here the reasons of the gate.
  kExpectedWait,
  kQueueFull,
  kNoTarget,
  kCallerGone,  // The caller closed its connection while it waited.
  kTicketRequired,
  kTicketMalformed,
  kTicketVoid,
  kTicketExpired,
  kTicketMismatch,
  kTicketNotIssued,
  kTicketForgotten,
  kTicketIssuerGone,
  kTicketsFull,
  kAnswerNotKept,
  kOutcomeUnknown,    // The request was written and no whole answer came back.
  kTargetsFailed,     // All attempts that were allowed failed.
  kRetryBudget,       // A repeat would have been safe, but the retry budget was used up.
  kMismatchedAnswer,  // The answer carries the identifier of another request.
  kLeaving,           // This host is stopping.
  kMoveCap,           // The cap on work moved between regions is reached.
};
inline constexpr std::size_t kRefusalReasons = 24;

/// Label for counters and the header Mangonotch-Reason, such as "no-table".
std::string_view Name(RefusalReason reason);

/// Why a failed attempt was repeated at another target.
enum class RetryReason : std::uint8_t {
  kNotSent,  // No byte was written: connect refused or timed out, or the grant had lapsed.
  kFailed,   // An idempotent request got no whole answer.
  kShed,     // The target refused an idempotent request with 503.
};
inline constexpr std::size_t kRetryReasons = 3;
std::string_view Name(RetryReason reason);

}  // namespace mangonotch::traffic
