// Assigns blocks to lookup tables by address family and prefix length.
#include "topology/client_map.h"

#include <map>
#include <string>
#include <utility>

#include "base/error.h"

namespace mangonotch::topology {
namespace {

constexpr const char* kStep = "read client blocks";
constexpr std::uint8_t kHalfBits = 64;

/// Makes locations usable as map keys.
struct LocationLess {
  bool operator()(const Location& a, const Location& b) const {
    return std::pair(a.region.value, a.zone.value) < std::pair(b.region.value, b.zone.value);
  }
};

std::uint32_t V4Bits(const Address& address) {
  return static_cast<std::uint32_t>(address.high >> 32);
}

}  // namespace

ClientMap::ClientMap(std::span<const ClientBlock> blocks) { Build(blocks); }

ClientMap::ClientMap(std::span<const ClientBlockText> blocks) {
  std::vector<ClientBlock> parsed;
  parsed.reserve(blocks.size());
  for (const ClientBlockText& block : blocks) {
    const auto prefix = ParsePrefix(block.cidr);
    if (!prefix) {
      throw base::Error(kStep, "", "invalid CIDR block: " + std::string(block.cidr));
    }
    parsed.push_back({*prefix, block.location});
  }
  Build(parsed);
}

void ClientMap::Build(std::span<const ClientBlock> blocks) {
  std::map<Location, std::uint16_t, LocationLess> positions;
  std::vector<Block<std::uint32_t>> v4;
  std::vector<Block<std::uint64_t>> v6;
  std::vector<LongPrefixTable::LongBlock> long_v6;
  for (const ClientBlock& block : blocks) {
    const auto [it, is_new] =
        positions.try_emplace(block.location, static_cast<std::uint16_t>(locations_.size()));
    if (is_new) locations_.push_back(block.location);
    if (locations_.size() > kNoLocation) throw base::Error(kStep, "", "more than 65,535 locations");
    const auto& [address, length] = block.prefix;
    if (!address.is_v6) {
      v4.push_back({V4Bits(address), length, it->second});
    } else if (length <= kHalfBits) {
      v6.push_back({address.high, length, it->second});
    } else {
      const auto low_length = static_cast<std::uint8_t>(length - kHalfBits);
      long_v6.push_back({address.high, {address.low, low_length, it->second}});
    }
  }
  v4_ = RangeTable<std::uint32_t>(Flatten(std::move(v4)));
  v6_ = RangeTable<std::uint64_t>(Flatten(std::move(v6)));
  long_v6_ = LongPrefixTable(std::move(long_v6));
}

std::optional<Location> ClientMap::Find(const Address& address) const {
  std::uint16_t position = kNoLocation;
  if (address.is_v6) {
    position = long_v6_.Find(address.high, address.low);
    if (position == kNoLocation) position = v6_.Find(address.high);
  } else {
    position = v4_.Find(V4Bits(address));
  }
  if (position == kNoLocation) return std::nullopt;
  return locations_[position];
}

std::size_t ClientMap::bytes() const {
  return locations_.capacity() * sizeof(Location) + v4_.bytes() + v6_.bytes() + long_v6_.bytes();
}

}  // namespace mangonotch::topology
