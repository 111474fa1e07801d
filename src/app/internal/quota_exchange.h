// Exchanges the use of tenants' limits between this host's traffic thread and the coordinators of
// the tenants, of which this host may be one. Runs on the control thread.
#pragma once

#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "app/internal/traffic_thread.h"
#include "base/endpoint.h"
#include "base/instant.h"
#include "catalog/catalog.h"
#include "fleet/members.h"
#include "metrics/registry.h"
#include "peering/gossip.h"
#include "quota/coordinator.h"
#include "quota/report_queue.h"

namespace mangonotch::app {

class QuotaExchange {
 public:
  /// All references must outlive this object.
  QuotaExchange(boost::asio::io_context& context, const fleet::Members& members,
                peering::Gossip& gossip, TrafficThread& traffic, metrics::Registry& metrics,
                const quota::Terms& terms);

  void ApplyConfiguration(const catalog::Configuration& configuration);
  /// Sends the usages that are due and the shares that all hosts must know. Called once per
  /// heartbeat interval.
  void OnInterval(bool is_leaving, base::Instant now);
  /// A datagram that is not a heartbeat. Those of senders that are no known host are dropped.
  void OnDatagram(std::string_view bytes, const base::Endpoint& sender, base::Instant now);

 private:
  /// Asks the traffic thread for the usages since the last call, which arrive in OnUsages.
  void RequestUsages();
  void OnUsages(const std::vector<quota::TenantUsage>& usages);
  void SendReports(base::Instant now);
  void Broadcast(base::Instant now);
  void ApplyShares(std::vector<quota::TenantShare> shares);

  boost::asio::io_context& context_;
  const fleet::Members& members_;
  peering::Gossip& gossip_;
  TrafficThread& traffic_;
  metrics::Gauge tenants_coordinated_;
  metrics::Gauge tenants_limited_;
  metrics::Gauge shares_below_one_;
  metrics::Counter reports_sent_;
  metrics::Counter reports_unanswered_;
  bool has_limits_ = false;
  bool is_leaving_ = false;
  std::uint32_t logged_limited_ = 0;
  quota::Coordinator coordinator_;
  quota::ReportQueue queue_;
};

}  // namespace mangonotch::app
