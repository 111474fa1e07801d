// Maps client addresses to their home region and zone by longest prefix match. Built once per table
// revision, then read only.
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

/// Home of a client.
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
  /// Of two blocks with the same prefix the later one counts. Throws base::Error when there are
  /// more than 65,534 distinct locations.
  explicit ClientMap(std::span<const ClientBlock> blocks);
  /// Throws base::Error that names the first block whose text cannot be parsed.
  explicit ClientMap(std::span<const ClientBlockText> blocks);

  /// Home of the most specific block that contains the address; empty when none does.
  std::optional<Location> Find(const Address& address) const;

  /// Bytes of heap memory in use.
  std::size_t bytes() const;

 private:
  void Build(std::span<const ClientBlock> blocks);

  std::vector<Location> locations_;
  RangeTable<std::uint32_t> v4_;
  /// IPv6 blocks of at most 64 bits, by the upper half of the address.
  RangeTable<std::uint64_t> v6_;
  /// Longer IPv6 blocks: looked up first, as they are more specific than those in `v6_`.
  LongPrefixTable long_v6_;
};

}  // namespace mangonotch::topology
