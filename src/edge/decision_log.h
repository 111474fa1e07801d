// Tells afterwards why a request ended as it did: one structured line a request with every decision
// on it, its inputs and their age, and counters of the outcomes. Lines of served requests are
// sampled; lines of the others are bounded by a rate, and what is left out is counted.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/instant.h"
#include "metrics/registry.h"
#include "steering/observer.h"

namespace mangonotch::edge {

/// Allows a number of events a second; the rest is counted.
class LineRate {
 public:
  explicit LineRate(std::uint32_t per_second) : per_second_(per_second) {}
  bool Allow(base::Instant now);
  /// Lines left out since the last call.
  std::uint64_t TakeDropped();

 private:
  std::uint32_t per_second_;
  base::Instant second_end_;
  std::uint32_t in_second_ = 0;
  std::uint64_t dropped_ = 0;
};

class DecisionLog {
 public:
  /// `registry` must outlive the log.
  explicit DecisionLog(metrics::Registry& registry);

  /// `request_id` is the caller's name of the request.
  void Name(steering::ExchangeId id, std::string_view request_id);
  void Forget(steering::ExchangeId id) { stories_.erase(id); }

  void OnSent(const steering::Exchange& exchange, const steering::Choice& choice,
              base::Instant now);
  void OnFull(const steering::Exchange& exchange, const steering::Choice& choice,
              base::Duration delay, base::Instant now);
  void OnOutcome(const steering::Exchange& exchange, steering::AttemptNumber number,
                 const steering::AttemptOutcome& outcome, base::Instant now);
  void OnRepeat(const steering::Exchange& exchange, steering::RepeatReason reason,
                base::Instant now);
  void OnRepeatDenied(const steering::Exchange& exchange, steering::RepeatReason reason,
                      steering::RepeatDenial denial, base::Instant now);
  void OnDelivered(const steering::Exchange& exchange, steering::AttemptNumber number,
                   base::Instant now);
  void OnConcluded(const steering::Exchange& exchange, const steering::Conclusion& conclusion,
                   base::Instant now);
  void OnCallerGone(const steering::Exchange& exchange, base::Instant now);

 private:
  struct Story {
    std::string request_id;
    /// The decisions so far, each with its time since the arrival.
    std::string steps;
    bool had_trouble = false;
  };

  void AddStep(const steering::Exchange& exchange, std::string_view step, base::Instant now);
  void Write(const steering::Exchange& exchange, std::string_view outcome, bool is_failure,
             base::Instant now);
  metrics::Counter& CounterOf(std::string_view outcome);

  metrics::Registry& registry_;
  std::unordered_map<steering::ExchangeId, Story> stories_;
  std::map<std::string, metrics::Counter, std::less<>> outcomes_;
  std::map<std::string, metrics::Counter, std::less<>> repeats_;
  metrics::Histogram latency_;
  LineRate served_rate_;
  LineRate failed_rate_;
  base::Instant report_at_;
};

}  // namespace mangonotch::edge
