// A datagram socket that one thread receives on and any thread sends with.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "base/instant.h"
#include "wire/file_descriptor.h"
#include "wire/socket_address.h"
#include "wire/wake_up.h"

namespace mangonotch::wire {

enum class ReceiveEvent : std::uint8_t {
  kDatagram,
  /// A datagram larger than the buffer was dropped.
  kOversized,
  kTimeout,
  kWoken,
};

struct Received {
  ReceiveEvent event = ReceiveEvent::kTimeout;
  /// Set with kDatagram and kOversized.
  SocketAddress from;
  /// Part of the caller's buffer; set with kDatagram.
  std::span<const std::byte> bytes;
};

class UdpSocket {
 public:
  /// Throws base::Error, also when another process has the address: it is never shared, since a new
  /// incarnation at an address attests that the old one is gone (design, section 6).
  explicit UdpSocket(const SocketAddress& address);

  /// The address bound; tells the port when port 0 was asked for.
  const SocketAddress& local() const { return local_; }

  /// Throws base::Error when the system refuses the datagram. A datagram that finds the send buffer
  /// full is lost, as any may be on its way; false then.
  bool Send(const SocketAddress& to, std::span<const std::byte> bytes) const;

  /// Sleeps until a datagram or a call of Wake arrives or `deadline` (of CLOCK_BOOTTIME) passes;
  /// Never() sleeps without limit. A datagram that waits is returned also after the deadline.
  Received Receive(std::span<std::byte> buf, base::Instant deadline) const;

  /// Ends the present or the next call of Receive with kWoken; may be called from any thread.
  void Wake() const { wake_up_.Signal(); }

 private:
  FileDescriptor fd_;
  SocketAddress local_;
  WakeUp wake_up_;
};

}  // namespace mangonotch::wire
