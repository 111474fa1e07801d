// Implementation of app::HostGauges.
#include "app/internal/host_gauges.h"

#include <string_view>

namespace mangonotch::app {

namespace {

metrics::Gauge RejectionGauge(metrics::Registry& registry, std::string_view reason) {
  return registry.AddGauge("mangonotch_caller_rejections",
                           "Requests refused while they were read, since the start",
                           {{"reason", reason}});
}

metrics::Gauge DisconnectionGauge(metrics::Registry& registry, std::string_view reason) {
  return registry.AddGauge("mangonotch_caller_disconnections",
                           "Caller connections closed by this host, since the start",
                           {{"reason", reason}});
}

}  // namespace

HostGauges::HostGauges(metrics::Registry& registry)
    : configuration_version_(registry.AddGauge("mangonotch_configuration_version",
                                               "Version of the configuration in force")),
      targets_known_(
          registry.AddGauge("mangonotch_targets", "Known targets, including draining ones")),
      store_era_(registry.AddGauge("mangonotch_store_era",
                                   "Era of the store's records that are known to this host")),
      operator_revision_(registry.AddGauge(
          "mangonotch_operator_revision",
          "Store revision up to which the operators' records are known to this host")),
      targets_revision_(
          registry.AddGauge("mangonotch_targets_revision",
                            "Store revision up to which the targets are known to this host")),
      hosts_live_(registry.AddGauge("mangonotch_hosts_live",
                                    "Hosts heard from recently, including this one")),
      log_lines_dropped_(registry.AddGauge(
          "mangonotch_log_lines_dropped",
          "Log lines dropped because standard output did not accept them in time")),
      requests_open_(
          registry.AddGauge("mangonotch_requests_open", "Requests queued or in progress")),
      caller_connections_(
          registry.AddGauge("mangonotch_caller_connections", "Open connections of callers")),
      target_connections_opened_(registry.AddGauge(
          "mangonotch_target_connections_opened", "Connections opened to targets since the start")),
      target_connections_reused_(
          registry.AddGauge("mangonotch_target_connections_reused",
                            "Requests sent on a reused connection since the start")),
      malformed_requests_(
          registry.AddGauge("mangonotch_malformed_requests",
                            "Requests refused while they were read since the start")),
      caller_bytes_(registry.AddGauge("mangonotch_caller_bytes",
                                      "Memory in use for connections, requests and responses of "
                                      "callers")),
      late_requests_(RejectionGauge(registry, "late")),
      oversized_bodies_(RejectionGauge(registry, "body_too_large")),
      oversized_headers_(RejectionGauge(registry, "headers_too_large")),
      requests_without_memory_(RejectionGauge(registry, "no_memory")),
      stalled_responses_(DisconnectionGauge(registry, "response_not_taken")),
      responses_without_memory_(DisconnectionGauge(registry, "no_memory")),
      refused_connections_(DisconnectionGauge(registry, "not_accepted")) {}

void HostGauges::ReportCatalog(const catalog::Catalog& catalog,
                               const discovery::Registry& registry) {
  const std::uint64_t version = catalog.configuration ? catalog.configuration->version : 0;
  configuration_version_.Set(static_cast<double>(version));
  targets_known_.Set(static_cast<double>(catalog.targets.size()));
  const catalog::StorePosition applied = registry.applied();
  store_era_.Set(static_cast<double>(registry.era()));
  operator_revision_.Set(static_cast<double>(catalog::RevisionInEra(applied.operator_records)));
  targets_revision_.Set(static_cast<double>(catalog::RevisionInEra(applied.targets)));
}

void HostGauges::ReportControl(std::uint32_t hosts_live, std::uint64_t log_lines_dropped) {
  hosts_live_.Set(hosts_live);
  log_lines_dropped_.Set(static_cast<double>(log_lines_dropped));
}

void HostGauges::ReportTraffic(const TrafficThread::Proxy& proxy) {
  requests_open_.Set(static_cast<double>(proxy.requests()));
  caller_connections_.Set(static_cast<double>(proxy.connections()));
  target_connections_opened_.Set(static_cast<double>(proxy.pool_counts().opened));
  target_connections_reused_.Set(static_cast<double>(proxy.pool_counts().reused));
  const http1::ServerCounts& counts = proxy.server_counts();
  malformed_requests_.Set(static_cast<double>(counts.malformed_requests));
  caller_bytes_.Set(static_cast<double>(proxy.caller_bytes()));
  late_requests_.Set(static_cast<double>(counts.late_requests));
  oversized_bodies_.Set(static_cast<double>(counts.oversized_bodies));
  oversized_headers_.Set(static_cast<double>(counts.oversized_headers));
  requests_without_memory_.Set(static_cast<double>(counts.requests_without_memory));
  stalled_responses_.Set(static_cast<double>(counts.stalled_responses));
  responses_without_memory_.Set(static_cast<double>(counts.responses_without_memory));
  refused_connections_.Set(static_cast<double>(counts.refused_connections));
}

}  // namespace mangonotch::app
