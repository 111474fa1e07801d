// Formats a value as JSON. Arrays and objects that fit on one line are printed on one line, so that
// a list of targets has one target per line.
#pragma once

#include <string>

#include "jsonc/value.h"

namespace mangonotch::jsonc {

/// The result ends with a line break. Invalid UTF-8 is printed as replacement characters.
std::string Print(const Value& value);

/// Formats on one line, without a line break at the end.
std::string PrintCompact(const Value& value);

}  // namespace mangonotch::jsonc
