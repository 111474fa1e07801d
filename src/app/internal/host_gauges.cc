// Implementation of app::HostGauges.
#include "app/internal/host_gauges.h"

namespace mangonotch::app {

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
      malformed_requests_(registry.AddGauge("mangonotch_malformed_requests",
                                            "Requests refused by the parser since the start")) {}

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
  malformed_requests_.Set(static_cast<double>(proxy.server_counts().malformed_requests));
}

}  // namespace mangonotch::app
