// Request log: writes one structured line per request with every steering decision, its inputs and
// their age, and counts requests by outcome. Reports what targets say of themselves. Separate rate
// limits apply to requests served without a failure and to all others; dropped lines are counted
// and reported.
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

/// Limits log lines to a number per second and counts the dropped ones.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(std::uint32_t max_per_second) : max_per_second_(max_per_second) {}
  /// Returns false, and counts the line as dropped, when the limit is reached.
  bool Allow(base::Instant now);
  /// Returns and resets the number of lines dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  std::uint32_t max_per_second_;
  base::Instant window_end_;
  std::uint32_t lines_in_window_ = 0;
  std::uint64_t dropped_ = 0;
};

class DecisionLog {
 public:
  /// `registry` must outlive the log.
  explicit DecisionLog(metrics::Registry& registry);

  /// `request_id` is the identifier that the caller gave the request.
  void SetRequestId(steering::ExchangeId id, std::string_view request_id);
  /// Releases the state of the request.
  void OnRequestEnd(steering::ExchangeId id) { traces_.erase(id); }

  void OnSent(const steering::Exchange& exchange, const steering::Choice& choice,
              base::Instant now);
  void OnTargetsFull(const steering::Exchange& exchange, const steering::Choice& choice,
                     base::Duration delay, base::Instant now);
  void OnTargetsLimited(const steering::Exchange& exchange, base::Duration delay,
                        base::Instant now);
  void OnOutcome(const steering::Exchange& exchange, steering::AttemptNumber number,
                 const steering::AttemptOutcome& outcome, base::Instant now);
  void OnRetry(const steering::Exchange& exchange, steering::RetryReason reason, base::Instant now);
  void OnRetryDenied(const steering::Exchange& exchange, steering::RetryReason reason,
                     steering::RetryDenial denial, base::Instant now);
  void OnDelivered(const steering::Exchange& exchange, steering::AttemptNumber number,
                   base::Instant now);
  void OnLocalReply(const steering::Exchange& exchange, const steering::LocalReply& reply,
                    base::Instant now);
  void OnCallerGone(const steering::Exchange& exchange, base::Instant now);
  void OnRateLimitChanged(const steering::TargetState& target, base::Instant now);
  void OnMalformedRateLimit(const steering::TargetState& target, base::Instant now);
  void OnSignalsChanged(const steering::TargetState& target, base::Instant now);
  void OnMalformedSignal(const steering::TargetState& target, base::Instant now);

 private:
  struct RequestTrace {
    std::string request_id;
    /// The decisions so far, separated by spaces, each with its time since the request arrived.
    std::string steps;
    /// An attempt failed or no target had a free slot. The line then uses the rate limit of failed
    /// requests, even when the request was served.
    bool had_failure = false;
  };

  /// Appends a decision to the trace of the request.
  void AddStep(const steering::Exchange& exchange, std::string_view step, base::Instant now);
  /// Counts the outcome and writes the log line, subject to the rate limits.
  void Write(const steering::Exchange& exchange, std::string_view outcome, bool is_failure,
             base::Instant now);
  metrics::Counter& CounterOf(std::string_view outcome);

  metrics::Registry& registry_;
  std::unordered_map<steering::ExchangeId, RequestTrace> traces_;
  std::map<std::string, metrics::Counter, std::less<>> outcomes_;
  std::map<std::string, metrics::Counter, std::less<>> repeats_;
  metrics::Histogram latency_;
  /// Attempts for objects at their home targets, and at others.
  metrics::Counter sent_to_homes_;
  metrics::Counter sent_elsewhere_;
  /// Sum of the numbers of homes over the attempts for objects.
  metrics::Counter homes_;
  metrics::Counter rate_limit_changes_;
  metrics::Counter malformed_rate_limits_;
  metrics::Counter signal_changes_;
  metrics::Counter malformed_signals_;
  LogRateLimiter served_limiter_;
  LogRateLimiter failed_limiter_;
  LogRateLimiter target_limiter_;
  /// When dropped lines may next be reported.
  base::Instant next_dropped_report_at_;
};

}  // namespace mangonotch::edge
