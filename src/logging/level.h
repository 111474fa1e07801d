// Severity of a log line.
#pragma once

#include <cstdint>

namespace mangonotch::logging {

enum class Level : std::uint8_t { kDebug, kInfo, kWarning, kError };

}  // namespace mangonotch::logging
