// Reports by coordinator, at most one without an answer for each.
#include "quota/report_queue.h"

#include <algorithm>
#include <set>

namespace mangonotch::quota {
namespace {

constexpr base::Duration kAnswerTime = base::Duration::Milliseconds(400);

}  // namespace

const CoordinatorHost& CoordinatorOf(TenantKey tenant, std::span<const CoordinatorHost> hosts) {
  return *std::min_element(hosts.begin(), hosts.end(), [&](const auto& a, const auto& b) {
    return base::Mix(a.key ^ tenant) < base::Mix(b.key ^ tenant);
  });
}

void ReportQueue::Add(std::span<const TenantUsage> usages) {
  for (const TenantUsage& it : usages) {
    TenantUsage& sum = waiting_[it.tenant];
    sum.tenant = it.tenant;
    sum.admitted += it.admitted;
    sum.refused += it.refused;
    sum.share = it.share;
  }
}

std::vector<ReportQueue::Outgoing> ReportQueue::TakeReports(std::span<const CoordinatorHost> hosts,
                                                            base::Instant now) {
  std::set<std::uint64_t> busy;
  for (const auto& [number, sent] : sent_) busy.insert(sent.coordinator);
  std::map<std::uint64_t, Outgoing> reports;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const CoordinatorHost& coordinator = CoordinatorOf(it->first, hosts);
    Outgoing& outgoing = reports[coordinator.key];
    if (busy.contains(coordinator.key) || outgoing.report.usages.size() >= kMaxUsages) {
      ++it;
      continue;
    }
    outgoing.coordinator = coordinator;
    outgoing.report.usages.push_back(it->second);
    it = waiting_.erase(it);
  }
  std::vector<Outgoing> taken;
  for (auto& [key, outgoing] : reports) {
    if (outgoing.report.usages.empty()) continue;
    outgoing.report.number = ++last_report_;
    sent_[last_report_] = {
        .coordinator = key, .usages = outgoing.report.usages, .answer_due_at = now + kAnswerTime};
    taken.push_back(std::move(outgoing));
  }
  return taken;
}

std::vector<TenantUsage> ReportQueue::TakeUnanswered(base::Instant now) {
  std::vector<TenantUsage> unanswered;
  std::erase_if(sent_, [&](const auto& it) {
    const Sent& sent = it.second;
    if (now < sent.answer_due_at) return false;
    unanswered.insert(unanswered.end(), sent.usages.begin(), sent.usages.end());
    return true;
  });
  Add(unanswered);
  return unanswered;
}

}  // namespace mangonotch::quota
