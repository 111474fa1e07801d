// Implementation of app::EdgeHost and its control thread.
#include "app/edge_host.h"

#include <signal.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <utility>
#include <vector>

#include "app/internal/catalog_report.h"
#include "app/internal/edge_parameters.h"
#include "app/internal/host_gauges.h"
#include "app/internal/quota_exchange.h"
#include "app/internal/random_incarnation.h"
#include "app/internal/reply_listener.h"
#include "app/internal/store_watches.h"
#include "app/internal/traffic_thread.h"
#include "discovery/registry.h"
#include "fleet/members.h"
#include "http1/clock.h"
#include "http1/message.h"
#include "http1/post.h"
#include "jsonc/fault.h"
#include "logging/log.h"
#include "metrics/registry.h"
#include "peering/gossip.h"
#include "platform/entry_api.h"
#include "platform/host_registration.h"
#include "platform/store_client.h"
#include "platform/store_sinks.h"
#include "settings/edge_settings_watch.h"

namespace mangonotch::app {
namespace {

using base::Duration;
using logging::Level;

/// Time that a starting host allows for the first messages from other hosts.
constexpr Duration kPeerDiscoveryTime = Duration::Milliseconds(1500);
constexpr Duration kLookupTtl = Duration::Seconds(2);
constexpr std::size_t kMaxLookupHosts = 64;
/// A stopping host keeps serving for this time before it drains, since callers cache looked-up
/// addresses that long.
constexpr Duration kDrainDelay = Duration::Milliseconds(2800);
/// Minimum time from the start of a stop until the process ends, even when it is idle.
constexpr Duration kMinStopTime = Duration::Milliseconds(3800);
/// Time before the platform's stop deadline at which the host ends even with requests in flight.
constexpr Duration kStopMargin = Duration::Milliseconds(350);
constexpr Duration kStopCheckInterval = Duration::Milliseconds(50);
constexpr Duration kSettingsCheckInterval = Duration::Seconds(1);
constexpr Duration kLogFlushInterval = Duration::Milliseconds(200);

/// One for each address, so that callers of one do not shut out those of another.
std::shared_ptr<http1::ByteBudget> CallerBudgetOf(const settings::EdgeSettings& settings) {
  return std::make_shared<http1::ByteBudget>(ControlCallerBytesOf(settings));
}

}  // namespace

class EdgeHost::Control {
 public:
  Control(const settings::EdgeSettings& settings, std::string settings_path,
          logging::BoundedOutput& log);

  void Run() { context_.run(); }

 private:
  using Listener = ReplyListener<Control>;

  static http1::Response ReplyReadiness(Control& control, const http1::Request& request);
  static http1::Response ReplyLookup(Control& control, const http1::Request& request);
  static http1::Response ReplyMetrics(Control& control, const http1::Request& request);

  platform::SinkContext SinkContextOf();
  peering::Gossip::Callbacks GossipCallbacks();
  /// `source`: where the last changes come from, as LogCatalog takes it.
  void PublishCatalog(std::string_view source);
  /// The changes of another host have been merged.
  void OnMerged(const fleet::CatalogRequest& request);
  void ExchangeLoads();
  /// How long the store has served this host, for heartbeats; see fleet::Heartbeat.
  Duration StoreServiceTime() const;
  /// Removes targets that were kept for an outage of the store which other hosts have not seen.
  void ReviewOutage();
  /// Starts or stops watching the store, depending on whether this host has to.
  void UpdateStoreWatches();
  void WaitForSignal();
  void CheckSettings();
  void ScheduleSettingsCheck();
  void Stop();
  void CheckStopped();
  void FlushLog();
  bool IsReady() const { return has_configuration_ && has_targets_ && !is_leaving_; }

  const settings::EdgeSettings& settings() const { return settings_watch_.current(); }

