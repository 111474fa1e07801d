// Text and tag of a ticket. Fields are split off from the right, since host names may contain dots.
#include "ticket/ticket.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace mangonotch::ticket {
namespace {

constexpr std::size_t kHexDigits = 16;

bool IsHostCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  const bool digits = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  if (text.size() != kHexDigits || !digits) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  // With leading zeros, one number would have several texts.
  if (text.empty() || (text.size() > 1 && text.front() == '0')) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || it != end) {
    return std::nullopt;
  }
  return value;
}

void AppendHex(std::string& out, std::uint64_t value) {
  std::array<char, kHexDigits> digits;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
  const auto n = static_cast<std::size_t>(end - digits.data());
  out.append(kHexDigits - n, '0');
  out.append(digits.data(), n);
}

/// Removes the part after the last dot from `text` and returns it; nullopt when there is no dot.
std::optional<std::string_view> TakeLastField(std::string_view& text) {
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto field = text.substr(dot + 1);
  text = text.substr(0, dot);
  return field;
}

}  // namespace

bool IsHostName(std::string_view host) {
  return !host.empty() && host.size() <= kMaxHostBytes &&
         std::all_of(host.begin(), host.end(), IsHostCharacter);
}

std::string Format(const Ticket& ticket) {
  std::string text;
  text.reserve(kMaxTextBytes);
  text += ticket.host;
  text += '.';
  AppendHex(text, ticket.incarnation);
  text += '.';
  text += std::to_string(ticket.serial);
  text += '.';
  text += std::to_string(ticket.expiry_unix_ms);
  text += '.';
  AppendHex(text, ticket.tag);
  return text;
}

std::variant<Ticket, ParseError> Parse(std::string_view text) {
  if (text.size() > kMaxTextBytes) {
    return ParseError::kTooLong;
  }
  const auto tag_text = TakeLastField(text);
  const auto expiry_text = TakeLastField(text);
  const auto serial_text = TakeLastField(text);
  const auto incarnation_text = TakeLastField(text);
  if (!incarnation_text) {
    return ParseError::kTooFewFields;
  }
  if (!IsHostName(text)) {
    return ParseError::kBadHost;
  }
  const auto incarnation = ParseHex(*incarnation_text);
  if (!incarnation) {
    return ParseError::kBadIncarnation;
  }
  const auto serial = ParseDecimal(*serial_text);
  if (!serial) {
    return ParseError::kBadSerial;
  }
  const auto expiry = ParseDecimal(*expiry_text);
  if (!expiry) {
    return ParseError::kBadExpiry;
  }
  const auto tag = ParseHex(*tag_text);
  if (!tag) {
    return ParseError::kBadTag;
  }
  return Ticket{base::HostId(text), *incarnation, *serial, *expiry, *tag};
}

std::string_view ToString(ParseError error) {
  switch (error) {
    case ParseError::kTooLong:
      return "ticket too long";
    case ParseError::kTooFewFields:
      return "ticket has too few fields";
    case ParseError::kBadHost:
      return "ticket host is malformed";
    case ParseError::kBadIncarnation:
      return "ticket incarnation is malformed";
    case ParseError::kBadSerial:
      return "ticket serial is malformed";
    case ParseError::kBadExpiry:
      return "ticket expiry is malformed";
    case ParseError::kBadTag:
      return "ticket tag is malformed";
  }
  return "ticket is malformed";
}

std::uint64_t MakeTag(const Ticket& ticket, const Secret& secret) {
  KeyedHash hash(secret);
  hash.AddField(ticket.host);
  hash.Add(ticket.incarnation);
  hash.Add(ticket.serial);
  hash.Add(ticket.expiry_unix_ms);
  return hash.Finish();
}

}  // namespace mangonotch::ticket
