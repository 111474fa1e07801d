// A point in time on the monotonic clock of one process. The I/O layer reads the clock and passes
// instants to the core.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>

#include "base/duration.h"

namespace mangonotch::base {

class Instant {
 public:
  constexpr Instant() = default;
  static constexpr Instant FromNanoseconds(std::int64_t n) { return Instant(n); }
  static constexpr Instant Never() { return Instant(std::numeric_limits<std::int64_t>::max()); }

  constexpr std::int64_t nanoseconds() const { return nanoseconds_; }

  constexpr bool operator==(const Instant&) const = default;
  // Not defaulted: clang-tidy 14 treats the zero in a defaulted operator<=> as a null pointer.
  constexpr std::strong_ordering operator<=>(const Instant& other) const {
    return nanoseconds_ <=> other.nanoseconds_;
  }
  constexpr Instant operator+(Duration d) const { return Instant(nanoseconds_ + d.nanoseconds()); }
  constexpr Instant operator-(Duration d) const { return Instant(nanoseconds_ - d.nanoseconds()); }
  constexpr Duration operator-(Instant other) const {
    return Duration::Nanoseconds(nanoseconds_ - other.nanoseconds_);
  }

 private:
  explicit constexpr Instant(std::int64_t n) : nanoseconds_(n) {}

  std::int64_t nanoseconds_ = 0;
};

}  // namespace mangonotch::base
