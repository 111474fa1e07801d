// A base::Endpoint in the form that the system's socket calls take, with port 0 for binding.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "base/endpoint.h"

namespace mangonotch::wire {

class SocketAddress {
 public:
  /// 0.0.0.0:0
  SocketAddress();
  explicit SocketAddress(const base::Endpoint& endpoint);
  SocketAddress(const sockaddr_storage& address, socklen_t length);

  /// Reads `ip:port`, for IPv6 `[ip]:port`. Throws base::Error on anything else; names are not
  /// looked up. Unlike base::ParseEndpoint it accepts port 0, for which bind takes any free port.
  static SocketAddress Parse(std::string_view text);

  std::string ToString() const;
  std::uint16_t port() const;
  int family() const { return address_.ss_family; }
  const sockaddr* address() const { return reinterpret_cast<const sockaddr*>(&address_); }
  socklen_t length() const { return length_; }

  bool operator==(const SocketAddress& other) const;

 private:
  sockaddr_storage address_{};
  socklen_t length_ = 0;
};

}  // namespace mangonotch::wire
