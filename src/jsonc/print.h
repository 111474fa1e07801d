// Prints a value as JSON. Arrays and objects that fit on a line stay on it, so that a table of
// targets reads as a table.
#pragma once

#include <string>

#include "jsonc/value.h"

namespace mangonotch::jsonc {

/// Ends with a line break. Text that is no valid UTF-8 is printed with replacement characters.
std::string Print(const Value& value);

/// Prints on one line without a line break.
std::string PrintCompact(const Value& value);

}  // namespace mangonotch::jsonc
