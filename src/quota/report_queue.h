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
  /// `first_report`: number of the first report. Random, so that answers to the reports of an
  /// earlier process of this host are not taken for answers to this one's.
  explicit ReportQueue(std::uint64_t first_report) : last_report_(first_report) {}

  struct Outgoing {
    CoordinatorHost coordinator;
    UsageReport report;
  };

  void Add(std::span<const TenantUsage> usages);
  /// Takes the reports to send now: one for each coordinator that has answered the last one, and
  /// those without an answer once more.
  std::vector<Outgoing> TakeReports(std::span<const CoordinatorHost> hosts, base::Instant now);
  /// The report has been answered.
  void OnAnswer(std::uint64_t report) { sent_.erase(report); }
  /// Usages of reports that were not answered in time. Their reports are sent again under the same
  /// number, so that the coordinator does not count them twice.
  std::vector<TenantUsage> TakeUnanswered(base::Instant now);

 private:
  struct Sent {
    std::uint64_t coordinator = 0;
    std::vector<TenantUsage> usages{};
    base::Instant answer_due_at{};
    bool is_repeat_due = false;
  };

  /// Adds the reports that are to be sent again. Those to hosts that no longer coordinate are
  /// dissolved: their usages are reported to the tenants' new coordinators.
  void TakeRepeats(std::span<const CoordinatorHost> hosts, base::Instant now,
                   std::vector<Outgoing>& taken);

  std::uint64_t last_report_;
  std::map<TenantKey, TenantUsage> waiting_;
  /// Reports without an answer, by their numbers.
  std::map<std::uint64_t, Sent> sent_;
};

}  // namespace mangonotch::quota
