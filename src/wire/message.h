// The messages that travel between peers in one datagram.
#pragma once

#include <cstdint>
#include <variant>

#include "base/ids.h"
#include "membership/host_ref.h"
#include "membership/messages.h"
#include "shares/messages.h"

namespace mangonotch::wire {

/// The order gives each kind its number on the wire; new kinds go to the end.
using Message = std::variant<shares::Heartbeat, shares::HeartbeatReply, shares::PromiseRequest,
                             shares::Promise, membership::Announcement, membership::RegionSummary>;

/// A message and what its envelope says.
struct Packet {
  /// Counts the packets of one incarnation; lets the receiver drop repeated and reordered ones.
  std::uint64_t sequence = 0;
  Message message;

  bool operator==(const Packet&) const = default;
};

const membership::HostRef& SenderOf(const Message& message);

}  // namespace mangonotch::wire
