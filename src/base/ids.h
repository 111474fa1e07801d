// Identifiers shared by the core modules. Positions are indexes into one table revision; keys are
// stable across revisions.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/hash.h"

namespace mangonotch::base {

/// Position of an entry in one table revision; `Tag` makes each kind a distinct type.
template <typename Tag>
struct Position {
  std::uint32_t value = 0;
  constexpr bool operator==(const Position&) const = default;
  // Not defaulted: clang 14 treats the zero in a defaulted operator<=> as a null pointer.
  constexpr std::strong_ordering operator<=>(const Position& other) const {
    return value <=> other.value;
  }
};

using ServiceIndex = Position<struct ServiceTag>;
using RegionIndex = Position<struct RegionTag>;
using ZoneIndex = Position<struct ZoneTag>;
using TargetIndex = Position<struct TargetTag>;

/// A 64-bit hash of a name; the checks of a table reject two names with the same key.
template <typename Tag>
struct Key {
  std::uint64_t value = 0;
  constexpr bool operator==(const Key&) const = default;
  // Not defaulted: clang 14 treats the zero in a defaulted operator<=> as a null pointer.
  constexpr std::strong_ordering operator<=>(const Key& other) const {
    return value <=> other.value;
  }
};

using ServiceKey = Key<struct ServiceKeyTag>;
using TargetKey = Key<struct TargetKeyTag>;

constexpr ServiceKey MakeServiceKey(std::string_view service) { return {Hash(service)}; }
constexpr TargetKey MakeTargetKey(std::string_view service, std::string_view address) {
  return {Hash(address, Hash(service))};
}

/// Random number that distinguishes one run of a host's process from the next.
using Incarnation = std::uint64_t;
/// Term number of a region's coordinator; incremented with each change of the lease holder.
using Epoch = std::uint64_t;
/// Revision of the operators' table; increases with each accepted edit.
using Revision = std::uint64_t;
/// Name of an entry host, from its settings.
using HostId = std::string;

/// Short work and long-running work never share slots, connections or queue places.
enum class WorkClass : std::uint8_t { kShort = 0, kLong = 1 };
inline constexpr std::size_t kWorkClasses = 2;

}  // namespace mangonotch::base
