// A span of time with nanosecond resolution, for core code that must not depend on a clock.
#pragma once

#include <compare>
#include <cstdint>

namespace mangonotch::base {

class Duration {
 public:
  constexpr Duration() = default;
  static constexpr Duration Nanoseconds(std::int64_t n) { return Duration(n); }
  static constexpr Duration Microseconds(std::int64_t n) { return Duration(n * 1'000); }
  static constexpr Duration Milliseconds(std::int64_t n) { return Duration(n * 1'000'000); }
  static constexpr Duration Seconds(std::int64_t n) { return Duration(n * 1'000'000'000); }

  constexpr std::int64_t nanoseconds() const { return nanoseconds_; }
  constexpr std::int64_t milliseconds() const { return nanoseconds_ / 1'000'000; }
  constexpr double seconds() const { return static_cast<double>(nanoseconds_) / 1e9; }

  constexpr bool operator==(const Duration&) const = default;
  // Not defaulted: clang-tidy 14 treats the zero in a defaulted operator<=> as a null pointer.
  constexpr std::strong_ordering operator<=>(const Duration& other) const {
    return nanoseconds_ <=> other.nanoseconds_;
  }
  constexpr Duration operator+(Duration other) const {
    return Duration(nanoseconds_ + other.nanoseconds_);
  }
  constexpr Duration operator-(Duration other) const {
    return Duration(nanoseconds_ - other.nanoseconds_);
  }
  constexpr Duration operator*(std::int64_t factor) const {
    return Duration(nanoseconds_ * factor);
  }
  constexpr Duration operator/(std::int64_t divisor) const {
    return Duration(nanoseconds_ / divisor);
  }

 private:
  explicit constexpr Duration(std::int64_t n) : nanoseconds_(n) {}

  std::int64_t nanoseconds_ = 0;
};

}  // namespace mangonotch::base
