// Counts events in a sliding window, in buckets of a fraction of it.
#pragma once

#include <array>
#include <cstdint>

#include "base/instant.h"

namespace mangonotch::steering {

class SlidingCount {
 public:
  /// `window` is the span over which events count; it is at least ten nanoseconds.
  explicit SlidingCount(base::Duration window) : bucket_span_(window / kBuckets) {}

  void Add(base::Instant now, std::uint32_t events = 1) {
    AdvanceTo(now);
    counts_[static_cast<std::size_t>(bucket_ % kSlots)] += events;
    total_ += events;
  }

  /// Events in the window that ends at `now`, and up to one bucket before it.
  std::uint32_t Count(base::Instant now) {
    AdvanceTo(now);
    return total_;
  }

 private:
  static constexpr std::int64_t kBuckets = 10;
  /// One more than the buckets of a window, so that a whole window always counts.
  static constexpr std::int64_t kSlots = kBuckets + 1;

  void AdvanceTo(base::Instant now) {
    const std::int64_t bucket = now.nanoseconds() / bucket_span_.nanoseconds();
    if (bucket - bucket_ >= kSlots) {
      counts_.fill(0);
      total_ = 0;
      bucket_ = bucket;
    }
    while (bucket_ < bucket) {
      ++bucket_;
      std::uint32_t& slot = counts_[static_cast<std::size_t>(bucket_ % kSlots)];
      total_ -= slot;
      slot = 0;
    }
  }

  base::Duration bucket_span_;
  /// Number of the newest bucket since the start of the time line.
  std::int64_t bucket_ = 0;
  std::array<std::uint32_t, kSlots> counts_{};
  /// Sum of `counts_`.
  std::uint32_t total_ = 0;
};

}  // namespace mangonotch::steering
