// Implementation of app::EntryHost.
#include "app/entry_host.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

#include "app/internal/host_reporter.h"
#include "control/control_thread.h"
#include "http/server.h"
#include "metrics/exposer.h"
#include "metrics/registry.h"
#include "store/http_store.h"
#include "traffic/admin_api.h"
#include "traffic/caller_api.h"
#include "traffic/gate_set.h"

namespace mangonotch::app {
namespace {

constexpr base::Duration kTicketLifetime = base::Duration::Seconds(15);
constexpr base::Duration kTicketExpiryInterval = base::Duration::Seconds(1);
constexpr base::Duration kReportInterval = base::Duration::Seconds(1);
/// Time until all hosts omit a stopping host from new lookup responses: its heartbeat, the next
/// summary of its coordinator (1 s) and the next snapshot (0.5 s).
constexpr base::Duration kLeavePropagationTime = base::Duration::Seconds(2);
/// Longest wait of a host without requests for the coordinator to reclaim its slots.
constexpr base::Duration kSlotReturnTimeout = base::Duration::Seconds(1);
/// Interval at which a draining host checks whether it can stop.
constexpr auto kDrainCheckInterval = std::chrono::milliseconds(50);

base::Incarnation RandomIncarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device() | 1U;
}

membership::HostInfo OwnHostInfo(const settings::HostSettings& settings) {
  return {.ref = {settings.host, settings.listen.peers, RandomIncarnation()},
          .caller_address = settings.listen.callers,
          .peer_http_address = settings.listen.peer_http,
          .region = settings.region,
          .zone = settings.zone};
}

std::vector<membership::HostInfo> SeedsOf(const settings::HostSettings& settings) {
  std::vector<membership::HostInfo> seeds;
  for (const settings::Seed& it : settings.seeds) {
    seeds.push_back({.ref = {it.host, it.peers, 0},
                     .caller_address = it.callers,
                     .peer_http_address = it.peer_http,
                     .region = it.region,
                     .zone = it.zone});
  }
  return seeds;
}

/// Number of hosts in this host's region according to the settings, including this host.
std::uint32_t HostsInRegion(const settings::HostSettings& settings) {
  const auto n = std::count_if(settings.seeds.begin(), settings.seeds.end(),
                               [&](const auto& it) { return it.region == settings.region; });
  return static_cast<std::uint32_t>(n) + 1;
}

http::ServerLimits LimitsOf(const settings::HostSettings& settings) {
  http::ServerLimits limits;
  limits.threads = static_cast<unsigned>(settings.limits.traffic_threads);
  limits.read_timeout = settings.limits.header_time;
  limits.idle_timeout = settings.limits.idle_time;
  limits.body_bytes = settings.limits.body_bytes;
  return limits;
}

ticket::Limits TicketLimitsOf(const settings::HostSettings& settings) {
  ticket::Limits limits;
  limits.max_entries = settings.limits.tickets;
  limits.max_kept_bytes = settings.limits.ticket_bytes;
  limits.lifetime = kTicketLifetime;
  return limits;
}

}  // namespace

class EntryHost::Impl {
 public:
  explicit Impl(const settings::HostSettings& settings)
      : self_(OwnHostInfo(settings)),
        store_(http::Endpoint::Parse(settings.store)),
        gates_(settings.region, HostsInRegion(settings)),
        exposer_(registry_, settings.listen.metrics),
        tickets_(self_.ref.host, self_.ref.incarnation, TicketLimitsOf(settings)),
        control_({.controller = {self_, SeedsOf(settings)},
                  .peers = settings.listen.peers,
                  .host_list = settings.host_list,
                  .host_list_path = settings.host_list_path},
                 store_, gates_, snapshots_, control_counters_),
        links_(settings.region, HostsInRegion(settings)),
        dispatcher_(settings.region, gates_, links_, counters_,
                    {.on_wait = [this] { control_.OnWait(); },
                     .on_draining = [this](base::TargetKey it) { control_.OnDraining(it); }}),
        callers_api_({self_.ref, self_.region, self_.zone}, snapshots_, dispatcher_, tickets_,
                     counters_),
        admin_api_({self_.ref, self_.region, self_.zone}, snapshots_, gates_, tickets_, counters_,
                   control_counters_, [] { kill(getpid(), SIGTERM); }),
        expire_(kTicketExpiryInterval, [this] { tickets_.Expire(); }),
        callers_(Listen(settings.listen.callers, LimitsOf(settings),
                        [this](const auto& it) { return callers_api_.Handle(it, false); })),
        peers_(Listen(settings.listen.peer_http, LimitsOf(settings),
                      [this](const auto& it) { return callers_api_.Handle(it, true); })),
        admin_(Listen(settings.listen.admin, {.threads = 4},
                      [this](const auto& it) { return admin_api_.Handle(it); })),
        reporter_(registry_, snapshots_, control_counters_, gates_),
        report_(kReportInterval, [this] { reporter_.Report(*callers_, *peers_); }) {}

  ~Impl() { store_.Cancel(); }

  void Drain() {
    const control::SnapshotPtr snapshot = snapshots_.Load();
    const std::uint32_t ttl_ms = snapshot->table ? snapshot->table->table().lookup_ttl_ms : 0;
    control_.BeginStop();
    WaitUntil(http::Now() + kLeavePropagationTime + base::Duration::Milliseconds(ttl_ms));
    // All lookup responses that name this host have expired, so no caller needs a ticket from it.
    tickets_.StopIssuing();
    WaitUntil(tickets_.last_expiry());
    callers_->Stop();
    peers_->Stop();
    control_.Retire();
    const base::Instant slot_return_deadline = http::Now() + kSlotReturnTimeout;
    while (control_counters_.has_grants && http::Now() < slot_return_deadline) {
      std::this_thread::sleep_for(kDrainCheckInterval);
    }
    admin_->Stop();
  }

 private:
  static void WaitUntil(base::Instant deadline) {
    while (http::Now() < deadline) std::this_thread::sleep_for(kDrainCheckInterval);
  }

  static std::unique_ptr<http::Server> Listen(const std::string& address,
                                              const http::ServerLimits& limits,
                                              http::Server::Handler handler) {
    const http::Endpoint endpoint = http::Endpoint::Parse(address);
    return std::make_unique<http::Server>(endpoint.address, endpoint.port, limits,
                                          std::move(handler));
  }

  const membership::HostInfo self_;
  store::HttpStore store_;
  traffic::GateSet gates_;
  control::SnapshotCell snapshots_;
  metrics::Registry registry_;
  metrics::Exposer exposer_;
  traffic::Counters counters_{registry_};
  control::ControlCounters control_counters_{registry_};
  traffic::TicketDesk tickets_;
  control::ControlThread<store::HttpStore, traffic::GateSet> control_;
  traffic::LinkBudgets links_;
  traffic::Dispatcher dispatcher_;
  traffic::CallerApi callers_api_;
  traffic::AdminApi admin_api_;
  control::Periodic expire_;
  // Declared after the members that request handlers use, so that they are destroyed first.
  std::unique_ptr<http::Server> callers_;
  std::unique_ptr<http::Server> peers_;
  std::unique_ptr<http::Server> admin_;
  HostReporter reporter_;
  control::Periodic report_;  // Uses the servers and the reporter.
};

EntryHost::EntryHost(const settings::HostSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

EntryHost::~EntryHost() = default;

void EntryHost::Drain() { impl_->Drain(); }

}  // namespace mangonotch::app
