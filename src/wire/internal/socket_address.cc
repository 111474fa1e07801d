// Conversions between the system's addresses, the endpoint of the core and its text.
#include "wire/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <cstring>

#include "base/error.h"

namespace mangonotch::wire {

SocketAddress::SocketAddress() : length_(sizeof(sockaddr_in)) { address_.ss_family = AF_INET; }

SocketAddress::SocketAddress(const sockaddr_storage& address, socklen_t length)
    : address_(address), length_(length) {}

SocketAddress::SocketAddress(const base::Endpoint& endpoint) {
  const auto& bytes = endpoint.address.bytes;
  if (endpoint.address.is_v4) {
    sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(endpoint.port);
    // The last four bytes hold the IPv4 address.
    std::memcpy(&v4.sin_addr, bytes.data() + bytes.size() - sizeof(v4.sin_addr),
                sizeof(v4.sin_addr));
    std::memcpy(&address_, &v4, sizeof(v4));
    length_ = sizeof(v4);
    return;
  }
  sockaddr_in6 v6{};
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(endpoint.port);
  std::memcpy(&v6.sin6_addr, bytes.data(), sizeof(v6.sin6_addr));
  std::memcpy(&address_, &v6, sizeof(v6));
  length_ = sizeof(v6);
}

SocketAddress SocketAddress::Parse(std::string_view text) {
  constexpr std::string_view kAnyPort = ":0";
  const bool any_port = text.ends_with(kAnyPort);
  // base::ParseEndpoint refuses port 0, so the address is read with another port in its place.
  const std::string with_port =
      any_port ? std::string(text.substr(0, text.size() - kAnyPort.size())) + ":1"
               : std::string(text);
  auto endpoint = base::ParseEndpoint(with_port);
  if (!endpoint) {
    throw base::Error("read address", std::string(text),
                      "expected ip:port or [ip]:port with an IP number");
  }
  if (any_port) {
    endpoint->port = 0;
  }
  return SocketAddress(*endpoint);
}

std::string SocketAddress::ToString() const {
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

std::uint16_t SocketAddress::port() const {
  // The port is at the same place for both families.
  sockaddr_in v4{};
  std::memcpy(&v4, &address_, sizeof(v4));
  return ntohs(v4.sin_port);
}

bool SocketAddress::operator==(const SocketAddress& other) const {
  return family() == other.family() && ToString() == other.ToString();
}

}  // namespace mangonotch::wire
