// Periods of the lease and the grants. Section 6 of docs/design.md derives them.
#pragma once

#include <array>

#include "base/duration.h"
#include "base/ids.h"

namespace mangonotch::shares {

/// Period between two renewals of a region's lease record.
inline constexpr base::Duration kRenewInterval = base::Duration::Milliseconds(1500);
/// A holder acts for this long after it sent its last confirmed renewal.
inline constexpr base::Duration kTerm = base::Duration::Seconds(4);
/// Covers the drift between two clocks over the longest period that both count.
inline constexpr base::Duration kMargin = base::Duration::Seconds(1);
/// A holder counts a promise for this long from the sending of its request.
inline constexpr base::Duration kPromiseTerm = base::Duration::Seconds(4);
/// Period between two rounds of promise requests.
inline constexpr base::Duration kPromiseInterval = base::Duration::Seconds(1);
/// A holder asks for promises when its last confirmed renewal was sent this long ago. It leaves
/// two rounds of requests before the term ends.
inline constexpr base::Duration kPromiseAfter = base::Duration::Seconds(2);
/// A standby starts to read the record when the holder has been silent for this long.
inline constexpr base::Duration kHolderSilence = base::Duration::Seconds(1);
/// Period between two reads of the record by a standby.
inline constexpr base::Duration kStandbyReadInterval = base::Duration::Seconds(1);
/// Period between two reads by a host that is no standby. 1,100 hosts then stay under the bound of
/// 200 reads a second while all coordinators are silent.
inline constexpr base::Duration kOtherReadInterval = base::Duration::Seconds(10);
/// A grant is in force for this long after the heartbeat that it answers was sent.
inline constexpr base::Duration kGrantTerm = base::Duration::Seconds(8);
/// Most standbys in a lease record.
inline constexpr std::size_t kMaxStandbys = 2;

/// Longest deadline of a request of each class, indexed by base::WorkClass.
using LongestDeadlines = std::array<base::Duration, base::kWorkClasses>;
inline constexpr LongestDeadlines kDefaultLongestDeadlines = {base::Duration::Seconds(10),
                                                              base::Duration::Seconds(60)};

}  // namespace mangonotch::shares
