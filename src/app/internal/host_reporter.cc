// Implementation of app::HostReporter.
#include "app/internal/host_reporter.h"

#include <algorithm>

namespace mangonotch::app {
namespace {

constexpr std::array<http::Refusal, http::kRefusals> AllRefusals() {
  std::array<http::Refusal, http::kRefusals> values{};
  for (std::size_t i = 0; i < values.size(); ++i) values[i] = static_cast<http::Refusal>(i);
  return values;
}

constexpr auto kAllRefusals = AllRefusals();

/// Slots and queued requests of one work class.
struct ClassCounts {
  std::uint32_t held = 0;
  std::uint32_t in_use = 0;
  std::size_t waiting = 0;
};

}  // namespace

HostReporter::HostReporter(metrics::Registry& registry, const control::SnapshotCell& snapshots,
                           const control::ControlCounters& control, const traffic::GateSet& gates)
    : snapshots_(snapshots),
      control_(control),
      gates_(gates),
      metrics_(registry),
      refusals_(registry, "mangonotch_http_refusals_total",
                "Requests refused before they were parsed as requests to a service", "reason",
                kAllRefusals, static_cast<std::string_view (*)(http::Refusal)>(http::Name)) {}

void HostReporter::Report(const http::Server& callers, const http::Server& peers) {
  for (const http::Refusal it : kAllRefusals) {
    const std::uint64_t total = callers.refused(it) + peers.refused(it);
    std::uint64_t& reported = reported_[static_cast<std::size_t>(it)];
    for (; reported < total; ++reported) refusals_.Add(it);
  }
  const control::SnapshotPtr snapshot = snapshots_.Load();
  metrics_.revision().Set(static_cast<double>(control_.revision.load()));
  metrics_.members().Set(static_cast<double>(snapshot->hosts.size()));
  if (!snapshot->table) return;
  for (const table::Service& it : snapshot->table->table().services) ReportService(it);
}

void HostReporter::ReportService(const table::Service& service) {
  const auto gate = gates_.Find(service.key);
  if (!gate) return;
  std::array<ClassCounts, base::kWorkClasses> counts{};
  gate->Update([&](auto& it, base::Instant now) {
    for (const admission::SlotUsage& usage : it.Usage(now)) {
      ClassCounts& class_counts = counts[static_cast<std::size_t>(usage.work_class)];
      class_counts.held += usage.held;
      class_counts.in_use += usage.in_use;
    }
    for (std::size_t i = 0; i < counts.size(); ++i) {
      counts[i].waiting = it.WaitingCount(static_cast<base::WorkClass>(i));
    }
  });
  for (std::size_t i = 0; i < counts.size(); ++i) {
    auto& metrics = metrics_.ForService(service.name, static_cast<base::WorkClass>(i));
    metrics.slots_held.Set(counts[i].held);
    metrics.slots_in_use.Set(counts[i].in_use);
    metrics.queue_length.Set(static_cast<double>(counts[i].waiting));
  }
}

}  // namespace mangonotch::app
