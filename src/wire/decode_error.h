// Why bytes from a peer or a value of the store were refused.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace mangonotch::wire {

enum class DecodeReason : std::uint8_t {
  kTooShort,
  kTooLong,
  kWrongMagic,
  kWrongVersion,
  kUnknownKind,
  kTruncated,
  kTrailingBytes,
  kTooManyEntries,
  kStringTooLong,
  /// A value outside its type's range, or an envelope that contradicts its message.
  kBadValue,
  kBadJson,
  /// A field of a record is missing, unknown, repeated or of the wrong type.
  kBadField,
};

/// Name of the reason in metrics, such as `wrong-magic`.
std::string_view ToString(DecodeReason reason);

class DecodeError : public base::Error {
 public:
  explicit DecodeError(DecodeReason reason, const std::string& detail = {},
                       std::string step = "decode message", std::string peer = {});

  DecodeReason reason() const { return reason_; }

 private:
  DecodeReason reason_;
};

}  // namespace mangonotch::wire
