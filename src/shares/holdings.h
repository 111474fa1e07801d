// The slots of one region that this host holds: what it may use now, and what it reports.
//
// Replies are applied in the order of epoch and sequence. A reply to a heartbeat that was sent
// before this host had seen the reply's epoch lowers holdings but never raises them: the new
// coordinator may have answered an old heartbeat, and the slots may have been given back since.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "base/instant.h"
#include "shares/line_key.h"
#include "shares/messages.h"
#include "shares/timing.h"

namespace mangonotch::shares {

/// Slots that may be used until the deadline.
struct Grant {
  base::TargetKey target;
  base::WorkClass work_class = base::WorkClass::kShort;
  std::uint16_t slots = 0;
  base::Instant deadline;
};

/// Requests in flight on a target.
struct InUse {
  base::TargetKey target;
  base::WorkClass work_class = base::WorkClass::kShort;
  std::uint16_t slots = 0;
};

class Holdings {
 public:
  /// Sets sequence, epoch, applied and holdings of the next heartbeat and stores `now` as the
  /// instant of its sending. `in_use` must have been counted after the traffic threads had taken
  /// over GrantsInForce of the last reply, so that no slot is reported as given back and then used.
  void FillHeartbeat(std::span<const InUse> in_use, base::Instant now, Heartbeat& heartbeat);

  /// Returns true when the reply was applied, false when it is stale, repeated or unknown.
  bool OnReply(const HeartbeatReply& reply, base::Instant now);

  /// Lines with slots and a deadline after `now`, ordered by target and class; valid until the next
  /// call of any member function.
  std::span<const Grant> GrantsInForce(base::Instant now);

  base::Epoch epoch() const { return epoch_; }

 private:
  /// Enough for replies that come 16 s late at the shortest interval.
  static constexpr std::size_t kSentKept = 32;

  struct Line {
    std::uint16_t slots = 0;
    base::Instant deadline;
  };

  struct Sent {
    std::uint64_t sequence = 0;
    base::Instant at;
  };

  static std::uint16_t InForce(const Line& line, base::Instant now) {
    return now < line.deadline ? line.slots : 0;
  }
  void Apply(const GrantLine& grant, base::Instant deadline, bool may_raise, base::Instant now);

  base::Epoch epoch_ = 0;
  std::uint64_t applied_ = 0;
  std::uint64_t sequence_ = 0;
  /// Sequence of the first heartbeat that told the coordinator of `epoch_` that it is known here.
  std::uint64_t first_of_epoch_ = 1;
  std::array<Sent, kSentKept> sent_;
  std::map<LineKey, Line> lines_;
  std::vector<Grant> in_force_;
};

}  // namespace mangonotch::shares
