// An IP address with a port: "127.0.0.1:7000" or "[::1]:7000".
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/ip_address.h"

namespace mangonotch::base {

struct Endpoint {
  IpAddress address;
  std::uint16_t port = 0;

  constexpr bool operator==(const Endpoint&) const = default;
};

/// Returns std::nullopt if `text` is not an endpoint or the port is 0.
constexpr std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t n = text.rfind(':');
  if (n == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, n);
  std::string_view port_text = text.substr(n + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const auto address = ParseIpAddress(host);
  const auto port = internal::TakeNumber(port_text, 10, 5);
  if (!address || address->is_v4 == bracketed || !port || !port_text.empty() || *port == 0 ||
      *port > 65535) {
    return std::nullopt;
  }
  return Endpoint{*address, static_cast<std::uint16_t>(*port)};
}

}  // namespace mangonotch::base
