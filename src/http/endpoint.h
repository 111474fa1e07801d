// IP address and port of a peer.
#pragma once

#include <charconv>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace mangonotch::http {

struct Endpoint {
  std::string address;  // IPv4 or IPv6 by number; names are not resolved.
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  /// Reads "ip:port" or "[ip]:port". Throws base::Error for anything else.
  static Endpoint Parse(std::string_view text) {
    const std::size_t n = text.rfind(':');
    std::string_view ip = text.substr(0, n);
    if (ip.starts_with('[') && ip.ends_with(']')) ip = ip.substr(1, ip.size() - 2);
    Endpoint endpoint{std::string(ip), 0};
    const char* end = text.data() + text.size();
    const char* begin = n == std::string_view::npos ? end : text.data() + n + 1;
    const auto [stop, ec] = std::from_chars(begin, end, endpoint.port);
    if (ec != std::errc() || stop != end || ip.empty()) {
      throw base::Error("read address", "", "expected ip:port, found '" + std::string(text) + "'");
    }
    return endpoint;
  }

  std::string Text() const {
    const bool v6 = address.find(':') != std::string::npos;
    return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
  }
};

}  // namespace mangonotch::http
