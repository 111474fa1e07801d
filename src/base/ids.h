// Identifiers that core modules share. Positions are indexes into one table revision; keys are
// stable across revisions.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/hash.h"

namespace mangonotch::base {

/// Position of an entry in one table revision; `Tag` keeps the kinds apart.
template <typename Tag>
struct Position {
  std::uint32_t value = 0;
  constexpr bool operator==(const Position&) const = default;
  // Written out, since clang 14 takes the zero in a defaulted operator<=> for a null pointer.
  constexpr std::strong_ordering operator<=>(const Position& other) const {
    return value <=> other.value;
  }
};

using ServiceIndex = Position<struct ServiceTag>;
using RegionIndex = Position<struct RegionTag>;
using ZoneIndex = Position<struct ZoneTag>;
using TargetIndex = Position<struct TargetTag>;

/// A 64-bit key made from a name; table checks refuse two names with one key.
template <typename Tag>
struct Key {
  std::uint64_t value = 0;
  constexpr bool operator==(const Key&) const = default;
  // Written out, since clang 14 takes the zero in a defaulted operator<=> for a null pointer.
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

/// Random number that tells one run of a host's process from the next.
using Incarnation = std::uint64_t;
/// Term number of a region's coordinator; grows by one with each change of holder.
using Epoch = std::uint64_t;
/// Revision of the operators' table; grows with each accepted edit.
using Revision = std::uint64_t;
/// Name of an entry host, from its settings.
using HostId = std::string;

/// Short work and long-running work never share slots, connections or queue places.
enum class WorkClass : std::uint8_t { kShort = 0, kLong = 1 };
inline constexpr std::size_t kWorkClasses = 2;

}  // namespace mangonotch::base
