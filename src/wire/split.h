// Splits messages that are too large for one datagram into several that each stand by themselves:
// every part has the fields of the whole, and each line is in exactly one part.
#pragma once

#include <vector>

#include "membership/messages.h"
#include "shares/messages.h"

namespace mangonotch::wire {

/// One part at least, also without lines. All parts have the sequence of the whole; each needs its
/// own envelope sequence.
std::vector<shares::Heartbeat> SplitHeartbeat(const shares::Heartbeat& message);
std::vector<shares::HeartbeatReply> SplitReply(const shares::HeartbeatReply& message);
std::vector<membership::RegionSummary> SplitSummary(const membership::RegionSummary& message);
std::vector<membership::Announcement> SplitAnnouncement(const membership::Announcement& message);

}  // namespace mangonotch::wire
