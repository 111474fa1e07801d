// Turns of the receivers.
#include "fleet/heartbeat_schedule.h"

namespace mangonotch::fleet {
namespace {

/// Intervals between two heartbeats to addresses at which no host is known, and the number of these
/// that get one at a time.
constexpr std::uint64_t kUnconfirmedPeriodIntervals = 3;
constexpr std::size_t kMaxUnconfirmedAtATime = 48;
/// Intervals after the start in which such addresses get heartbeats each time: a host that has just
/// started knows nobody.
constexpr std::uint64_t kStartIntervals = 10;

}  // namespace

HeartbeatRound HeartbeatSchedule::Next(const Members::ContactLists& contacts) {
  const auto is_due = [this](std::uint64_t period) { return intervals_ % period == 0; };
  HeartbeatRound round;
  if (is_due(LocalPeriodIntervals(contacts.local.size()))) round.local = contacts.local;
  if (is_due(RemotePeriodIntervals(contacts.remote_regions))) round.relays = contacts.relays;
  const bool is_starting = intervals_ < kStartIntervals;
  if (is_starting || is_due(kUnconfirmedPeriodIntervals)) {
    round.unconfirmed = NextUnconfirmed(contacts.unconfirmed);
  }
  ++intervals_;
  return round;
}

std::span<const base::Endpoint> HeartbeatSchedule::NextUnconfirmed(
    std::span<const base::Endpoint> all) {
  const std::size_t start = unconfirmed_start_ < all.size() ? unconfirmed_start_ : 0;
  const std::size_t n = std::min(kMaxUnconfirmedAtATime, all.size() - start);
  unconfirmed_start_ = start + n;
  return all.subspan(start, n);
}

}  // namespace mangonotch::fleet
