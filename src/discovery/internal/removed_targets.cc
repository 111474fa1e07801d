// Comparison with the last report of a removed target.
#include "discovery/removed_targets.h"

#include <algorithm>
#include <compare>
#include <iterator>
#include <utility>

namespace mangonotch::discovery {
namespace {

/// Whether the incarnation that made `report` drained before its removal.
bool HasDrained(const catalog::ReportPosition& report, const TargetRemoval& removal) {
  return removal.was_draining && catalog::IsSameIncarnation(report, removal.last_report);
}

}  // namespace

bool IsOutdated(const catalog::ReportPosition& report, const TargetRemoval& removal) {
  const std::partial_ordering order = catalog::Compare(report, removal.last_report);
  return HasDrained(report, removal) || order == std::partial_ordering::less ||
         order == std::partial_ordering::equivalent;
}

TargetRemoval RemovedTargets::Add(const catalog::Target& target, catalog::StoreRevision revision,
                                  RemovalCause cause, base::Instant now) {
  // The target itself may be well although its entry is not, so that its next report is no more
  // doubtful than one that comes long after a removal.
  const base::Duration age =
      cause == RemovalCause::kUnreadable ? timing_.late_call_time : base::Duration();
  return Insert({.id = target.id,
                 .revision = revision,
                 .last_report = target.report,
                 .was_draining = target.is_draining,
                 .forget_at = now + timing_.memory_time - age});
}

void RemovedTargets::Learn(const TargetRemoval& removal, base::Instant now) {
  if (removal.forget_at > now) Insert(removal);
}

const TargetRemoval& RemovedTargets::Insert(const TargetRemoval& removal) {
  if (removed_.size() >= kMaxRemovals && !removed_.contains(removal.id)) {
    removed_.erase(std::min_element(
        removed_.begin(), removed_.end(),
        [](const auto& a, const auto& b) { return a.second.number < b.second.number; }));
  }
  Removed& removed = removed_[removal.id];
  TargetRemoval& known = removed.removal;
  const bool is_known_later =
      catalog::Compare(known.last_report, removal.last_report) == std::partial_ordering::greater;
  const TargetRemoval earlier = is_known_later ? removal : std::exchange(known, removal);
  known.was_draining = known.was_draining || HasDrained(known.last_report, earlier);
  known.revision = std::max(known.revision, earlier.revision);
  known.forget_at = std::max(known.forget_at, earlier.forget_at);
  removed.number = ++last_number_;
  return known;
}

const TargetRemoval* RemovedTargets::Find(std::string_view id) const {
  const auto it = removed_.find(id);
  return it == removed_.end() ? nullptr : &it->second.removal;
}

void RemovedTargets::Forget(std::string_view id) {
  const auto it = removed_.find(id);
  if (it != removed_.end()) removed_.erase(it);
}

bool RemovedTargets::IsOutdated(const catalog::Target& target) const {
  const TargetRemoval* const removal = Find(target.id);
  return removal != nullptr && discovery::IsOutdated(target.report, *removal);
}

bool RemovedTargets::HasLeft(const catalog::Target& target) const {
  const TargetRemoval* const removal = Find(target.id);
  return removal != nullptr && HasDrained(target.report, *removal);
}

bool RemovedTargets::IsDoubtful(const catalog::Target& target, base::Instant now) const {
  const auto it = removed_.find(target.id);
  if (it == removed_.end()) return false;
  const std::optional<TargetChange>& report = it->second.report;
  // A later listing of the same report proves nothing before its time.
  const bool is_set_aside = report && report->target.report == target.report;
  return is_set_aside || IsDoubtful(target.report, it->second.removal, now);
}

bool RemovedTargets::IsDoubtful(const catalog::ReportPosition& report, const TargetRemoval& removal,
                                base::Instant now) const {
  const base::Instant removed_at = removal.forget_at - timing_.memory_time;
  return now < removed_at + timing_.late_call_time &&
         catalog::IsSameIncarnation(report, removal.last_report);
}

bool RemovedTargets::SetAside(TargetChange report, base::Instant now) {
  const auto it = removed_.find(report.target.id);
  if (it == removed_.end()) return false;
  TargetRemoval& removal = it->second.removal;
  const bool is_same = catalog::IsSameIncarnation(report.target.report, removal.last_report);
  removal.was_draining = removal.was_draining || (is_same && report.target.is_draining);
  if (HasLeft(report.target)) return false;
  if (report.revision <= removal.revision) return false;
  std::optional<TargetChange>& known = it->second.report;
  if (!known || known->target.report != report.target.report) {
    const bool is_outdated = discovery::IsOutdated(report.target.report, removal);
    it->second.proven_at = is_outdated ? base::Instant::Never() : now + timing_.lapse_time;
  }
  report.is_confirmed = true;
  known = std::move(report);
  return true;
}

void RemovedTargets::DropReports() {
  for (auto& [id, it] : removed_) it.report.reset();
}

void RemovedTargets::OnMissing(std::string_view id, catalog::StoreRevision revision) {
  const auto it = removed_.find(id);
  if (it != removed_.end()) DropReport(it->second, revision);
}

void RemovedTargets::DropReport(Removed& removed, catalog::StoreRevision revision) {
  if (removed.report && removed.report->revision <= revision) removed.report.reset();
}

void RemovedTargets::Renew(base::Instant now) {
  for (auto& [id, it] : removed_) it.removal.forget_at = now + timing_.memory_time;
}

std::vector<TargetChange> RemovedTargets::TakeExpired(base::Instant now) {
  std::vector<TargetChange> reports;
  for (auto it = removed_.begin(); it != removed_.end();) {
    Removed& removed = it->second;
    const bool is_forgotten = removed.removal.forget_at <= now;
    const bool is_proven = removed.report && DueAt(removed) <= now;
    if (is_proven) reports.push_back(std::move(*removed.report));
    it = is_forgotten || is_proven ? removed_.erase(it) : std::next(it);
  }
  return reports;
}

base::Instant RemovedTargets::NextExpiry() const {
  base::Instant next = base::Instant::Never();
  for (const auto& [id, it] : removed_) {
    if (it.report) next = std::min(next, DueAt(it));
  }
  return next;
}

std::vector<TargetRemoval> RemovedTargets::removals() const {
  std::vector<TargetRemoval> removals;
  removals.reserve(removed_.size());
  for (const auto& [id, it] : removed_) removals.push_back(it.removal);
  return removals;
}

}  // namespace mangonotch::discovery
