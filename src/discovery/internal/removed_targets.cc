// Comparison with the last report of a removed target.
#include "discovery/removed_targets.h"

#include <algorithm>
#include <compare>

namespace mangonotch::discovery {

void RemovedTargets::Add(const TargetRemoval& removal, base::Instant now) {
  if (removed_.size() >= kMaxRemovals && !removed_.contains(removal.id)) {
    removed_.erase(std::min_element(
        removed_.begin(), removed_.end(),
        [](const auto& a, const auto& b) { return a.second.number < b.second.number; }));
  }
  removed_.insert_or_assign(
      removal.id,
      Removed{.removal = removal, .number = ++last_number_, .forget_at = now + memory_time_});
}

bool RemovedTargets::Admit(const catalog::Target& target, catalog::StoreRevision revision) {
  const auto it = removed_.find(target.id);
  if (it == removed_.end()) return true;
  Removed& removed = it->second;
  const catalog::ReportPosition& last = removed.removal.last_report;
  const bool has_left =
      removed.removal.was_draining && catalog::IsSameIncarnation(target.report, last);
  if (has_left) return false;
  const std::partial_ordering order = catalog::Compare(target.report, last);
  if (order == std::partial_ordering::less || order == std::partial_ordering::equivalent) {
    removed.report = {.target = target, .revision = revision};
    return false;
  }
  removed_.erase(it);
  return true;
}

void RemovedTargets::OnMissing(std::string_view id, catalog::StoreRevision revision) {
  const auto it = removed_.find(id);
  if (it != removed_.end()) DropReport(it->second, revision);
}

void RemovedTargets::DropReport(Removed& removed, catalog::StoreRevision revision) {
  if (removed.report && removed.report->revision <= revision) removed.report.reset();
}

void RemovedTargets::Renew(base::Instant now) {
  for (auto& [id, it] : removed_) it.forget_at = now + memory_time_;
}

std::vector<TargetChange> RemovedTargets::TakeExpired(base::Instant now) {
  std::vector<TargetChange> reports;
  for (auto it = removed_.begin(); it != removed_.end();) {
    Removed& removed = it->second;
    if (removed.forget_at > now) {
      ++it;
      continue;
    }
    if (removed.report) reports.push_back(std::move(*removed.report));
    it = removed_.erase(it);
  }
  return reports;
}

base::Instant RemovedTargets::NextExpiry() const {
  base::Instant next = base::Instant::Never();
  for (const auto& [id, it] : removed_) {
    if (it.report) next = std::min(next, it.forget_at);
  }
  return next;
}

}  // namespace mangonotch::discovery
