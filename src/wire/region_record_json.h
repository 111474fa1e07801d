// The value of the store key region/<r> as JSON text, so that operators can read it. Incarnations
// are 16 hexadecimal digits, since many tools round JSON numbers over 2^53.
#pragma once

#include <string>
#include <string_view>

#include "shares/messages.h"

namespace mangonotch::wire {

/// Throws base::Error when the record is over a bound of wire/limits.h.
std::string EncodeRecord(const shares::RegionRecord& record);

/// Accepts exactly the fields that EncodeRecord writes, in any order. Throws DecodeError, which
/// names the field at fault.
shares::RegionRecord DecodeRecord(std::string_view text);

}  // namespace mangonotch::wire
