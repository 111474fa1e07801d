// Names the slots of one class of one target.
#pragma once

#include <array>
#include <compare>
#include <cstddef>

#include "base/ids.h"

namespace mangonotch::shares {

struct LineKey {
  base::TargetKey target;
  base::WorkClass work_class = base::WorkClass::kShort;

  auto operator<=>(const LineKey&) const = default;
};

inline constexpr std::array<base::WorkClass, base::kWorkClasses> kAllClasses = {
    base::WorkClass::kShort, base::WorkClass::kLong};

constexpr std::size_t ClassIndex(base::WorkClass c) { return static_cast<std::size_t>(c); }

}  // namespace mangonotch::shares
