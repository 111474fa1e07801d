// Decides to which coordinator the usages of this host go and when they are reported again. Has no
// sockets, threads or clock.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "base/endpoint.h"
#include "base/instant.h"
#include "quota/messages.h"

namespace mangonotch::quota {

/// A host that coordinates the limits of some tenants.
struct CoordinatorHost {
  /// Hash of its name.
  std::uint64_t key = 0;
  base::Endpoint peers{};
};

/// The host that coordinates the tenant: all hosts that know the same `hosts`, in any order, choose
/// the same one. `hosts` must not be empty.
const CoordinatorHost& CoordinatorOf(TenantKey tenant, std::span<const CoordinatorHost> hosts);

class ReportQueue {
 public:
  struct Outgoing {
    CoordinatorHost coordinator;
    UsageReport report;
  };

  void Add(std::span<const TenantUsage> usages);
  /// Takes the reports to send now: one for each coordinator that has answered the last one.
  std::vector<Outgoing> TakeReports(std::span<const CoordinatorHost> hosts, base::Instant now);
  /// The report has been answered.
  void OnAnswer(std::uint64_t report) { sent_.erase(report); }
  /// Usages of reports that were not answered in time. They are reported again: if only the answer
  /// was lost they count twice, which admits less than the limit.
  std::vector<TenantUsage> TakeUnanswered(base::Instant now);

 private:
  struct Sent {
    std::uint64_t coordinator = 0;
    std::vector<TenantUsage> usages;
    base::Instant answer_due_at;
  };

  std::uint64_t last_report_ = 0;
  std::map<TenantKey, TenantUsage> waiting_;
  /// Reports without an answer, by their numbers.
  std::map<std::uint64_t, Sent> sent_;
};

}  // namespace mangonotch::quota
