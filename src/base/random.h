// A small, seeded random generator (SplitMix64) for decisions that tests must be able to reproduce.
#pragma once

#include <cstdint>

#include "base/hash.h"

namespace mangonotch::base {

class Random {
 public:
  explicit constexpr Random(std::uint64_t seed) : state_(seed) {}

  constexpr std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    return Mix(state_);
  }

  /// Uniform in [0, n); `n` must not be zero.
  constexpr std::uint32_t Below(std::uint32_t n) {
    return static_cast<std::uint32_t>(
        (static_cast<std::uint64_t>(static_cast<std::uint32_t>(Next())) * n) >> 32);
  }

  /// Uniform in [0, 1).
  constexpr double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

 private:
  std::uint64_t state_;
};

}  // namespace mangonotch::base
