// Counts of the traffic threads. Metrics and status pages read them.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "traffic/refusal_reason.h"

namespace mangonotch::traffic {

class Counters {
 public:
  using Count = std::atomic<std::uint64_t>;

  void Refused(RefusalReason reason) { Add(refused_[static_cast<std::size_t>(reason)]); }
  void Retried(RetryReason reason) { Add(retried_[static_cast<std::size_t>(reason)]); }

  std::uint64_t refused(RefusalReason reason) const {
    return Read(refused_[static_cast<std::size_t>(reason)]);
  }
  std::uint64_t retried(RetryReason reason) const {
    return Read(retried_[static_cast<std::size_t>(reason)]);
  }

  static void Add(Count& count) { count.fetch_add(1, std::memory_order_relaxed); }
  static std::uint64_t Read(const Count& count) { return count.load(std::memory_order_relaxed); }

  Count lookups{0};
  Count requests{0};
  Count attempts{0};
  Count answered{0};
  Count forwarded{0};
  /// Requests that are being handled now.
  Count in_flight{0};

 private:
  std::array<Count, kRefusalReasons> refused_{};
  std::array<Count, kRetryReasons> retried_{};
};

}  // namespace mangonotch::traffic
