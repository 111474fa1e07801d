// Reasons for which the server refuses a request before any handler sees it; one counter for each.
#pragma once

#include <cstddef>
#include <string_view>

namespace mangonotch::http {

enum class Refusal {
  kNone,
  kBadLength,           // 400: Content-Length repeated or not a number.
  kTransferEncoding,    // 501: any Transfer-Encoding, also next to a Content-Length.
  kLengthRequired,      // 411: POST, PUT or PATCH without Content-Length.
  kBodyTooLarge,        // 413
  kUrlTooLong,          // 414
  kBadUrl,              // 400: empty, not absolute or with control characters.
  kUnknownMethod,       // 501
  kBadHost,             // 400: Host missing on HTTP/1.1, or repeated.
  kUnknownExpectation,  // 417: Expect with another value than 100-continue.
  kStopping,            // 503: the server is stopping and takes no new request.
};
inline constexpr std::size_t kRefusals = 11;

/// Label for counters, such as "body-too-large".
std::string_view Name(Refusal refusal);
/// Status code of the answer; 200 for kNone.
unsigned StatusOf(Refusal refusal);

}  // namespace mangonotch::http
