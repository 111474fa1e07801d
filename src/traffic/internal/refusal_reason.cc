// Labels of refusal and retry reasons.
#include "traffic/refusal_reason.h"

#include <array>

namespace mangonotch::traffic {

std::string_view Name(RefusalReason reason) {
  static constexpr std::array<std::string_view, kRefusalReasons> kNames = {
      "no-table",        "no-service",        "bad-request",      "deadline-passed",
      "expected-wait",   "queue-full",        "no-target",        "caller-gone",
      "ticket-required", "ticket-malformed",  "ticket-void",      "ticket-expired",
      "ticket-mismatch", "ticket-not-issued", "ticket-forgotten", "ticket-issuer-gone",
      "tickets-full",    "answer-not-kept",   "outcome-unknown",  "targets-failed",
      "retry-budget",    "mismatched-answer", "leaving",          "move-cap"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::string_view Name(RetryReason reason) {
  static constexpr std::array<std::string_view, kRetryReasons> kNames = {"not-sent", "failed",
                                                                         "shed"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace mangonotch::traffic