  settings::EdgeSettingsWatch settings_watch_;
  logging::BoundedOutput& log_;
  boost::asio::io_context context_{1};
  metrics::Registry metrics_;
  HostGauges gauges_{metrics_};
  discovery::Registry registry_;
  fleet::Members members_;
  TrafficThread traffic_;
  platform::StoreClient store_;
  StoreWatches store_watches_;
  platform::HostRegistration host_registration_;
  peering::Gossip gossip_;
  QuotaExchange quotas_;
  /// For the callers of the three addresses below.
  Listener readiness_;
  Listener lookup_;
  Listener metrics_server_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer expire_timer_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer settings_timer_;
  boost::asio::steady_timer flush_timer_;
  std::vector<fleet::TargetLoad> own_loads_;
  bool has_configuration_ = false;
  bool has_targets_ = false;
  bool is_leaving_ = false;
  base::Instant leaving_since_;
  /// Not before then does this host watch the store.
  base::Instant watch_from_;
};

EdgeHost::Control::Control(const settings::EdgeSettings& settings, std::string settings_path,
                           logging::BoundedOutput& log)
    : settings_watch_(std::move(settings_path), settings),
      log_(log),
      registry_(OutageTimingOf(settings.bounds), RemovalTimingOf(settings.bounds),
                [this](const discovery::ReportDecision& decision) {
                  LogReport(decision, gossip_.last_source());
                }),
      members_({.host = settings.host,
                .zone = settings.zone,
                .callers = settings.listen.callers,
                .peers = settings.listen.peers,
                .link_mbps = settings.link_mbps},
               settings.zones, {}),
      traffic_(settings.listen.callers, EngineSettingsOf(settings), ProxyLimitsOf(settings),
               metrics_),
      store_(context_, settings.store, metrics_),
      store_watches_(context_, store_, SinkContextOf()),
      host_registration_(
          context_, store_, settings.host, settings.listen.peers,
          [this](const base::Endpoint& peers) { members_.AddContact(peers, http1::Now()); }),
      gossip_(context_, members_, registry_, RandomIncarnation(), GossipCallbacks()),
      quotas_(context_, members_, gossip_, traffic_, metrics_, QuotaTermsOf(settings.bounds)),
      readiness_(context_, settings.listen.readiness, *this, &ReplyReadiness,
                 CallerBudgetOf(settings)),
      lookup_(context_, settings.listen.lookup, *this, &ReplyLookup, CallerBudgetOf(settings)),
      metrics_server_(context_, settings.listen.metrics, *this, &ReplyMetrics,
                      CallerBudgetOf(settings)),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      expire_timer_(context_),
      stop_timer_(context_),
      settings_timer_(context_),
      flush_timer_(context_) {
  const base::Instant now = http1::Now();
  for (const base::Endpoint& it : PeersOfSeeds(settings)) members_.AddContact(it, now);
  watch_from_ = settings.is_first_start ? now + WatchDelayOf(settings.host) : now;
  WaitForSignal();
  ScheduleSettingsCheck();
  host_registration_.Start();
  gossip_.Start();
  FlushLog();
}

platform::SinkContext EdgeHost::Control::SinkContextOf() {
  return {.registry = registry_,
          .metrics = metrics_,
          .on_change = [this] { PublishCatalog("store"); },
          .on_targets_listed = [this] { gossip_.OnTargetsListed(); }};
}

peering::Gossip::Callbacks EdgeHost::Control::GossipCallbacks() {
  return {.fill_heartbeat =
              [this](fleet::Heartbeat& heartbeat) {
                heartbeat.is_leaving = is_leaving_;
                heartbeat.watches_store = store_watches_.is_active();
                heartbeat.has_fresh_catalog = store_watches_.is_fresh();
                heartbeat.store_service_time = StoreServiceTime();
                heartbeat.loads = own_loads_;
              },
          .on_interval =
              [this] {
                ExchangeLoads();
                quotas_.OnInterval(is_leaving_, http1::Now());
                ReviewOutage();
                UpdateStoreWatches();
              },
          .on_merged = [this](const fleet::CatalogRequest& request) { OnMerged(request); },
          .on_datagram =
              [this](std::string_view bytes, const base::Endpoint& sender) {
                quotas_.OnDatagram(bytes, sender, http1::Now());
              },
          .has_fresh_catalog = [this] { return store_watches_.is_fresh(); }};
}

Duration EdgeHost::Control::StoreServiceTime() const {
  if (!store_watches_.is_fresh()) return {};
  return registry_.outage().ServiceTime(store_watches_.answered_since(),
                                        store_watches_.last_answer_at(), http1::Now());
}

void EdgeHost::Control::ReviewOutage() {
  const base::Instant now = http1::Now();
  const auto recovery_end = registry_.outage().outage_recovery_end();
  if (!recovery_end || now >= *recovery_end) return;
  const base::Instant since = members_.StoreServedSince(*registry_.outage().regained_at(), now);
  if (since == base::Instant::Never()) return;
  registry_.OnStoreServedElsewhere(since);
  logging::Log(Level::kInfo, "outage_reviewed",
               {{"served_elsewhere_ms", (now - since).milliseconds()},
                {"recovering", registry_.IsRecovering(now)}});
  PublishCatalog("host");
}

void EdgeHost::Control::UpdateStoreWatches() {
  const base::Instant now = http1::Now();
  // A host that has just started may not have received messages from the others yet. It refuses
  // callers until it has a configuration, so it asks the store and other hosts at the same time.
  const bool is_new = now < watch_from_ + kPeerDiscoveryTime;
  const bool needs_store = (is_new && !has_configuration_) || members_.ShouldWatchStore(now);
  const bool watches = now >= watch_from_ && needs_store;
  if (watches != store_watches_.is_active()) {
    logging::Log(Level::kInfo, "watches_store", {{"watches", watches}});
  }
  store_watches_.SetActive(watches);
}

void EdgeHost::Control::PublishCatalog(std::string_view source) {
  const base::Instant next = registry_.Expire(http1::Now());
  if (next != base::Instant::Never()) {
    expire_timer_.expires_at(http1::ToTimePoint(next));
    expire_timer_.async_wait([this](boost::system::error_code ec) {
      if (!ec) PublishCatalog("memory");
    });
  }
  const catalog::CatalogPtr catalog = registry_.TakeUpdatedCatalog();
  if (!catalog) return;
  // Announces the change at once, so that other hosts do not wait for the next heartbeat.
  if (store_watches_.is_fresh()) gossip_.AnnounceLocally();
  has_configuration_ = has_configuration_ || catalog->configuration;
  has_targets_ = has_targets_ || !catalog->targets.empty();
  LogCatalog(*catalog, registry_, source);
  gauges_.ReportCatalog(*catalog, registry_);
  if (catalog->configuration) quotas_.ApplyConfiguration(*catalog->configuration);
  traffic_.Post([catalog](TrafficThread::Proxy& proxy) { proxy.ApplyCatalog(catalog); });
}

void EdgeHost::Control::OnMerged(const fleet::CatalogRequest& request) {
  PublishCatalog("host");
  if (!request.is_behind) return;
  store_watches_.OnChangeMissed(registry_.newest());
  // The watchers of this region may all be behind, and heartbeats from other regions are rare.
  if (!members_.IsInOwnRegion(request.source)) gossip_.AnnounceLocally();
}

void EdgeHost::Control::ExchangeLoads() {
  const base::Instant now = http1::Now();
  gauges_.ReportControl(members_.CountLive(now), log_.dropped_lines());
  std::vector<steering::PeerLoad> loads;
  for (const fleet::TargetLoad& it : members_.PeerLoads(now)) {
    loads.push_back({it.target_key, it.in_flight});
  }
  const std::uint32_t hosts = members_.CountPossiblyAlive(now);
  traffic_.Post([this, loads = std::move(loads), hosts,
                 local = members_.LocalHostKeys(now)](TrafficThread::Proxy& proxy) {
    proxy.ApplyPeers(loads, hosts, local);
    gauges_.ReportTraffic(proxy);
    std::vector<fleet::TargetLoad> own;
    for (const steering::PeerLoad& it : proxy.OwnLoads()) {
      own.push_back({it.target_key, it.in_flight});
    }
    http1::Post(context_, [this, own = std::move(own)] { own_loads_ = own; });
  });
}

http1::Response EdgeHost::Control::ReplyReadiness(Control& control, const http1::Request& request) {
  if (!platform::IsReadinessCheck(request)) return {.status = 404};
  return platform::ReadinessResponse(control.IsReady());
}

http1::Response EdgeHost::Control::ReplyLookup(Control& control, const http1::Request& request) {
  const auto query = platform::ParseResolve(request);
  if (!query) return {.status = 404};
  const auto hosts =
      control.members_.Resolve(query->region, !control.IsReady(), kMaxLookupHosts, http1::Now());
  return platform::ResolveResponse(hosts,
                                   std::min(kLookupTtl, control.settings().bounds.lookup_ttl));
}

http1::Response EdgeHost::Control::ReplyMetrics(Control& control, const http1::Request& request) {
  if (request.target != "/metrics") return {.status = 404};
  return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = control.metrics_.Text()};
}

