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

namespace mangonotch::topology {

/// Home of a client.
struct Location {
  base::RegionIndex region;
  base::ZoneIndex zone;

  auto operator<=>(const Location&) const = default;
};

struct ClientBlock {
  Prefix prefix;
  Location location;
};

struct ClientBlockText {
  std::string_view cidr;
  Location location;
};

/// Disjoint ranges sorted by start. A range ends where the next one starts.
template <typename Start>
class RangeTable {
 public:
  struct Range {
    Start start;
    std::uint16_t location;
  };

  RangeTable() = default;
  /// `ranges` are sorted by start and begin at zero, or are empty.
  explicit RangeTable(std::span<const Range> ranges);

  /// Position of the location, or `kNoLocation`.
  std::uint16_t Find(Start key) const;
  std::size_t bytes() const;

 private:
  std::vector<Start> starts_;
  std::vector<std::uint16_t> locations_;
  /// For each value of the top 16 bits, the first range whose start is at or above it.
  std::vector<std::uint32_t> index_;
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
  /// Longer IPv6 blocks, sorted by length (longest first), then address.
  std::vector<ClientBlock> long_v6_;
};

}  // namespace mangonotch::topology
