// A ticket allows one request to run once, at the incarnation of the entry host that issued it.
// Its text is `host.incarnation.serial.expiry.tag` (design, section 5): incarnation and tag have 16
// lower-case hexadecimal digits, serial and expiry are decimal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "ticket/keyed_hash.h"

namespace mangonotch::ticket {

inline constexpr std::size_t kMaxHostBytes = 64;
/// Host, two numbers of 16 hexadecimal digits, two of up to 20 decimal digits, four dots.
inline constexpr std::size_t kMaxTextBytes = kMaxHostBytes + 16 + 16 + 20 + 20 + 4;

struct Ticket {
  base::HostId host;
  base::Incarnation incarnation = 0;
  /// Counts the tickets of one incarnation from 1.
  std::uint64_t serial = 0;
  /// Milliseconds since 1970, for the caller's information; the issuer uses its monotonic clock.
  std::uint64_t expiry_unix_ms = 0;
  /// Keyed hash of all other fields with the issuer's secret, so that a guessed or altered ticket
  /// is refused.
  std::uint64_t tag = 0;

  bool operator==(const Ticket&) const = default;
};

enum class ParseError : std::uint8_t {
  kTooLong,
  kTooFewFields,
  kBadHost,
  kBadIncarnation,
  kBadSerial,
  kBadExpiry,
  kBadTag,
};

/// True for 1 to `kMaxHostBytes` ASCII letters, digits, `-`, `_` and `.`.
bool IsHostName(std::string_view host);

std::string Format(const Ticket& ticket);

/// Accepts exactly the texts that Format returns, so that each ticket has only one text. Does not
/// verify the tag; the issuer's Register does.
std::variant<Ticket, ParseError> Parse(std::string_view text);

std::string_view ToString(ParseError error);

/// Returns the tag for the other fields of `ticket`, computed with `secret`.
std::uint64_t MakeTag(const Ticket& ticket, const Secret& secret);

}  // namespace mangonotch::ticket
