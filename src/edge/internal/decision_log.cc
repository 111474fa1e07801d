// Formatting of decisions as log lines, and outcome counters.
#include "edge/decision_log.h"

#include <array>
#include <utility>

#include "logging/log.h"
#include "steering/service_state.h"

namespace mangonotch::edge {
namespace {

using steering::AttemptResult;

/// Log lines per second: for requests served without a failure, and for all others.
constexpr std::uint32_t kServedLinesPerS = 25;
constexpr std::uint32_t kFailedLinesPerS = 40;
/// Lines about targets' own statements.
constexpr std::uint32_t kTargetLinesPerS = 20;
constexpr base::Duration kDroppedReportInterval = base::Duration::Seconds(5);
constexpr std::array<double, 12> kLatencyBounds = {0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
                                                   0.5,  0.75,  1,    2,   5,   10};
constexpr std::string_view kObjectAttemptsHelp =
    "Attempts for objects, at the objects' home targets and at others";

std::string_view NameOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kFailed:
      return "failed";
    case AttemptResult::kNotRun:
      return "not_run";
    case AttemptResult::kMisdirected:
      return "misdirected";
    case AttemptResult::kNotSent:
      return "not_sent";
    case AttemptResult::kLost:
      break;
  }
  return "lost";
}

}  // namespace

bool LogRateLimiter::Allow(base::Instant now) {
  if (now >= window_end_) {
    window_end_ = now + base::Duration::Seconds(1);
    lines_in_window_ = 0;
  }
  if (lines_in_window_ >= max_per_second_) {
    ++dropped_;
    return false;
  }
  ++lines_in_window_;
  return true;
}

std::uint64_t LogRateLimiter::TakeDropped() { return std::exchange(dropped_, 0); }

DecisionLog::DecisionLog(metrics::Registry& registry)
    : registry_(registry),
      latency_(registry.AddHistogram("mangonotch_request_duration_seconds",
                                     "Time from the arrival of a request to its answer",
                                     kLatencyBounds)),
      sent_to_homes_(registry.AddCounter("mangonotch_object_attempts_total", kObjectAttemptsHelp,
                                         {{"place", "home"}})),
      sent_elsewhere_(registry.AddCounter("mangonotch_object_attempts_total", kObjectAttemptsHelp,
                                          {{"place", "other"}})),
      homes_(registry.AddCounter(
          "mangonotch_object_homes_total",
          "Sum of the numbers of home targets of the objects of all attempts for objects")),
      rate_limit_changes_(
          registry.AddCounter("mangonotch_target_limit_changes_total",
                              "Changes of the limits that targets name in their answers")),
      malformed_rate_limits_(
          registry.AddCounter("mangonotch_malformed_target_limits_total",
                              "Answers of targets that name a limit that cannot be used")),
      signal_changes_(registry.AddCounter(
          "mangonotch_target_signals_total",
          "Answers in which targets began to leave, or named a later end of their back-off")),
      malformed_signals_(
          registry.AddCounter("mangonotch_malformed_target_signals_total",
                              "Answers of targets with a signal that cannot be used")),
      served_limiter_(kServedLinesPerS),
      failed_limiter_(kFailedLinesPerS),
      target_limiter_(kTargetLinesPerS) {}

void DecisionLog::SetRequestId(steering::ExchangeId id, std::string_view request_id) {
  traces_[id].request_id = request_id;
}

metrics::Counter& DecisionLog::CounterOf(std::string_view outcome) {
  const auto it = outcomes_.find(outcome);
  if (it != outcomes_.end()) return it->second;
  return outcomes_
      .emplace(outcome, registry_.AddCounter("mangonotch_requests_total",
                                             "Requests by how they ended", {{"outcome", outcome}}))
      .first->second;
}

void DecisionLog::AddStep(const steering::Exchange& exchange, std::string_view step,
                          base::Instant now) {
  std::string& steps = traces_[exchange.id].steps;
  if (!steps.empty()) steps += ' ';
  steps += '+';
  steps += std::to_string((now - exchange.arrived_at).milliseconds());
  steps += "ms:";
  steps += step;
}

void DecisionLog::OnSent(const steering::Exchange& exchange, const steering::Choice& choice,
                         base::Instant now) {
  const steering::TargetState& target = *choice.target;
  if (choice.homes > 0) {
    (choice.IsHome() ? sent_to_homes_ : sent_elsewhere_).Add();
    homes_.Add(choice.homes);
  }
  AddStep(exchange,
          "sent(target=" + target.record().id + ",zone=" + target.record().zone +
              ",rank=" + std::to_string(choice.rank) + ",homes=" + std::to_string(choice.homes) +
              ",load=" + std::to_string(target.Load(now)) + "/" + std::to_string(target.slots()) +
              ",report_age_ms=" + std::to_string(target.ReportAge(now).milliseconds()) +
              ",estimate_ms=" + std::to_string(choice.estimate.milliseconds()) + ")",
          now);
}

void DecisionLog::OnTargetsFull(const steering::Exchange& exchange, const steering::Choice& choice,
                                base::Duration delay, base::Instant now) {
  traces_[exchange.id].had_failure = true;
  AddStep(exchange,
          "full(targets=" + std::to_string(choice.candidates) + ",load=" +
              std::to_string(choice.total_load) + "/" + std::to_string(choice.total_slots) +
              ",queue=" + std::to_string(exchange.service->waiting()) + ",delay_ms=" +
              std::to_string(delay.milliseconds()) + ",best=" + choice.target->record().id + ")",
          now);
}

