// Identifies the slots of one work class of one target.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <tuple>

#include "base/ids.h"

namespace mangonotch::shares {

struct LineKey {
  base::TargetKey target;
  base::WorkClass work_class = base::WorkClass::kShort;

  bool operator==(const LineKey&) const = default;
  // Not defaulted: clang 14 treats the zero in a defaulted operator<=> as a null pointer.
  std::strong_ordering operator<=>(const LineKey& other) const {
    return std::tie(target, work_class) <=> std::tie(other.target, other.work_class);
  }
};

inline constexpr std::array<base::WorkClass, base::kWorkClasses> kAllClasses = {
    base::WorkClass::kShort, base::WorkClass::kLong};

constexpr std::size_t ClassIndex(base::WorkClass c) { return static_cast<std::size_t>(c); }

}  // namespace mangonotch::shares
