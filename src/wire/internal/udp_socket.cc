// Waits in poll for the socket and for the wake-up descriptor.
#include "wire/udp_socket.h"

#include <array>
#include <cerrno>

#include "wire/internal/system.h"

namespace mangonotch::wire {

UdpSocket::UdpSocket(const SocketAddress& address)
    : fd_(internal::OpenSocket(address, SOCK_DGRAM, "open peer socket")) {
  internal::Bind(fd_, address, "bind peer socket");
  local_ = internal::LocalAddress(fd_);
}

bool UdpSocket::Send(const SocketAddress& to, std::span<const std::byte> bytes) const {
  const auto n =
      sendto(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL, to.address(), to.length());
  if (n >= 0) {
    return true;
  }
  // A full buffer, or the late ICMP answer to an earlier datagram.
  if (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS || errno == ECONNREFUSED) {
    return false;
  }
  internal::ThrowSystemError("send datagram", to.ToString());
}

Received UdpSocket::Receive(std::span<std::byte> buf, base::Instant deadline) const {
  std::array<pollfd, 2> fds{pollfd{wake_up_.fd(), POLLIN, 0}, pollfd{fd_.get(), POLLIN, 0}};
  Received received;
  if (internal::PollUntil(fds, deadline) == 0) {
    return received;
  }
  if (fds[0].revents != 0) {
    wake_up_.Clear();
    received.event = ReceiveEvent::kWoken;
    return received;
  }
  sockaddr_storage from{};
  socklen_t length = sizeof(from);
  const auto n = recvfrom(fd_.get(), buf.data(), buf.size(), MSG_TRUNC,
                          reinterpret_cast<sockaddr*>(&from), &length);
  if (n < 0) {
    // A datagram with a wrong checksum is dropped between poll and here.
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == ECONNREFUSED || errno == EINTR) {
      return received;
    }
    internal::ThrowSystemError("receive datagram", local_.ToString());
  }
  received.from = SocketAddress(from, length);
  const auto size = static_cast<std::size_t>(n);
  received.event = size > buf.size() ? ReceiveEvent::kOversized : ReceiveEvent::kDatagram;
  if (received.event == ReceiveEvent::kDatagram) {
    received.bytes = buf.first(size);
  }
  return received;
}

}  // namespace mangonotch::wire
