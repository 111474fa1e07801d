// An IPv4 or IPv6 address and its text form, without the system's resolver.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace mangonotch::base {

struct IpAddress {
  /// IPv4 addresses are stored as ::ffff:a.b.c.d, so that one comparison serves both families.
  std::array<std::uint8_t, 16> bytes{};
  bool is_v4 = false;

  constexpr bool operator==(const IpAddress&) const = default;
  constexpr bool operator<(const IpAddress& other) const {
    return is_v4 != other.is_v4 ? is_v4 : bytes < other.bytes;
  }
};

namespace internal {

/// Consumes digits of `base` at the front of `text`. Returns std::nullopt for no digits, more than
/// `max_digits`, or a decimal number with a superfluous leading zero.
constexpr std::optional<std::uint32_t> TakeNumber(std::string_view& text, std::uint32_t base,
                                                  std::size_t max_digits) {
  std::uint32_t n = 0;
  std::size_t digits = 0;
  while (digits < text.size()) {
    const char c = text[digits];
    std::uint32_t digit = base;
    if (c >= '0' && c <= '9') {
      digit = static_cast<std::uint32_t>(c - '0');
    } else if (c >= 'a' && c <= 'f') {
      digit = static_cast<std::uint32_t>(c - 'a') + 10;
    } else if (c >= 'A' && c <= 'F') {
      digit = static_cast<std::uint32_t>(c - 'A') + 10;
    }
    if (digit >= base) {
      break;
    }
    if (++digits > max_digits) {
      return std::nullopt;
    }
    n = n * base + digit;
  }
  if (digits == 0 || (base == 10 && digits > 1 && text.front() == '0')) {
    return std::nullopt;
  }
  text.remove_prefix(digits);
  return n;
}

constexpr std::optional<IpAddress> ParseV4(std::string_view text) {
  IpAddress address;
  address.is_v4 = true;
  address.bytes[10] = 0xff;
  address.bytes[11] = 0xff;
  for (std::size_t i = 0; i < 4; ++i) {
    if (i > 0) {
      if (text.empty() || text.front() != '.') {
        return std::nullopt;
      }
      text.remove_prefix(1);
    }
    const auto n = TakeNumber(text, 10, 3);
    if (!n || *n > 255) {
      return std::nullopt;
    }
    address.bytes[12 + i] = static_cast<std::uint8_t>(*n);
  }
  return text.empty() ? std::optional(address) : std::nullopt;
}

/// Parses up to `max` groups on one side of "::". Returns their count, or std::nullopt on an error.
constexpr std::optional<std::size_t> ParseGroups(std::string_view text, std::uint16_t* groups,
                                                 std::size_t max) {
  std::size_t n = 0;
  while (!text.empty()) {
    if (n == max) {
      return std::nullopt;
    }
    const auto group = TakeNumber(text, 16, 4);
    if (!group) {
      return std::nullopt;
    }
    groups[n++] = static_cast<std::uint16_t>(*group);
    if (text.empty()) {
      break;
    }
    if (text.front() != ':' || text.size() == 1) {
      return std::nullopt;
    }
    text.remove_prefix(1);
  }
  return n;
}

constexpr std::optional<IpAddress> ParseV6(std::string_view text) {
  std::array<std::uint16_t, 8> head{};
  std::array<std::uint16_t, 8> tail{};
  const std::size_t gap = text.find("::");
  const bool has_gap = gap != std::string_view::npos;
  const auto n = ParseGroups(text.substr(0, gap), head.data(), 8);
  const auto m = ParseGroups(has_gap ? text.substr(gap + 2) : "", tail.data(), 8);
  if (!n || !m || (has_gap ? *n + *m > 7 : *n != 8)) {
    return std::nullopt;
  }
  IpAddress address;
  for (std::size_t i = 0; i < 8; ++i) {
    const std::uint16_t group = i < *n ? head[i] : i >= 8 - *m ? tail[i + *m - 8] : 0;
    address.bytes[2 * i] = static_cast<std::uint8_t>(group >> 8);
    address.bytes[2 * i + 1] = static_cast<std::uint8_t>(group & 0xff);
  }
  return address;
}

}  // namespace internal

/// Returns std::nullopt if `text` is invalid. IPv6 with a dotted-decimal tail or scope is rejected.
constexpr std::optional<IpAddress> ParseIpAddress(std::string_view text) {
  return text.find(':') == std::string_view::npos ? internal::ParseV4(text)
                                                  : internal::ParseV6(text);
}

}  // namespace mangonotch::base
