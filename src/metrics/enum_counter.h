// Counters for the values of an enumeration, such as the reasons of refusals and retries: one
// metric with the value's name as a label.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "metrics/registry.h"

namespace mangonotch::metrics {

template <typename Enum>
class EnumCounter {
 public:
  using NameOf = std::string_view (*)(Enum);

  /// `values` holds every enumerator, in order from 0 without gaps, so that each one is exported
  /// with the value 0 before it first occurs.
  EnumCounter(Registry& registry, std::string_view name, std::string_view help,
              std::string_view label, std::span<const Enum> values, NameOf name_of) {
    for (const Enum value : values) {
      counters_.push_back(registry.AddCounter(name, help, {{label, name_of(value)}}));
    }
  }

  void Add(Enum value) { counters_[static_cast<std::size_t>(value)].Add(); }
  double Value(Enum value) const { return counters_[static_cast<std::size_t>(value)].Value(); }

 private:
  /// Indexed by the enumerator's numeric value.
  std::vector<Counter> counters_;
};

}  // namespace mangonotch::metrics
