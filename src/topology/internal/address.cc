// Parsers for addresses and prefixes. They are written here because the C library's are in headers
// of sockets, which core modules do not include.
#include "topology/address.h"

#include <array>
#include <charconv>
#include <system_error>

namespace mangonotch::topology {
namespace {

constexpr std::size_t kGroups = 8;
constexpr std::uint8_t kV4Bits = 32;
constexpr std::uint8_t kV6Bits = 128;

std::optional<std::uint32_t> ParseNumber(std::string_view text, int base, std::size_t max_digits,
                                         std::uint32_t max) {
  if (text.empty() || text.size() > max_digits) return std::nullopt;
  std::uint32_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (ec != std::errc() || end != text.data() + text.size() || n > max) return std::nullopt;
  return n;
}

std::optional<std::uint32_t> ParseV4(std::string_view text) {
  std::uint32_t bits = 0;
  for (int i = 0; i < 4; ++i) {
    const std::size_t dot = i < 3 ? text.find('.') : text.size();
    if (dot == std::string_view::npos) return std::nullopt;
    const std::string_view part = text.substr(0, dot);
    const auto octet = ParseNumber(part, 10, 3, 255);
    // Some readers take a leading zero as octal, so such text is ambiguous.
    if (!octet || (part.size() > 1 && part.front() == '0')) return std::nullopt;
    bits = bits << 8 | *octet;
    text.remove_prefix(i < 3 ? dot + 1 : dot);
  }
  return bits;
}

/// Groups on one side of "::"; a dotted IPv4 tail counts as two. Returns the count.
std::optional<std::size_t> ParseGroups(std::string_view text, bool allow_v4,
                                       std::array<std::uint16_t, kGroups>& groups) {
  std::size_t n = 0;
  while (!text.empty()) {
    const std::size_t colon = text.find(':');
    const std::string_view part = text.substr(0, colon);
    const bool is_last = colon == std::string_view::npos;
    if (is_last && allow_v4 && part.find('.') != std::string_view::npos) {
      const auto v4 = ParseV4(part);
      if (!v4 || n + 2 > kGroups) return std::nullopt;
      groups[n++] = static_cast<std::uint16_t>(*v4 >> 16);
      groups[n++] = static_cast<std::uint16_t>(*v4);
      return n;
    }
    const auto group = ParseNumber(part, 16, 4, 0xffff);
    if (!group || n == kGroups) return std::nullopt;
    groups[n++] = static_cast<std::uint16_t>(*group);
    if (is_last) break;
    text.remove_prefix(colon + 1);
    if (text.empty()) return std::nullopt;
  }
  return n;
}

std::optional<Address> ParseV6(std::string_view text) {
  std::array<std::uint16_t, kGroups> front{};
  std::array<std::uint16_t, kGroups> back{};
  const std::size_t gap = text.find("::");
  const bool has_gap = gap != std::string_view::npos;
  const auto n = ParseGroups(text.substr(0, gap), !has_gap, front);
  const auto m = has_gap ? ParseGroups(text.substr(gap + 2), true, back) : 0;
  if (!n || !m || (has_gap ? *n + *m >= kGroups : *n != kGroups)) return std::nullopt;
  for (std::size_t i = 0; i < *m; ++i) front[kGroups - *m + i] = back[i];
  Address address{.is_v6 = true};
  for (std::size_t i = 0; i < 4; ++i) address.high = address.high << 16 | front[i];
  for (std::size_t i = 4; i < kGroups; ++i) address.low = address.low << 16 | front[i];
  const bool is_mapped_v4 = address.high == 0 && address.low >> 32 == 0xffff;
  if (is_mapped_v4) return Address{.is_v6 = false, .high = address.low << 32, .low = 0};
  return address;
}

bool HasBitsPast(const Address& address, std::uint8_t length) {
  if (length >= 64) return length < kV6Bits && (address.low << (length - 64)) != 0;
  return (address.high << length) != 0 || address.low != 0;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  if (text.find(':') != std::string_view::npos) return ParseV6(text);
  const auto v4 = ParseV4(text);
  if (!v4) return std::nullopt;
  return Address{.is_v6 = false, .high = static_cast<std::uint64_t>(*v4) << 32, .low = 0};
}

std::optional<Prefix> ParsePrefix(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto address = ParseAddress(text.substr(0, slash));
  if (!address) return std::nullopt;
  const auto length =
      ParseNumber(text.substr(slash + 1), 10, 3, address->is_v6 ? kV6Bits : kV4Bits);
  if (!length) return std::nullopt;
  const Prefix prefix{.address = *address, .length = static_cast<std::uint8_t>(*length)};
  if (HasBitsPast(prefix.address, prefix.length)) return std::nullopt;
  return prefix;
}

}  // namespace mangonotch::topology
