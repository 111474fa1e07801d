// Building flattens nested prefixes into disjoint ranges, so that a look-up is one indexed search.
#include "topology/client_map.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

#include "base/error.h"

namespace mangonotch::topology {
namespace {

constexpr std::uint16_t kNoLocation = std::numeric_limits<std::uint16_t>::max();
constexpr std::size_t kIndexSize = (1U << 16U) + 1;

template <typename Start>
constexpr int kStartBits = std::numeric_limits<Start>::digits;

template <typename Start>
struct Block {
  Start first;
  Start last;
  std::uint8_t length;
  std::uint16_t location;
};

template <typename Start>
Block<Start> MakeBlock(const Prefix& prefix, std::uint16_t location) {
  const auto first = static_cast<Start>(prefix.address.high >> (64 - kStartBits<Start>));
  const Start mask =
      prefix.length >= kStartBits<Start> ? 0 : std::numeric_limits<Start>::max() >> prefix.length;
  return {first, static_cast<Start>(first | mask), prefix.length, location};
}

/// Appends the start of a range, merging it with a neighbour of the same location.
template <typename Start>
void Append(std::vector<typename RangeTable<Start>::Range>& ranges, Start start,
            std::uint16_t location) {
  if (!ranges.empty() && ranges.back().start == start) ranges.pop_back();
  if (ranges.empty() || ranges.back().location != location) ranges.push_back({start, location});
}

template <typename Start>
RangeTable<Start> Flatten(std::vector<Block<Start>> blocks) {
  if (blocks.empty()) return {};
  std::stable_sort(blocks.begin(), blocks.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.length) < std::tie(b.first, b.length);
  });
  std::vector<typename RangeTable<Start>::Range> ranges;
  Append<Start>(ranges, 0, kNoLocation);
  std::vector<Block<Start>> enclosing;
  const auto close_innermost = [&] {
    const Start last = enclosing.back().last;
    enclosing.pop_back();
    if (last == std::numeric_limits<Start>::max()) return;
    const bool is_covered = !enclosing.empty() && enclosing.back().last > last;
    if (is_covered) Append<Start>(ranges, last + 1, enclosing.back().location);
    if (enclosing.empty()) Append<Start>(ranges, last + 1, kNoLocation);
  };
  for (const auto& block : blocks) {
    while (!enclosing.empty() && enclosing.back().last < block.first) close_innermost();
    Append<Start>(ranges, block.first, block.location);
    enclosing.push_back(block);
  }
  while (!enclosing.empty()) close_innermost();
  return RangeTable<Start>(ranges);
}

bool Contains(const Prefix& prefix, const Address& address) {
  const int low_bits = prefix.length - 64;
  const std::uint64_t mask = low_bits >= 64 ? ~0ULL : ~(~0ULL >> low_bits);
  return prefix.address.high == address.high && (address.low & mask) == prefix.address.low;
}

}  // namespace

template <typename Start>
RangeTable<Start>::RangeTable(std::span<const Range> ranges) {
  starts_.reserve(ranges.size());
  locations_.reserve(ranges.size());
  for (const Range& range : ranges) {
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

ClientMap::ClientMap(std::span<const ClientBlock> blocks) { Build(blocks); }

ClientMap::ClientMap(std::span<const ClientBlockText> blocks) {
  std::vector<ClientBlock> parsed;
  parsed.reserve(blocks.size());
  for (const ClientBlockText& block : blocks) {
    const auto prefix = ParsePrefix(block.cidr);
    if (!prefix) {
      throw base::Error("read client blocks", "",
                        "not an address block: " + std::string(block.cidr));
    }
    parsed.push_back({*prefix, block.location});
  }
  Build(parsed);
}

void ClientMap::Build(std::span<const ClientBlock> blocks) {
  std::map<Location, std::uint16_t> positions;
  std::vector<Block<std::uint32_t>> v4;
  std::vector<Block<std::uint64_t>> v6;
  for (const ClientBlock& block : blocks) {
    const auto [it, is_new] =
        positions.try_emplace(block.location, static_cast<std::uint16_t>(locations_.size()));
    if (is_new) locations_.push_back(block.location);
    if (locations_.size() >= kNoLocation) {
      throw base::Error("read client blocks", "", "more than 65,534 locations");
    }
    const bool is_long = block.prefix.address.is_v6 && block.prefix.length > 64;
    if (is_long) {
      long_v6_.push_back(block);
    } else if (block.prefix.address.is_v6) {
      v6.push_back(MakeBlock<std::uint64_t>(block.prefix, it->second));
    } else {
      v4.push_back(MakeBlock<std::uint32_t>(block.prefix, it->second));
    }
  }
  v4_ = Flatten(std::move(v4));
  v6_ = Flatten(std::move(v6));
  std::reverse(long_v6_.begin(), long_v6_.end());
  std::stable_sort(long_v6_.begin(), long_v6_.end(),
                   [](const auto& a, const auto& b) { return a.prefix.length > b.prefix.length; });
}

std::optional<Location> ClientMap::Find(const Address& address) const {
  if (address.is_v6) {
    for (const ClientBlock& block : long_v6_) {
      if (Contains(block.prefix, address)) return block.location;
    }
  }
  const std::uint16_t position = address.is_v6
                                     ? v6_.Find(address.high)
                                     : v4_.Find(static_cast<std::uint32_t>(address.high >> 32));
  if (position == kNoLocation) return std::nullopt;
  return locations_[position];
}

std::size_t ClientMap::bytes() const {
  return locations_.capacity() * sizeof(Location) + v4_.bytes() + v6_.bytes() +
         long_v6_.capacity() * sizeof(ClientBlock);
}

}  // namespace mangonotch::topology
