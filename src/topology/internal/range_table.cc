// The tables are built in one pass over the sorted blocks, with a stack of the blocks that enclose
// the current address.
#include "topology/range_table.h"

#include <algorithm>
#include <tuple>

namespace mangonotch::topology {
namespace {

constexpr std::size_t kIndexSize = (1U << 16U) + 1;

template <typename Start>
constexpr int kStartBits = std::numeric_limits<Start>::digits;

template <typename Start>
constexpr Start kLastAddress = std::numeric_limits<Start>::max();

template <typename Start>
Start LastOf(const Block<Start>& block) {
  if (block.length >= kStartBits<Start>) return block.first;
  return block.first | static_cast<Start>(kLastAddress<Start> >> block.length);
}

/// Appends a range, replacing one with the same start, unless the range before it has the same
/// location.
template <typename Start>
void Append(std::vector<Range<Start>>& ranges, Start start, std::uint16_t location) {
  if (!ranges.empty() && ranges.back().start == start) ranges.pop_back();
  if (ranges.empty() || ranges.back().location != location) ranges.push_back({start, location});
}

}  // namespace

template <typename Start>
std::vector<Range<Start>> Flatten(std::vector<Block<Start>> blocks) {
  std::vector<Range<Start>> ranges;
  if (blocks.empty()) return ranges;
  std::stable_sort(blocks.begin(), blocks.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.length) < std::tie(b.first, b.length);
  });
  Append<Start>(ranges, 0, kNoLocation);
  std::vector<Block<Start>> enclosing;
  const auto close_innermost = [&] {
    const Start last = LastOf(enclosing.back());
    enclosing.pop_back();
    if (last == kLastAddress<Start>) return;
    Append<Start>(ranges, last + 1, enclosing.empty() ? kNoLocation : enclosing.back().location);
  };
  for (const auto& block : blocks) {
    while (!enclosing.empty() && LastOf(enclosing.back()) < block.first) close_innermost();
    Append<Start>(ranges, block.first, block.location);
    enclosing.push_back(block);
  }
  while (!enclosing.empty()) close_innermost();
  return ranges;
}

template std::vector<Range<std::uint32_t>> Flatten(std::vector<Block<std::uint32_t>>);
template std::vector<Range<std::uint64_t>> Flatten(std::vector<Block<std::uint64_t>>);

template <typename Start>
RangeTable<Start>::RangeTable(std::span<const Range<Start>> ranges) {
  if (ranges.empty()) return;
  starts_.reserve(ranges.size());
  locations_.reserve(ranges.size());
  for (const auto& range : ranges) {
    starts_.push_back(range.start);
    locations_.push_back(range.location);
  }
  index_.resize(kIndexSize);
  std::uint32_t position = 0;
  for (std::size_t top = 0; top + 1 < kIndexSize; ++top) {
    const Start bound = static_cast<Start>(top) << (kStartBits<Start> - 16);
    while (position < starts_.size() && starts_[position] < bound) ++position;
    index_[top] = position;
  }
  index_.back() = static_cast<std::uint32_t>(starts_.size());
}

template <typename Start>
std::uint16_t RangeTable<Start>::Find(Start key) const {
  if (starts_.empty()) return kNoLocation;
  const auto top = static_cast<std::size_t>(key >> (kStartBits<Start> - 16));
  const auto begin = starts_.begin() + index_[top];
  const auto end = starts_.begin() + index_[top + 1];
  const auto it = std::upper_bound(begin, end, key);
  return locations_[static_cast<std::size_t>(it - starts_.begin()) - 1];
}

template <typename Start>
std::size_t RangeTable<Start>::bytes() const {
  return starts_.capacity() * sizeof(Start) + locations_.capacity() * sizeof(std::uint16_t) +
         index_.capacity() * sizeof(std::uint32_t);
}

template class RangeTable<std::uint32_t>;
template class RangeTable<std::uint64_t>;

LongPrefixTable::LongPrefixTable(std::vector<LongBlock> blocks) {
  std::stable_sort(blocks.begin(), blocks.end(),
                   [](const auto& a, const auto& b) { return a.high < b.high; });
  for (auto it = blocks.begin(); it != blocks.end();) {
    const std::uint64_t high = it->high;
    std::vector<Block<std::uint64_t>> same_high;
    for (; it != blocks.end() && it->high == high; ++it) same_high.push_back(it->low);
    for (const auto& range : Flatten(std::move(same_high))) {
      starts_.push_back({high, range.start});
      locations_.push_back(range.location);
    }
  }
  starts_.shrink_to_fit();
  locations_.shrink_to_fit();
}

std::uint16_t LongPrefixTable::Find(std::uint64_t high, std::uint64_t low) const {
  const auto it = std::upper_bound(starts_.begin(), starts_.end(), Start{high, low});
  if (it == starts_.begin() || std::prev(it)->high != high) return kNoLocation;
  return locations_[static_cast<std::size_t>(it - starts_.begin()) - 1];
}

std::size_t LongPrefixTable::bytes() const {
  return starts_.capacity() * sizeof(Start) + locations_.capacity() * sizeof(std::uint16_t);
}

}  // namespace mangonotch::topology
