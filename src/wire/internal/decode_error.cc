// Names of the reasons for refusal.
#include "wire/decode_error.h"

#include <utility>

namespace mangonotch::wire {

std::string_view ToString(DecodeReason reason) {
  switch (reason) {
    case DecodeReason::kTooShort:
      return "too-short";
    case DecodeReason::kTooLong:
      return "too-long";
    case DecodeReason::kWrongMagic:
      return "wrong-magic";
    case DecodeReason::kWrongVersion:
      return "wrong-version";
    case DecodeReason::kUnknownKind:
      return "unknown-kind";
    case DecodeReason::kTruncated:
      return "truncated";
    case DecodeReason::kTrailingBytes:
      return "trailing-bytes";
    case DecodeReason::kTooManyEntries:
      return "too-many-entries";
    case DecodeReason::kStringTooLong:
      return "string-too-long";
    case DecodeReason::kBadValue:
      return "bad-value";
    case DecodeReason::kBadJson:
      return "bad-json";
    case DecodeReason::kBadField:
      return "bad-field";
  }
  return "unknown";
}

DecodeError::DecodeError(DecodeReason reason, const std::string& detail, std::string step,
                         std::string peer)
    : Error(std::move(step), std::move(peer),
            std::string(ToString(reason)) + (detail.empty() ? "" : ": " + detail)),
      reason_(reason) {}

}  // namespace mangonotch::wire
