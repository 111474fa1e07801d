// This host's share of the bytes that may cross the links between its region and the others.
//
// Each direction of a link has two halves, one for the hosts of each end, and each half is split
// equally over the hosts that the settings name in the region. The split needs no message, so it
// holds while hosts disagree or are cut off; the part of a host that is down stays unused.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "base/instant.h"
#include "control/steering_table.h"
#include "shift/byte_budget.h"

namespace mangonotch::traffic {

class LinkBudgets {
 public:
  /// `hosts` is the number of hosts of the region that share its half of each link.
  LinkBudgets(std::string region, std::uint32_t hosts);

  /// Blocks until `bytes` may be sent to `region` and answers of earlier requests are paid for;
  /// false when that is later than `deadline`, and nothing is reserved then. Does not wait for the
  /// host's own region.
  bool WaitToSend(const control::SteeringTable& table, base::RegionIndex region,
                  std::uint64_t bytes, base::Instant deadline);
  /// Counts an answer that has crossed the link. Its size is not known before, so the budget goes
  /// into debt and later requests wait: over a second the bytes stay under the limit but for the
  /// answers in flight when it ran out.
  void CountAnswer(const control::SteeringTable& table, base::RegionIndex region,
                   std::uint64_t bytes);

 private:
  struct Budgets {
    shift::ByteBudget out;
    shift::ByteBudget in;
  };

  /// Null for the own region or a region without a link. The lock is held.
  Budgets* Find(const control::SteeringTable& table, base::RegionIndex region);

  const std::string region_;
  const std::uint32_t hosts_;
  std::mutex mutex_;
  /// By region position; guarded by mutex_. Made anew with each table revision.
  std::map<std::uint32_t, Budgets> budgets_;
  base::Revision revision_ = 0;
};

}  // namespace mangonotch::traffic
