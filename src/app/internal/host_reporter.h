// Copies counts that other modules keep into the metrics, about once a second.
#pragma once

#include <array>
#include <cstdint>

#include "control/control_counters.h"
#include "control/snapshot_cell.h"
#include "http/refusal.h"
#include "http/server.h"
#include "metrics/enum_counter.h"
#include "metrics/host_metrics.h"
#include "traffic/gate_set.h"

namespace mangonotch::app {

class HostReporter {
 public:
  /// All references must outlive this object.
  HostReporter(metrics::Registry& registry, const control::SnapshotCell& snapshots,
               const control::ControlCounters& control, const traffic::GateSet& gates);

  /// Updates the metrics. Counts the refusals of the servers `callers` and `peers`.
  void Report(const http::Server& callers, const http::Server& peers);

 private:
  void ReportService(const table::Service& service);

  const control::SnapshotCell& snapshots_;
  const control::ControlCounters& control_;
  const traffic::GateSet& gates_;
  metrics::HostMetrics metrics_;
  metrics::EnumCounter<http::Refusal> refusals_;
  /// Refusals already added to the metric.
  std::array<std::uint64_t, http::kRefusals> reported_{};
};

}  // namespace mangonotch::app
