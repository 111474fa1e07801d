// Bounded queue of the requests of one work class that wait for a slot, in order of arrival. All
// memory is allocated at construction.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "admission/types.h"

namespace mangonotch::admission {

struct Waiter {
  WaiterId id = 0;
  base::Instant deadline;
  std::array<RegionPreference, kMaxPreferredRegions> regions;
  std::array<base::TargetKey, kMaxExcludedTargets> excluded;
  std::uint8_t region_count = 0;
  std::uint8_t excluded_count = 0;

  /// The returned request's spans refer to this waiter.
  Request MakeRequest(base::WorkClass work_class) const;
};

class WaitQueue {
 public:
  explicit WaitQueue(std::size_t capacity);

  bool IsFull() const { return order_.size() == waiters_.size(); }
  std::size_t size() const { return order_.size(); }
  std::size_t capacity() const { return waiters_.size(); }

  /// Appends a waiter. Requires that the queue is not full.
  void Push(WaiterId id, const Request& request);
  /// Position 0 is the oldest waiter.
  const Waiter& At(std::size_t position) const { return waiters_[order_[position]]; }
  void Erase(std::size_t position);
  std::optional<std::size_t> Find(WaiterId id) const;

 private:
  std::vector<Waiter> waiters_;
  /// Indexes into `waiters_`, in order of arrival.
  std::vector<std::uint16_t> order_;
  /// Indexes of unused elements of `waiters_`.
  std::vector<std::uint16_t> free_;
};

}  // namespace mangonotch::admission
