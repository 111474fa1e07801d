// Parsing of addresses by way of base::ParseIpAddress, and validation of prefixes.
#include "topology/address.h"

#include <charconv>
#include <system_error>

#include "base/ip_address.h"

namespace mangonotch::topology {
namespace {

constexpr std::uint8_t kV4Bits = 32;
constexpr std::uint8_t kV6Bits = 128;
/// Prefix of IPv4-mapped IPv6 addresses, by which dual-stack sockets represent IPv4 clients.
constexpr std::string_view kMappedPrefix = "::ffff:";

std::uint64_t HalfOf(const base::IpAddress& address, std::size_t first) {
  std::uint64_t bits = 0;
  for (std::size_t i = first; i < first + 8; ++i) bits = bits << 8 | address.bytes[i];
  return bits;
}

std::optional<std::uint8_t> ParseLength(std::string_view text, std::uint8_t max) {
  std::uint8_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size() || n > max) return std::nullopt;
  return n;
}

bool HasHostBits(const Address& address, std::uint8_t length) {
  if (length >= 64) return length < kV6Bits && (address.low << (length - 64)) != 0;
  return (address.high << length) != 0 || address.low != 0;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const bool is_mapped_text =
      text.starts_with(kMappedPrefix) && text.find('.') != std::string_view::npos;
  if (is_mapped_text) text.remove_prefix(kMappedPrefix.size());
  const auto parsed = base::ParseIpAddress(text);
  if (!parsed) return std::nullopt;
  const Address address{.is_v6 = true, .high = HalfOf(*parsed, 0), .low = HalfOf(*parsed, 8)};
  const bool is_mapped = address.high == 0 && address.low >> 32 == 0xffff;
  if (is_mapped) return Address{.is_v6 = false, .high = address.low << 32, .low = 0};
  return address;
}

std::optional<Prefix> ParsePrefix(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto address = ParseAddress(text.substr(0, slash));
  if (!address) return std::nullopt;
  const auto length = ParseLength(text.substr(slash + 1), address->is_v6 ? kV6Bits : kV4Bits);
  if (!length) return std::nullopt;
  const Prefix prefix{.address = *address, .length = *length};
  if (HasHostBits(prefix.address, prefix.length)) return std::nullopt;
  return prefix;
}

}  // namespace mangonotch::topology