void EdgeHost::Control::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code ec, int signal_number) {
    if (ec) return;
    if (signal_number == SIGHUP) {
      CheckSettings();
      WaitForSignal();
      return;
    }
    Stop();
  });
}

void EdgeHost::Control::CheckSettings() {
  switch (settings_watch_.Check()) {
    case settings::SettingsChange::kNone:
      return;
    case settings::SettingsChange::kRefused:
      logging::Log(Level::kError, "settings_refused", {{"cause", settings_watch_.fault()}});
      return;
    case settings::SettingsChange::kChanged:
      break;
  }
  logging::Log(Level::kInfo, "settings_reloaded", {{"host", settings().host}});
  const base::Instant now = http1::Now();
  for (const base::Endpoint& it : PeersOfSeeds(settings())) members_.AddContact(it, now);
  traffic_.Post([limits = RetryLimitsOf(settings().bounds)](TrafficThread::Proxy& proxy) {
    proxy.ApplyRetryLimits(limits);
  });
}

void EdgeHost::Control::ScheduleSettingsCheck() {
  settings_timer_.expires_after(http1::ToChrono(kSettingsCheckInterval));
  settings_timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    CheckSettings();
    ScheduleSettingsCheck();
  });
}

void EdgeHost::Control::Stop() {
  is_leaving_ = true;
  leaving_since_ = http1::Now();
  logging::Log(Level::kInfo, "stopping", {{"host", settings().host}});
  gossip_.Announce();
  host_registration_.Deregister();
  CheckStopped();
}

