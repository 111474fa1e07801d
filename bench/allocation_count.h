// Counts heap allocations of the program, so that a benchmark can show that a decision makes none.
#pragma once

#include <cstdint>

namespace mangonotch::bench {

/// Allocations since the start of the program.
std::uint64_t AllocationCount();

}  // namespace mangonotch::bench
