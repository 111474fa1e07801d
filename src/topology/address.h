// IP addresses and prefixes as the client map uses them, with parsers for their usual text forms.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace mangonotch::topology {

/// An IPv4 or IPv6 address. The bits are left-aligned: an IPv4 address is the top half of `high`,
/// so that prefixes of both families are handled alike.
struct Address {
  bool is_v6 = false;
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const Address&) const = default;
};

/// A block of addresses; bits of `address` past `length` are zero.
struct Prefix {
  Address address;
  std::uint8_t length = 0;

  bool operator==(const Prefix&) const = default;
};

/// Dotted IPv4 or IPv6 text ("::ffff:1.2.3.4" becomes the IPv4 address); empty for anything else.
std::optional<Address> ParseAddress(std::string_view text);

/// "address/length"; empty for malformed text and for blocks with bits set past the length.
std::optional<Prefix> ParsePrefix(std::string_view text);

}  // namespace mangonotch::topology
