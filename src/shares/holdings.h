// The slots of one region that this host holds: which ones it may use now, and what it reports.
//
// Replies are applied in the order of epoch and sequence. A reply to a heartbeat that was sent
// before this host had seen the reply's epoch can lower holdings but not raise them: the new
// coordinator may have answered an old heartbeat, and the host may have given the slots back since.
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
struct SlotsInUse {
  base::TargetKey target;
  base::WorkClass work_class = base::WorkClass::kShort;
  std::uint16_t slots = 0;
};

class Holdings {
 public:
  /// Sets `sequence`, `epoch`, `applied` and `holdings` of the next heartbeat and records `now` as
  /// its send time. `in_use` must have been counted after the traffic threads adopted GrantsInForce
  /// of the last reply; otherwise a slot could be used after it was reported as given back.
  void FillHeartbeat(std::span<const SlotsInUse> in_use, base::Instant now, Heartbeat& heartbeat);

  /// Returns true if the reply was applied, false if it is stale, repeated or unknown.
  bool OnReply(const HeartbeatReply& reply, base::Instant now);

  /// Grants with slots and a deadline after `now`, ordered by target and class. The span is valid
  /// until the next call of any member function.
  std::span<const Grant> GrantsInForce(base::Instant now);

  base::Epoch epoch() const { return epoch_; }

 private:
  /// Covers replies that arrive 16 s late at the shortest heartbeat interval.
  static constexpr std::size_t kMaxSentHeartbeats = 32;

  struct HeldSlots {
    std::uint16_t slots = 0;
    base::Instant deadline;
  };

  struct SentHeartbeat {
    std::uint64_t sequence = 0;
    base::Instant at;
  };

  static std::uint16_t InForce(const HeldSlots& line, base::Instant now) {
    return now < line.deadline ? line.slots : 0;
  }
  void ApplyGrant(const GrantLine& grant, base::Instant deadline, bool may_raise,
                  base::Instant now);

  base::Epoch epoch_ = 0;
  std::uint64_t applied_ = 0;
  std::uint64_t sequence_ = 0;
  /// Sequence of the first heartbeat that carries `epoch_`.
  std::uint64_t first_sequence_of_epoch_ = 1;
  std::array<SentHeartbeat, kMaxSentHeartbeats> sent_heartbeats_;
  std::map<LineKey, HeldSlots> lines_;
  std::vector<Grant> in_force_;
};

}  // namespace mangonotch::shares
