// The end of one request as its caller is told, before it becomes an HTTP answer.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "base/duration.h"
#include "http/response.h"
#include "traffic/refusal_reason.h"

namespace mangonotch::traffic {

enum class Outcome : std::uint8_t {
  kAnswered,  // The target's whole answer.
  kNotRun,    // Certainly not run; safe to repeat.
  kUnknown,   // May have run.
};

constexpr std::string_view Name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

struct Served {
  Outcome outcome = Outcome::kUnknown;
  /// Meaningful unless answered.
  RefusalReason reason = RefusalReason::kOutcomeUnknown;
  /// When a repeat may succeed; zero when waiting does not help.
  base::Duration retry_after;
  /// Status of a refusal; the whole answer of the target when answered.
  http::Response response;

  static Served Answered(http::Response response) {
    return {Outcome::kAnswered, {}, {}, std::move(response)};
  }
  static Served Refused(Outcome outcome, RefusalReason reason, unsigned status,
                        base::Duration retry_after = {}) {
    http::Response response;
    response.status = status;
    return {outcome, reason, retry_after, std::move(response)};
  }
};

}  // namespace mangonotch::traffic
