// Percent-encoding and query parameters.
#include "http/url.h"

#include <charconv>

namespace mangonotch::http {
namespace {

bool IsUnreserved(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
         c == '.' || c == '_' || c == '~';
}

std::string Encode(std::string_view text, std::string_view also_allowed) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    if (IsUnreserved(c) || also_allowed.find(c) != std::string_view::npos) {
      out += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      out += {'%', kDigits[byte >> 4], kDigits[byte & 0xf]};
    }
  }
  return out;
}

}  // namespace

std::optional<std::string> Decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    const std::string_view hex = text.substr(i + 1, 2);
    unsigned byte = 0;
    const auto [end, ec] = std::from_chars(hex.data(), hex.data() + hex.size(), byte, 16);
    if (hex.size() != 2 || ec != std::errc() || end != hex.data() + 2) {
      return std::nullopt;
    }
    out += static_cast<char>(byte);
    i += 2;
  }
  return out;
}

std::string EncodeComponent(std::string_view text) { return Encode(text, ""); }

std::string EncodePath(std::string_view path) { return Encode(path, "/!$&'()*+,;=:@"); }

std::optional<std::string> QueryParameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(pair.size() == query.size() ? pair.size() : pair.size() + 1);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return Decode(equals == std::string_view::npos ? "" : pair.substr(equals + 1));
    }
  }
  return std::nullopt;
}

}  // namespace mangonotch::http
