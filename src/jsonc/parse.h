// Parses JSON with // and /* */ comments.
#pragma once

#include <cstddef>
#include <string_view>

#include "jsonc/fault.h"
#include "jsonc/value.h"

namespace mangonotch::jsonc {

struct Limits {
  std::size_t max_bytes = 1'000'000;
  /// Maximum nesting of arrays and objects. Bounds the recursion when a value is printed or
  /// destroyed.
  int max_depth = 32;
};

/// `file` is the name of the text in faults. Throws FaultError on syntax errors, duplicate member
/// names, trailing text, and texts over a limit.
Value Parse(std::string_view text, std::string_view file, const Limits& limits = {});

}  // namespace mangonotch::jsonc
