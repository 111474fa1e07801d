// Parses a duration written as a number with the unit `ms` or `s`: "1500ms", "2.5s".
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/duration.h"

namespace mangonotch::base {

/// Returns std::nullopt for any other text and for numbers above 1e9 (about 31 years in seconds).
inline std::optional<Duration> ParseDuration(std::string_view text) {
  constexpr double kMaxNumber = 1e9;
  double n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || !(n >= 0) || n > kMaxNumber) return std::nullopt;
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  if (unit == "ms") return Duration::Nanoseconds(static_cast<std::int64_t>(n * 1e6));
  if (unit == "s") return Duration::Nanoseconds(static_cast<std::int64_t>(n * 1e9));
  return std::nullopt;
}

}  // namespace mangonotch::base
