// Per-target statistics, outlier ejection and load estimate.
#include "steering/target_state.h"

#include <algorithm>

#include "base/hash.h"

namespace mangonotch::steering {
namespace {

using base::Duration;

constexpr Duration kSendWindow = Duration::Seconds(1);
/// Weight of the newest attempt in the moving average of the failure ratio.
constexpr double kFailureWeight = 0.2;
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kFirstEjection = Duration::Milliseconds(500);
constexpr Duration kMaxEjection = Duration::Seconds(4);
/// Discovery updates the record of a replaced incarnation within this time.
constexpr Duration kMisdirectedEjection = Duration::Seconds(5);
/// Older reports are ignored, since a target's slowness changes many times per second.
constexpr Duration kMaxReportAge = Duration::Milliseconds(200);

}  // namespace

TargetState::TargetState(catalog::Target record, std::string region)
    : record_(std::move(record)),
      region_(std::move(region)),
      key_(base::Hash(record_.id)),
      recent_sends_(kSendWindow) {}

void TargetState::Update(const catalog::Target& record, std::string_view region) {
  const bool is_other_incarnation = record.report.started_at_ms != record_.report.started_at_ms ||
                                    !(record.address == record_.address);
  record_ = record;
  region_ = region;
  is_listed_ = true;
  if (!is_other_incarnation) return;
  report_.reset();
  limit_ = TargetLimit();
  signals_ = TargetSignals();
  cold_mark_ = base::Instant();
  failure_ratio_ = 0;
  consecutive_failures_ = 0;
  ejected_until_ = base::Instant();
  speed_ = TargetSpeed();
}

void TargetState::MarkCold(base::Instant until) { cold_mark_ = std::max(cold_mark_, until); }

void TargetState::OnSent(base::Instant now) {
  if (own_in_flight_ == 0) last_activity_ = now;
  ++own_in_flight_;
  recent_sends_.Add(now);
}

void TargetState::OnCancelled() {
  if (own_in_flight_ > 0) --own_in_flight_;
}

void TargetState::OnOutcome(const AttemptOutcome& outcome, Duration elapsed, bool had_free_slot,
                            base::Instant now) {
  if (own_in_flight_ > 0) --own_in_flight_;
  const double others = Load(now);
  if (outcome.load) {
    report_ = outcome.load;
    report_at_ = now;
  }
  switch (outcome.result) {
    case AttemptResult::kAnswered:
      last_activity_ = now;
      consecutive_failures_ = 0;
      failure_ratio_ *= 1 - kFailureWeight;
      if (had_free_slot) speed_.Observe(elapsed.seconds() * 1e3, others, now);
      break;
    case AttemptResult::kFailed:
    case AttemptResult::kNotRun:
      last_activity_ = now;
      failure_ratio_ = failure_ratio_ * (1 - kFailureWeight) + kFailureWeight;
      break;
    case AttemptResult::kMisdirected:
      MarkMisdirected(now);
      break;
    case AttemptResult::kNotSent:
    case AttemptResult::kLost:
      CountFailure(now);
      break;
  }
}

void TargetState::OnTimedOut(base::Instant sent_at, base::Instant now) {
  if (last_activity_ <= sent_at) CountFailure(now);
}

void TargetState::CountFailure(base::Instant now) {
  failure_ratio_ = failure_ratio_ * (1 - kFailureWeight) + kFailureWeight;
  ++consecutive_failures_;
  if (consecutive_failures_ < kFailuresToEject) return;
  Duration ejection = kFirstEjection;
  for (std::uint32_t i = kFailuresToEject; i < consecutive_failures_; ++i) {
    ejection = std::min(ejection * 2, kMaxEjection);
  }
  ejected_until_ = now + ejection;
}

void TargetState::MarkMisdirected(base::Instant now) {
  ejected_until_ = now + kMisdirectedEjection;
}

std::uint32_t TargetState::Load(base::Instant now) const {
  const std::uint32_t known = own_in_flight_ + peer_in_flight_;
  if (!report_ || now - report_at_ > kMaxReportAge) return known;
  return std::max(known, report_->running + report_->waiting);
}

Duration TargetState::SilentFor(base::Instant now) const {
  return own_in_flight_ == 0 ? Duration() : now - last_activity_;
}

Duration TargetState::ReportAge(base::Instant now) const {
  constexpr Duration kNoReport = Duration::Seconds(86'400);
  return report_ ? now - report_at_ : kNoReport;
}

double TargetState::ReportedSlowness(base::Instant now) const {
  if (!report_ || now - report_at_ > kMaxReportAge) return 1;
  return std::max(report_->slowness_percent, 1U) / 100.0;
}

}  // namespace mangonotch::steering
