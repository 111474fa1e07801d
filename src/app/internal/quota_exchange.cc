// Implementation of app::QuotaExchange.
#include "app/internal/quota_exchange.h"

#include <algorithm>
#include <utility>

#include "app/internal/random_incarnation.h"
#include "base/hash.h"
#include "http1/clock.h"
#include "http1/post.h"
#include "logging/log.h"
#include "peering/codec.h"

namespace mangonotch::app {
namespace {

/// More coordinators spread the work; fewer mean fewer datagrams for each host.
constexpr std::size_t kMaxCoordinators = 8;

}  // namespace

QuotaExchange::QuotaExchange(boost::asio::io_context& context, const fleet::Members& members,
                             peering::Gossip& gossip, TrafficThread& traffic,
                             metrics::Registry& metrics, const quota::Terms& terms)
    : context_(context),
      members_(members),
      gossip_(gossip),
      traffic_(traffic),
      tenants_coordinated_(
          metrics.AddGauge("mangonotch_quota_tenants_coordinated",
                           "Tenants with recent requests whose limits this host coordinates")),
      tenants_limited_(
          metrics.AddGauge("mangonotch_quota_tenants_limited",
                           "Tenants coordinated by this host that are held to their limits")),
      shares_below_one_(metrics.AddGauge("mangonotch_quota_shares_below_one",
                                         "Tenants of which this host refuses requests")),
      reports_sent_(metrics.AddCounter("mangonotch_quota_reports_total",
                                       "Reports of usage sent to coordinators")),
      reports_unanswered_(
          metrics.AddCounter("mangonotch_quota_usages_unanswered_total",
                             "Usages whose report was not answered in time, and sent again")),
      coordinator_(terms),
      queue_(RandomIncarnation()) {}

void QuotaExchange::ApplyConfiguration(const catalog::Configuration& configuration) {
  coordinator_.SetTenants(configuration.tenants);
  has_limits_ = std::any_of(configuration.tenants.begin(), configuration.tenants.end(),
                            [](const catalog::Tenant& it) { return it.rate_limit > 0; });
}

void QuotaExchange::OnInterval(bool is_leaving, base::Instant now) {
  if (!has_limits_) {
    tenants_coordinated_.Set(0);
    tenants_limited_.Set(0);
    shares_below_one_.Set(0);
    return;
  }
  is_leaving_ = is_leaving;
  coordinator_.SetReach(static_cast<double>(members_.CountLive(now)) /
                        members_.CountPossiblyAlive(now));
  const std::vector<quota::TenantUsage> unanswered = queue_.TakeUnanswered(now);
  if (!unanswered.empty()) {
    reports_unanswered_.Add(unanswered.size());
    traffic_.Post([unanswered](TrafficThread::Proxy& proxy) {
      proxy.limiter().OnUnanswered(unanswered, http1::Now());
    });
  }
  RequestUsages();
  Broadcast(now);
  tenants_coordinated_.Set(coordinator_.CountActive(now));
  tenants_limited_.Set(coordinator_.limited());
}

void QuotaExchange::RequestUsages() {
  // The traffic thread may outlive this object; it uses only what outlives it.
  traffic_.Post(
      [this, &context = context_, gauge = shares_below_one_](TrafficThread::Proxy& proxy) mutable {
        const base::Instant now = http1::Now();
        gauge.Set(proxy.limiter().CountLimited(now));
        http1::Post(context, [this, usages = proxy.limiter().TakeUsage(now)] { OnUsages(usages); });
      });
}

void QuotaExchange::OnUsages(const std::vector<quota::TenantUsage>& usages) {
  queue_.Add(usages);
  SendReports(http1::Now());
}

void QuotaExchange::SendReports(base::Instant now) {
  std::vector<quota::CoordinatorHost> hosts;
  for (const fleet::HostRecord& it : members_.BestConnected(kMaxCoordinators, is_leaving_, now)) {
    hosts.push_back({.key = base::Hash(it.host), .peers = it.peers});
  }
  if (hosts.empty()) return;
  const base::Endpoint& own = members_.self().peers;
  for (const auto& [coordinator, report] : queue_.TakeReports(hosts, now)) {
    if (coordinator.peers == own) {
      queue_.OnAnswer(report.number);
      ApplyShares(coordinator_.OnReport(coordinator.key, report, now));
      continue;
    }
    reports_sent_.Add();
    gossip_.SendDatagram(coordinator.peers, peering::EncodeUsageReport(report));
  }
}

void QuotaExchange::Broadcast(base::Instant now) {
  std::vector<quota::TenantShare> shares = coordinator_.TakeBroadcast(now);
  if (coordinator_.limited() != logged_limited_) {
    logged_limited_ = coordinator_.limited();
    logging::Log(logging::Level::kInfo, "quota_tenants_limited", {{"tenants", logged_limited_}});
  }
  if (shares.empty()) return;
  const fleet::Members::ContactLists contacts = members_.Contacts(now);
  for (std::size_t i = 0; i < shares.size(); i += quota::kMaxShares) {
    const auto begin = shares.begin() + static_cast<std::ptrdiff_t>(i);
    const auto n = static_cast<std::ptrdiff_t>(std::min(quota::kMaxShares, shares.size() - i));
    const std::string bytes =
        peering::EncodeShareUpdate({.report = 0, .shares = {begin, begin + n}});
    for (const base::Endpoint& it : contacts.local) gossip_.SendDatagram(it, bytes);
    for (const base::Endpoint& it : contacts.remote) gossip_.SendDatagram(it, bytes);
  }
  ApplyShares(std::move(shares));
}

void QuotaExchange::OnDatagram(std::string_view bytes, const base::Endpoint& sender,
                               base::Instant now) {
  const std::optional<std::uint64_t> host = members_.FindHostKey(sender);
  if (!host) return;
  if (const auto report = peering::DecodeUsageReport(bytes)) {
    const quota::ShareUpdate update{.report = report->number,
                                    .shares = coordinator_.OnReport(*host, *report, now)};
    gossip_.SendDatagram(sender, peering::EncodeShareUpdate(update));
    return;
  }
  auto update = peering::DecodeShareUpdate(bytes);
  if (!update) return;
  queue_.OnAnswer(update->report);
  ApplyShares(std::move(update->shares));
}

void QuotaExchange::ApplyShares(std::vector<quota::TenantShare> shares) {
  traffic_.Post([shares = std::move(shares)](TrafficThread::Proxy& proxy) {
    proxy.limiter().ApplyShares(shares, http1::Now());
  });
}

}  // namespace mangonotch::app
