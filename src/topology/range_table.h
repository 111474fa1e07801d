// Lookup tables of disjoint address ranges in sorted arrays, which are compact and searched without
// allocation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace mangonotch::topology {

/// Marks ranges without a location. Locations are indices into the client map's list of locations.
inline constexpr std::uint16_t kNoLocation = std::numeric_limits<std::uint16_t>::max();

/// An address block; `length` is the prefix length within the bits of `Start`.
template <typename Start>
struct Block {
  Start first;
  std::uint8_t length;
  std::uint16_t location;
};

/// A range ends before the start of the next one.
template <typename Start>
struct Range {
  Start start;
  std::uint16_t location;
};

/// Converts possibly nested blocks to ranges sorted by start, the first of which starts at zero. If
/// a block occurs more than once, the last one is used. Returns no ranges for no blocks.
template <typename Start>
std::vector<Range<Start>> Flatten(std::vector<Block<Start>> blocks);

template <typename Start>
class RangeTable {
 public:
  RangeTable() = default;
  /// `ranges` must be as returned by Flatten.
  explicit RangeTable(std::span<const Range<Start>> ranges);

  std::uint16_t Find(Start key) const;
  std::size_t bytes() const;

 private:
  std::vector<Start> starts_;
  std::vector<std::uint16_t> locations_;
  /// For each value of the top 16 bits, the first range that starts at or after the lowest address
  /// with these bits; then the number of ranges.
  std::vector<std::uint32_t> index_;
};

/// Lookup table of IPv6 blocks with prefixes of more than 64 bits: for each upper half of an
/// address that has such blocks, the ranges of the lower half.
class LongPrefixTable {
 public:
  struct LongBlock {
    std::uint64_t high;
    /// Address and prefix length within the lower half.
    Block<std::uint64_t> low;
  };

  LongPrefixTable() = default;
  explicit LongPrefixTable(std::vector<LongBlock> blocks);

  std::uint16_t Find(std::uint64_t high, std::uint64_t low) const;
  std::size_t bytes() const;

 private:
  struct Start {
    std::uint64_t high;
    std::uint64_t low;
    bool operator<(const Start& other) const {
      return high < other.high || (high == other.high && low < other.low);
    }
  };

  /// Sorted. The first range of each upper half starts at a lower half of zero.
  std::vector<Start> starts_;
  std::vector<std::uint16_t> locations_;
};

}  // namespace mangonotch::topology
