// Reports by coordinator, at most one without an answer for each.
#include "quota/report_queue.h"

#include <algorithm>
#include <set>
#include <utility>

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
    sum.admitted = std::clamp(sum.admitted + it.admitted, -kMaxCount, kMaxCount);
    sum.refused = std::min(sum.refused + it.refused, static_cast<std::uint32_t>(kMaxCount));
    sum.share = it.share;
  }
}

void ReportQueue::TakeRepeats(std::span<const CoordinatorHost> hosts, base::Instant now,
                              std::vector<Outgoing>& taken) {
  for (auto it = sent_.begin(); it != sent_.end();) {
    Sent& sent = it->second;
    const auto host = std::find_if(
        hosts.begin(), hosts.end(),
        [&](const CoordinatorHost& candidate) { return candidate.key == sent.coordinator; });
    if (host == hosts.end()) {
      Add(sent.usages);
      it = sent_.erase(it);
      continue;
    }
    if (std::exchange(sent.is_repeat_due, false)) {
      sent.answer_due_at = now + kAnswerTime;
      taken.push_back({*host, {.number = it->first, .usages = sent.usages}});
    }
    ++it;
  }
}

std::vector<ReportQueue::Outgoing> ReportQueue::TakeReports(std::span<const CoordinatorHost> hosts,
                                                            base::Instant now) {
  std::vector<Outgoing> taken;
  TakeRepeats(hosts, now, taken);
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
  for (auto& [number, sent] : sent_) {
    if (sent.is_repeat_due || now < sent.answer_due_at) continue;
    sent.is_repeat_due = true;
    unanswered.insert(unanswered.end(), sent.usages.begin(), sent.usages.end());
  }
  return unanswered;
}

}  // namespace mangonotch::quota