void EdgeHost::Control::CheckStopped() {
  const Duration elapsed = http1::Now() - leaving_since_;
  const bool is_deadline_near = elapsed >= settings().bounds.stop_time - kStopMargin;
  const bool may_drain = elapsed >= kDrainDelay;
  const bool may_end = elapsed >= kMinStopTime;
  traffic_.Post([this, is_deadline_near, may_drain, may_end](TrafficThread::Proxy& proxy) {
    if (may_drain) proxy.StartDraining();
    const std::size_t requests = proxy.requests();
    const bool is_done = is_deadline_near || (may_end && proxy.IsIdle());
    if (!is_done) return;
    http1::Post(context_, [this, requests] {
      logging::Log(Level::kInfo, "stopped",
                   {{"host", settings().host}, {"requests_under_way", requests}});
      log_.Flush();
      context_.stop();
    });
  });
  stop_timer_.expires_after(http1::ToChrono(kStopCheckInterval));
  stop_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) CheckStopped();
  });
}

void EdgeHost::Control::FlushLog() {
  log_.Flush();
  flush_timer_.expires_after(http1::ToChrono(kLogFlushInterval));
  flush_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) FlushLog();
  });
}

EdgeHost::EdgeHost(const settings::EdgeSettings& settings, std::string settings_path,
                   logging::BoundedOutput& log)
    : control_(std::make_unique<Control>(settings, std::move(settings_path), log)) {}

EdgeHost::~EdgeHost() = default;

void EdgeHost::Run() { control_->Run(); }

}  // namespace mangonotch::app
