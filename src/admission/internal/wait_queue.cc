// The queue is short, since its length is bounded by what can be served within a deadline. Erasing
// an entry by shifting the following indexes is therefore cheap.
#include "admission/wait_queue.h"

#include <algorithm>

namespace mangonotch::admission {

Request Waiter::MakeRequest(base::WorkClass work_class) const {
  return {.work_class = work_class,
          .deadline = deadline,
          .regions = std::span(regions).first(region_count),
          .excluded = std::span(excluded).first(excluded_count)};
}

WaitQueue::WaitQueue(std::size_t capacity) : waiters_(capacity) {
  order_.reserve(capacity);
  free_.reserve(capacity);
  for (std::size_t i = capacity; i > 0; --i) free_.push_back(static_cast<std::uint16_t>(i - 1));
}

void WaitQueue::Push(WaiterId id, const Request& request) {
  const std::uint16_t index = free_.back();
  free_.pop_back();
  order_.push_back(index);
  Waiter& waiter = waiters_[index];
  waiter.id = id;
  waiter.deadline = request.deadline;
  const auto regions =
      request.regions.first(std::min(request.regions.size(), kMaxPreferredRegions));
  const auto excluded =
      request.excluded.first(std::min(request.excluded.size(), kMaxExcludedTargets));
  std::copy(regions.begin(), regions.end(), waiter.regions.begin());
  std::copy(excluded.begin(), excluded.end(), waiter.excluded.begin());
  waiter.region_count = static_cast<std::uint8_t>(regions.size());
  waiter.excluded_count = static_cast<std::uint8_t>(excluded.size());
}

void WaitQueue::Erase(std::size_t position) {
  free_.push_back(order_[position]);
  order_.erase(order_.begin() + static_cast<std::ptrdiff_t>(position));
}

std::optional<std::size_t> WaitQueue::Find(WaiterId id) const {
  const auto it = std::find_if(order_.begin(), order_.end(),
                               [&](std::uint16_t index) { return waiters_[index].id == id; });
  if (it == order_.end()) return std::nullopt;
  return static_cast<std::size_t>(it - order_.begin());
}

}  // namespace mangonotch::admission
