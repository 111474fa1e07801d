// Disjoint address ranges in sorted arrays: compact, and searched without allocation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace mangonotch::topology {

/// A location is a position in the client map's list of locations.
inline constexpr std::uint16_t kNoLocation = std::numeric_limits<std::uint16_t>::max();

/// A block within `Start`'s number of bits.
template <typename Start>
struct Block {
  Start first;
  std::uint8_t length;
  std::uint16_t location;
};

/// A range ends where the next one starts.
template <typename Start>
struct Range {
  Start start;
  std::uint16_t location;
};

/// Turns nested blocks into ranges, sorted by start, of which the first starts at zero. Of equal
/// blocks the later one counts. Empty for no blocks.
template <typename Start>
std::vector<Range<Start>> Flatten(std::vector<Block<Start>> blocks);

template <typename Start>
class RangeTable {
 public:
  RangeTable() = default;
  /// `ranges` as Flatten returns them.
  explicit RangeTable(std::span<const Range<Start>> ranges);

  std::uint16_t Find(Start key) const;
  std::size_t bytes() const;

 private:
  std::vector<Start> starts_;
  std::vector<std::uint16_t> locations_;
  /// For each value of the top 16 bits, the first range whose start is at or above it.
  std::vector<std::uint32_t> index_;
};

/// Blocks longer than 64 bits: ranges of the lower half for each upper half that has such blocks.
class LongPrefixTable {
 public:
  struct LongBlock {
    std::uint64_t high;
    /// Length and address within the lower half.
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

  /// The first range of each upper half starts at zero.
  std::vector<Start> starts_;
  std::vector<std::uint16_t> locations_;
};

}  // namespace mangonotch::topology
