// IP addresses and prefixes of the client map, with parsers for their text representation.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace mangonotch::topology {

/// An IPv4 or IPv6 address. The bits are left-aligned: an IPv4 address is the top half of `high`,
/// so that prefixes of both families are handled in the same way.
struct Address {
  bool is_v6 = false;
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const Address&) const = default;
};

/// An address block in CIDR notation. The host bits of `address`, those after the first `length`,
/// are zero.
struct Prefix {
  Address address;
  std::uint8_t length = 0;

  bool operator==(const Prefix&) const = default;
};

/// Parses dotted IPv4 or IPv6 text; an IPv4-mapped IPv6 address ("::ffff:1.2.3.4") becomes the IPv4
/// address. Returns nullopt for anything else.
std::optional<Address> ParseAddress(std::string_view text);

/// Parses "address/length". Returns nullopt for malformed text and for blocks with host bits set.
std::optional<Prefix> ParsePrefix(std::string_view text);

}  // namespace mangonotch::topology
