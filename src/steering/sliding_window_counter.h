// Counts the events in a sliding window, with a resolution of a tenth of the window.
#pragma once

#include <array>
#include <cstdint>

#include "base/instant.h"

namespace mangonotch::steering {

class SlidingWindowCounter {
 public:
  /// `window` must be at least ten nanoseconds, one per bucket.
  explicit SlidingWindowCounter(base::Duration window)
      : bucket_duration_(window / kBucketsPerWindow) {}

  void Add(base::Instant now, std::uint32_t events = 1) {
    AdvanceTo(now);
    counts_[static_cast<std::size_t>(newest_bucket_ % kRingSize)] += events;
    total_ += events;
  }

  /// Number of events in the window that ends at `now`, including up to one bucket before it.
  std::uint32_t Count(base::Instant now) {
    AdvanceTo(now);
    return total_;
  }

 private:
  static constexpr std::int64_t kBucketsPerWindow = 10;
  /// One bucket more than a window, since the newest bucket is only partly filled and a whole
  /// window must always be covered.
  static constexpr std::int64_t kRingSize = kBucketsPerWindow + 1;

  void AdvanceTo(base::Instant now) {
    const std::int64_t bucket = now.nanoseconds() / bucket_duration_.nanoseconds();
    if (bucket - newest_bucket_ >= kRingSize) {
      counts_.fill(0);
      total_ = 0;
      newest_bucket_ = bucket;
    }
    while (newest_bucket_ < bucket) {
      ++newest_bucket_;
      std::uint32_t& counter = counts_[static_cast<std::size_t>(newest_bucket_ % kRingSize)];
      total_ -= counter;
      counter = 0;
    }
  }

  base::Duration bucket_duration_;
  /// Index of the newest bucket, counted from the origin of base::Instant.
  std::int64_t newest_bucket_ = 0;
  std::array<std::uint32_t, kRingSize> counts_{};
  /// Sum of `counts_`.
  std::uint32_t total_ = 0;
};

}  // namespace mangonotch::steering
