// Text form of addresses, by the C library's number conversions only.
#include "wire/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstring>

#include "base/error.h"

namespace mangonotch::wire {
namespace {

[[noreturn]] void Refuse(std::string_view text, const char* detail) {
  throw base::Error("read address", std::string(text), detail);
}

}  // namespace

Endpoint::Endpoint() : length_(sizeof(sockaddr_in)) { address_.ss_family = AF_INET; }

Endpoint::Endpoint(const sockaddr_storage& address, socklen_t length)
    : address_(address), length_(length) {}

Endpoint Endpoint::Parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    Refuse(text, "expected ip:port");
  }
  const auto port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* end = port_text.data() + port_text.size();
  const auto [it, ec] = std::from_chars(port_text.data(), end, port);
  if (ec != std::errc() || it != end) {
    Refuse(text, "expected a port from 0 to 65535 after the last colon");
  }
  auto host = text.substr(0, colon);
  Endpoint endpoint;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    const std::string ip(host.substr(1, host.size() - 2));
    sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    if (inet_pton(AF_INET6, ip.c_str(), &v6.sin6_addr) != 1) {
      Refuse(text, "expected an IPv6 number in the brackets");
    }
    std::memcpy(&endpoint.address_, &v6, sizeof(v6));
    endpoint.length_ = sizeof(v6);
    return endpoint;
  }
  sockaddr_in v4{};
  v4.sin_family = AF_INET;
  v4.sin_port = htons(port);
  if (inet_pton(AF_INET, std::string(host).c_str(), &v4.sin_addr) != 1) {
    Refuse(text, "expected an IPv4 number or an IPv6 number in brackets before the port");
  }
  std::memcpy(&endpoint.address_, &v4, sizeof(v4));
  return endpoint;
}

std::string Endpoint::ToString() const {
  std::array<char, INET6_ADDRSTRLEN> buf{};
  if (family() == AF_INET6) {
    sockaddr_in6 v6{};
    std::memcpy(&v6, &address_, sizeof(v6));
    inet_ntop(AF_INET6, &v6.sin6_addr, buf.data(), buf.size());
    return "[" + std::string(buf.data()) + "]:" + std::to_string(port());
  }
  sockaddr_in v4{};
  std::memcpy(&v4, &address_, sizeof(v4));
  inet_ntop(AF_INET, &v4.sin_addr, buf.data(), buf.size());
  return std::string(buf.data()) + ":" + std::to_string(port());
}

std::uint16_t Endpoint::port() const {
  // The port is at the same place for both families.
  sockaddr_in v4{};
  std::memcpy(&v4, &address_, sizeof(v4));
  return ntohs(v4.sin_port);
}

bool Endpoint::operator==(const Endpoint& other) const {
  return family() == other.family() && ToString() == other.ToString();
}

}  // namespace mangonotch::wire
