// An IP address and port, with its text form `ip:port`, for IPv6 `[ip]:port`.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace mangonotch::wire {

class Endpoint {
 public:
  /// 0.0.0.0:0
  Endpoint();
  Endpoint(const sockaddr_storage& address, socklen_t length);

  /// Throws base::Error on anything but an IP number and a port; names are not looked up.
  static Endpoint Parse(std::string_view text);

  std::string ToString() const;
  std::uint16_t port() const;
  int family() const { return address_.ss_family; }
  const sockaddr* address() const { return reinterpret_cast<const sockaddr*>(&address_); }
  socklen_t length() const { return length_; }

  bool operator==(const Endpoint& other) const;

 private:
  sockaddr_storage address_{};
  socklen_t length_ = 0;
};

}  // namespace mangonotch::wire
