// IP address and port of a peer.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace mangonotch::http {

struct Endpoint {
  std::string address;  // IPv4 or IPv6 by number; names are not resolved.
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  std::string Text() const {
    const bool v6 = address.find(':') != std::string::npos;
    return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
  }
};

}  // namespace mangonotch::http
