// Maps client addresses to their home region and zone by longest prefix match. Built once per table
// revision and immutable afterwards.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "topology/address.h"
#include "topology/range_table.h"

namespace mangonotch::topology {

/// Home region and zone of a client.
struct Location {
  base::RegionIndex region;
  base::ZoneIndex zone;

  bool operator==(const Location&) const = default;
};

struct ClientBlock {
  Prefix prefix;
  Location location;
};

struct ClientBlockText {
  std::string_view cidr;
  Location location;
};

class ClientMap {
 public:
  ClientMap() = default;
  /// If a prefix occurs more than once, the last block is used. Throws base::Error if there are
  /// more than 65,535 distinct locations.
  explicit ClientMap(std::span<const ClientBlock> blocks);
  /// The same for blocks as text. Also throws base::Error, with the text of the block, at the first
  /// block that cannot be parsed.
  explicit ClientMap(std::span<const ClientBlockText> blocks);

  /// Returns the location of the most specific block that contains the address; nullopt if there is
  /// none.
  std::optional<Location> Find(const Address& address) const;

  /// Heap memory used, in bytes.
  std::size_t bytes() const;

 private:
  void Build(std::span<const ClientBlock> blocks);

  std::vector<Location> locations_;
  RangeTable<std::uint32_t> v4_;
  /// IPv6 blocks with prefixes of at most 64 bits, by the upper half of the address.
  RangeTable<std::uint64_t> v6_;
  /// IPv6 blocks with longer prefixes; searched first, as they are more specific than those in
  /// `v6_`.
  LongPrefixTable long_v6_;
};

}  // namespace mangonotch::topology
