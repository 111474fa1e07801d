#include "shift/byte_budget.h"

#include <algorithm>
#include <cmath>

namespace mangonotch::shift {

ByteBudget::ByteBudget(std::uint64_t bytes_per_s, std::uint64_t burst_bytes)
    : bytes_per_s_(bytes_per_s), burst_bytes_(burst_bytes) {}

base::Duration ByteBudget::TimeFor(std::uint64_t bytes) const {
  const double ns = std::ceil(static_cast<double>(bytes) * 1e9 / static_cast<double>(bytes_per_s_));
  return base::Duration::Nanoseconds(static_cast<std::int64_t>(ns));
}

base::Instant ByteBudget::Reserve(std::uint64_t bytes, base::Instant now) {
  if (bytes_per_s_ == 0) {
    return base::Instant::Never();
  }
  backlog_end_ = std::max(backlog_end_, now) + TimeFor(bytes);
  return std::max(now, backlog_end_ - TimeFor(burst_bytes_));
}

}  // namespace mangonotch::shift
