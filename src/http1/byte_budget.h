// A number of bytes that several connections of one thread may use together.
#pragma once

#include <cstddef>

namespace mangonotch::http1 {

class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : limit_(limit) {}

  /// Returns false, and reserves nothing, if fewer than `n` + `spare` bytes are left.
  bool TryReserve(std::size_t n, std::size_t spare = 0) {
    const std::size_t left = limit_ - used_;
    if (n > left || spare > left - n) return false;
    used_ += n;
    return true;
  }
  /// `n` must have been reserved.
  void Release(std::size_t n) { used_ -= n; }
  std::size_t used() const { return used_; }
  std::size_t limit() const { return limit_; }

 private:
  std::size_t limit_;
  /// Never more than `limit_`.
  std::size_t used_ = 0;
};

}  // namespace mangonotch::http1
