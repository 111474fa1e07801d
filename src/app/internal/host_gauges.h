// The gauges of an entry host on the platform: catalog, live hosts, requests and connections.
#pragma once

#include <cstdint>

#include "app/internal/traffic_thread.h"
#include "catalog/catalog.h"
#include "discovery/registry.h"
#include "metrics/registry.h"

namespace mangonotch::app {

/// Thread-safe, as all metrics are: the control and the traffic thread use it.
class HostGauges {
 public:
  /// `registry` must outlive the gauges.
  explicit HostGauges(metrics::Registry& registry);

  void ReportCatalog(const catalog::Catalog& catalog, const discovery::Registry& registry);
  void ReportControl(std::uint32_t hosts_live, std::uint64_t log_lines_dropped);
  void ReportTraffic(const TrafficThread::Proxy& proxy);

 private:
  metrics::Gauge configuration_version_;
  metrics::Gauge targets_known_;
  metrics::Gauge store_era_;
  metrics::Gauge operator_revision_;
  metrics::Gauge targets_revision_;
  metrics::Gauge hosts_live_;
  metrics::Gauge log_lines_dropped_;
  metrics::Gauge requests_open_;
  metrics::Gauge caller_connections_;
  metrics::Gauge target_connections_opened_;
  metrics::Gauge target_connections_reused_;
  metrics::Gauge malformed_requests_;
  metrics::Gauge caller_bytes_;
  metrics::Gauge late_requests_;
  metrics::Gauge oversized_bodies_;
  metrics::Gauge oversized_headers_;
  metrics::Gauge requests_without_memory_;
  metrics::Gauge stalled_responses_;
  metrics::Gauge responses_without_memory_;
  metrics::Gauge refused_connections_;
};

}  // namespace mangonotch::app
