#include "shares/holdings.h"

#include <algorithm>

namespace mangonotch::shares {

void Holdings::FillHeartbeat(std::span<const SlotsInUse> in_use, base::Instant now,
                             Heartbeat& heartbeat) {
  ++sequence_;
  sent_heartbeats_[sequence_ % kMaxSentHeartbeats] = {sequence_, now};
  heartbeat.sequence = sequence_;
  heartbeat.epoch = epoch_;
  heartbeat.applied = applied_;
  heartbeat.holdings.clear();
  std::map<LineKey, HoldingLine> holdings;
  for (const Grant& it : GrantsInForce(now)) {
    holdings[{it.target, it.work_class}] = {it.target, it.work_class, it.slots, 0};
  }
  for (const SlotsInUse& it : in_use) {
    if (it.slots > 0) {
      HoldingLine& line = holdings[{it.target, it.work_class}];
      line = {it.target, it.work_class, std::max(line.held, it.slots), it.slots};
    }
  }
  for (const auto& [key, line] : holdings) {
    heartbeat.holdings.push_back(line);
  }
}

bool Holdings::OnReply(const HeartbeatReply& reply, base::Instant now) {
  const SentHeartbeat& sent = sent_heartbeats_[reply.sequence % kMaxSentHeartbeats];
  if (reply.sequence == 0 || sent.sequence != reply.sequence || reply.epoch < epoch_) {
    return false;
  }
  if (reply.epoch == epoch_ && reply.sequence <= applied_) {
    return false;
  }
  if (reply.epoch > epoch_) {
    epoch_ = reply.epoch;
    first_sequence_of_epoch_ = sequence_ + 1;
  }
  applied_ = reply.sequence;
  const bool may_raise = reply.sequence >= first_sequence_of_epoch_;
  std::erase_if(lines_, [&](const auto& it) { return InForce(it.second, now) == 0; });
  for (const GrantLine& it : reply.grants) {
    ApplyGrant(it, sent.at + kGrantTerm, may_raise, now);
  }
  return true;
}

void Holdings::ApplyGrant(const GrantLine& grant, base::Instant deadline, bool may_raise,
                          base::Instant now) {
  HeldSlots& line = lines_[{grant.target, grant.work_class}];
  const std::uint16_t limit = may_raise ? grant.slots : InForce(line, now);
  line.slots = std::min(grant.slots, limit);
  line.deadline = deadline;
}

std::span<const Grant> Holdings::GrantsInForce(base::Instant now) {
  in_force_.clear();
  for (const auto& [key, line] : lines_) {
    if (InForce(line, now) > 0) {
      in_force_.push_back({key.target, key.work_class, line.slots, line.deadline});
    }
  }
  return in_force_;
}

}  // namespace mangonotch::shares