void DecisionLog::OnTargetsLimited(const steering::Exchange& exchange, base::Duration delay,
                                   base::Instant now) {
  traces_[exchange.id].had_failure = true;
  AddStep(exchange,
          "limited(queue=" + std::to_string(exchange.service->waiting()) +
              ",delay_ms=" + std::to_string(delay.milliseconds()) + ")",
          now);
}

void DecisionLog::OnOutcome(const steering::Exchange& exchange, steering::AttemptNumber number,
                            const steering::AttemptOutcome& outcome, base::Instant now) {
  RequestTrace& trace = traces_[exchange.id];
  trace.had_failure = trace.had_failure || outcome.result != AttemptResult::kAnswered;
  AddStep(exchange,
          "outcome(" + std::to_string(number) + "=" + std::string(NameOf(outcome.result)) + ")",
          now);
}

void DecisionLog::OnRetry(const steering::Exchange& exchange, steering::RetryReason reason,
                          base::Instant now) {
  const std::string name(steering::NameOf(reason));
  AddStep(exchange, "repeat(" + name + ")", now);
  auto it = repeats_.find(name);
  if (it == repeats_.end()) {
    it = repeats_
             .emplace(name, registry_.AddCounter("mangonotch_repeats_total",
                                                 "Attempts beyond the first by reason",
                                                 {{"reason", name}}))
             .first;
  }
  it->second.Add();
}

void DecisionLog::OnRetryDenied(const steering::Exchange& exchange, steering::RetryReason reason,
                                steering::RetryDenial denial, base::Instant now) {
  AddStep(exchange,
          "repeat_denied(" + std::string(steering::NameOf(reason)) + "," +
              std::string(steering::NameOf(denial)) + ")",
          now);
}

void DecisionLog::OnDelivered(const steering::Exchange& exchange, steering::AttemptNumber,
                              base::Instant now) {
  Write(exchange, "delivered", traces_[exchange.id].had_failure, now);
}

void DecisionLog::OnLocalReply(const steering::Exchange& exchange,
                               const steering::LocalReply& reply, base::Instant now) {
  AddStep(exchange, "retry_after_ms=" + std::to_string(reply.retry_after.milliseconds()), now);
  Write(exchange, steering::NameOf(reply.reason), true, now);
}

void DecisionLog::OnCallerGone(const steering::Exchange& exchange, base::Instant now) {
  Write(exchange, "caller_gone", true, now);
}

void DecisionLog::OnRateLimitChanged(const steering::TargetState& target, base::Instant now) {
  rate_limit_changes_.Add();
  if (!target_limiter_.Allow(now)) return;
  const steering::TargetLimit& limit = target.limit();
  logging::Log(logging::Level::kInfo, "target_limit",
               {{"target", target.record().id},
                {"service", target.record().service},
                {"per_second", limit.is_active() ? std::to_string(limit.per_second()) : "none"}});
}

void DecisionLog::OnMalformedRateLimit(const steering::TargetState& target, base::Instant now) {
  malformed_rate_limits_.Add();
  if (!target_limiter_.Allow(now)) return;
  logging::Log(logging::Level::kWarning, "target_limit_refused", {{"target", target.record().id}});
}

void DecisionLog::OnSignalsChanged(const steering::TargetState& target, base::Instant now) {
  signal_changes_.Add();
  if (!target_limiter_.Allow(now)) return;
  const steering::TargetSignals& signals = target.signals();
  const base::Duration backoff =
      signals.backoff_until() > now ? signals.backoff_until() - now : base::Duration();
  logging::Log(logging::Level::kInfo, "target_signal",
               {{"target", target.record().id},
                {"service", target.record().service},
                {"leaving", signals.is_leaving()},
                {"backoff_ms", backoff.milliseconds()}});
}

void DecisionLog::OnMalformedSignal(const steering::TargetState& target, base::Instant now) {
  malformed_signals_.Add();
  if (!target_limiter_.Allow(now)) return;
  logging::Log(logging::Level::kWarning, "target_signal_refused", {{"target", target.record().id}});
}

void DecisionLog::Write(const steering::Exchange& exchange, std::string_view outcome,
                        bool is_failure, base::Instant now) {
  CounterOf(outcome).Add();
  latency_.Observe((now - exchange.arrived_at).seconds());
  LogRateLimiter& limiter = is_failure ? failed_limiter_ : served_limiter_;
  if (now >= next_dropped_report_at_) {
    next_dropped_report_at_ = now + kDroppedReportInterval;
    const std::uint64_t served = served_limiter_.TakeDropped();
    const std::uint64_t failed = failed_limiter_.TakeDropped();
    const std::uint64_t targets = target_limiter_.TakeDropped();
    if (served + failed + targets > 0) {
      logging::Log(logging::Level::kInfo, "request_lines_left_out",
                   {{"served", served}, {"failed", failed}, {"targets", targets}});
    }
  }
  if (!limiter.Allow(now)) return;
  const RequestTrace& trace = traces_[exchange.id];
  const auto until_deadline = (exchange.deadline - exchange.arrived_at).milliseconds();
  logging::Log(logging::Level::kInfo, "request",
               {{"id", trace.request_id},
                {"outcome", outcome},
                {"route", exchange.route ? exchange.route->name : std::string("none")},
                {"service", exchange.service ? exchange.service->name() : std::string("none")},
                {"tenant", exchange.tenant ? exchange.tenant->name : std::string("none")},
                {"configuration", exchange.configuration ? exchange.configuration->version : 0},
                {"deadline_ms", until_deadline},
                {"took_ms", (now - exchange.arrived_at).milliseconds()},
                {"steps", trace.steps}});
}

}  // namespace mangonotch::edge
