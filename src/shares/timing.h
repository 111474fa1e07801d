// Durations of leases and grants. Section 6 of docs/design.md derives them.
#pragma once

#include <array>

#include "base/duration.h"
#include "base/ids.h"

namespace mangonotch::shares {

/// Interval between renewals of a region's lease record.
inline constexpr base::Duration kRenewInterval = base::Duration::Milliseconds(1500);
/// A holder may act for this long after sending its last confirmed renewal.
inline constexpr base::Duration kLeaseTerm = base::Duration::Seconds(4);
/// Covers the drift between two clocks over the longest period that both measure.
inline constexpr base::Duration kClockMargin = base::Duration::Seconds(1);
/// A promise is valid for the holder for this long after it sent the request.
inline constexpr base::Duration kPromiseTerm = base::Duration::Seconds(4);
/// Interval between rounds of promise requests.
inline constexpr base::Duration kPromiseInterval = base::Duration::Seconds(1);
/// A holder requests promises when this much time has passed since it sent its last confirmed
/// renewal. This leaves two rounds of requests before the lease term ends.
inline constexpr base::Duration kPromiseRequestDelay = base::Duration::Seconds(2);
/// A standby starts reading the record when the holder has been silent for this long.
inline constexpr base::Duration kHolderSilence = base::Duration::Seconds(1);
/// Interval between reads of the record by a standby.
inline constexpr base::Duration kStandbyReadInterval = base::Duration::Seconds(1);
/// Interval between reads by a host that is not a standby. It keeps 1,100 hosts under the limit of
/// 200 reads a second while all coordinators are silent.
inline constexpr base::Duration kOtherReadInterval = base::Duration::Seconds(10);
/// A grant is in force for this long after the host sent the heartbeat it replies to.
inline constexpr base::Duration kGrantTerm = base::Duration::Seconds(8);
/// Maximum number of standbys in a lease record.
inline constexpr std::size_t kMaxStandbys = 2;

/// Longest request deadline of each class, indexed by base::WorkClass.
using LongestDeadlines = std::array<base::Duration, base::kWorkClasses>;
inline constexpr LongestDeadlines kDefaultLongestDeadlines = {base::Duration::Seconds(10),
                                                              base::Duration::Seconds(60)};

}  // namespace mangonotch::shares
