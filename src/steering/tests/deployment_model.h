// A model of a deployment without a network: hosts with an engine each, in three regions, and
// targets with slots, a queue and a cache of objects. Virtual time, seeded, single-threaded.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/random.h"
#include "steering/tests/engine_harness.h"

namespace mangonotch::steering {

struct ModelRoute {
  std::string name;
  std::string service;
  double per_s = 0;
  double work_ms = 0;
  std::int64_t objective_ms = 0;
  std::int64_t deadline_ms = 0;
  bool is_idempotent = false;
  std::uint32_t priority = 0;
  /// Number of objects; 0 if requests have no affinity key.
  std::uint32_t objects = 0;
  /// The demand for an object is proportional to its rank to the power of minus this.
  double skew = 0;
};

struct ModelService {
  std::string name;
  /// Targets by region.
  std::array<int, 3> targets{};
  std::uint32_t slots = 3;
  std::size_t queue = 9;
  std::size_t cached_objects = 16;
};

struct ModelDeployment {
  std::vector<ModelRoute> routes;
  std::vector<ModelService> services;
  int hosts_per_region = 12;
  /// Amplitude of each region's rate, with a period of 36 s and the regions a third apart.
  double swing = 0.55;
  /// Share of targets whose work takes `slow_factor` times as long in the second half.
  double slow_share = 0;
  double slow_factor = 2.5;
  /// Every n-th target restarts with an empty cache at the start of the second half; 0 for none.
  int restart_every = 0;
  /// Work, as a factor, grows by this per busy slot beyond the first at every third target; 0 for
  /// targets that run as fast full as empty.
  double crowding = 0;
  std::int64_t duration_ms = 16'000;
  /// Requests that arrive earlier are not counted.
  std::int64_t warm_up_ms = 8'000;
};

struct ModelResult {
  std::string route;
  int requests = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  /// Attempts, those that met the object in the cache, and those at targets in other regions.
  int attempts = 0;
  int warm = 0;
  int remote = 0;
  double total_ms = 0;

  double InTime() const { return requests == 0 ? 0 : static_cast<double>(in_time) / requests; }
  double Late() const { return requests == 0 ? 0 : static_cast<double>(late) / requests; }
  double Refused() const { return requests == 0 ? 0 : static_cast<double>(refused) / requests; }
  double Warm() const { return attempts == 0 ? 0 : static_cast<double>(warm) / attempts; }
  double Remote() const { return attempts == 0 ? 0 : static_cast<double>(remote) / attempts; }
  double MeanMs() const { return in_time + late == 0 ? 0 : total_ms / (in_time + late); }
};

struct HomeObserver : NullObserver {
  void OnSent(const Exchange&, const Choice& choice, base::Instant) {
    if (choice.homes == 0) return;
    ++attempts;
    at_homes += choice.IsHome() ? 1 : 0;
    homes += choice.homes;
  }

  int attempts = 0;
  int at_homes = 0;
  std::uint64_t homes = 0;
};

class DeploymentModel {
 public:
  explicit DeploymentModel(ModelDeployment deployment, PlacementSettings placement = {},
                           std::uint64_t seed = 7)
      : deployment_(std::move(deployment)), random_(seed) {
    MakeTargets();
    for (int region = 0; region < kRegions; ++region) {
      for (int i = 0; i < deployment_.hosts_per_region; ++i) MakeHost(region, placement);
    }
    ApplyCatalog();
    for (const ModelRoute& it : deployment_.routes) {
      results_.push_back({.route = it.name});
      std::vector<double> sums;
      double sum = 0;
      for (std::uint32_t i = 1; i <= it.objects; ++i) {
        sums.push_back(sum += std::pow(static_cast<double>(i), -it.skew));
      }
      popularity_.push_back(std::move(sums));
    }
  }

  const std::vector<ModelResult>& Run() {
    const std::int64_t half = (deployment_.warm_up_ms + deployment_.duration_ms) / 2;
    for (now_ms_ = 0; now_ms_ < deployment_.duration_ms + kDrainMs; ++now_ms_) {
      if (now_ms_ == half) Disrupt();
      if (now_ms_ % kHeartbeatMs == 0) ExchangeLoads();
      if (now_ms_ < deployment_.duration_ms) Arrive();
      while (!events_.empty() && events_.top().at_ms <= now_ms_) {
        const Event event = events_.top();
        events_.pop();
        event.run();
      }
      for (auto& it : hosts_) {
        if (it->engine->NextDeadline() <= At(now_ms_)) it->engine->OnTimer(At(now_ms_));
      }
    }
    return results_;
  }

  /// Longest busy time of a target of the service, relative to the mean.
  double BusiestOverMean(const std::string& service) const {
    double sum = 0;
    double most = 0;
    int count = 0;
    for (const auto& it : targets_) {
      if (it->record.service != service) continue;
      sum += it->busy_ms;
      most = std::max(most, it->busy_ms);
      ++count;
    }
    return sum == 0 ? 0 : most * count / sum;
  }

  /// Share of the attempts for objects that went to the objects' homes, since the start.
  double HomeShare() const {
    double at_homes = 0;
    double attempts = 0;
    for (const auto& it : hosts_) {
      at_homes += it->observer.at_homes;
      attempts += it->observer.attempts;
    }
    return attempts == 0 ? 0 : at_homes / attempts;
  }

 private:
  static constexpr int kRegions = 3;
  static constexpr std::int64_t kHeartbeatMs = 150;
  static constexpr std::int64_t kDrainMs = 5'000;
  static constexpr std::int64_t kRemoteOneWayMs = 55;
  static constexpr std::int64_t kLocalOneWayMs = 1;
  /// Between a caller and its host and back.
  static constexpr std::int64_t kCallerMs = 6;
  static constexpr double kWarmWork = 0.3;

  struct Host;
  struct Job {
    Host* host = nullptr;
    ExchangeId id = 0;
    AttemptNumber number = 0;
    std::size_t route = 0;
    std::uint64_t key = 0;
    bool is_counted = false;
    double work_ms = 0;
  };
  struct ModelTarget {
    catalog::Target record;
    int region = 0;
    const ModelService* service = nullptr;
    bool is_slow = false;
    bool is_crowded = false;
    std::uint32_t running = 0;
    std::deque<Job> waiting;
    std::deque<std::uint64_t> cache;
    double busy_ms = 0;
  };
  struct ModelPort {
    DeploymentModel* model = nullptr;
    Host* host = nullptr;

    void SendAttempt(ExchangeId id, const AttemptCommand& command) {
      model->Send(*host, id, command);
    }
    void CancelAttempt(ExchangeId, AttemptNumber) {}
    void DeliverAnswer(ExchangeId id, AttemptNumber) { model->OnDelivered(*host, id); }
    void SendLocalReply(ExchangeId id, const LocalReply&) { model->OnLocalReply(*host, id); }
  };
  struct Request {
    std::size_t route = 0;
    std::uint64_t key = 0;
    std::int64_t arrived_ms = 0;
    double work_ms = 0;
    bool is_counted = false;
  };
  struct Host {
    int region = 0;
    ModelPort port;
    HomeObserver observer;
    std::unique_ptr<Engine<ModelPort, HomeObserver>> engine;
    std::unordered_map<ExchangeId, Request> requests;
    ExchangeId last_id = 0;
    std::vector<PeerLoad> loads;
  };
  struct Event {
    std::int64_t at_ms = 0;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at_ms, sequence) > std::pair(other.at_ms, other.sequence);
    }
  };

  void Schedule(std::int64_t at_ms, std::function<void()> run) {
    events_.push({at_ms, ++sequence_, std::move(run)});
  }

  static std::string ZoneOf(int region) { return std::string(1, static_cast<char>('a' + region)); }

  void MakeTargets() {
    for (const ModelService& service : deployment_.services) {
      for (int region = 0; region < kRegions; ++region) {
        for (int i = 0; i < service.targets[static_cast<std::size_t>(region)]; ++i) {
          auto target = std::make_unique<ModelTarget>();
          target->record = MakeTarget(service.name + std::to_string(targets_.size()), service.name,
                                      ZoneOf(region), service.slots);
          target->region = region;
          target->service = &service;
          target->is_crowded = targets_.size() % 3 == 0;
          by_id_[target->record.id] = target.get();
          targets_.push_back(std::move(target));
        }
      }
    }
  }

  void MakeHost(int region, const PlacementSettings& placement) {
    hosts_.push_back(std::make_unique<Host>());
    Host& host = *hosts_.back();
    host.region = region;
    host.port = {this, &host};
    EngineSettings settings;
    settings.region = ZoneOf(region);
    settings.host_key = base::Mix(hosts_.size());
    for (int i = 0; i < kRegions; ++i) settings.zones[ZoneOf(i)] = ZoneOf(i);
    settings.placement = placement;
    settings.retry_limits = {.ratio = 0.1, .allowance = 20};
    host.engine =
        std::make_unique<Engine<ModelPort, HomeObserver>>(settings, host.port, host.observer);
  }

  void ApplyCatalog() {
    catalog::Configuration configuration;
    configuration.version = 1;
    for (const ModelRoute& it : deployment_.routes) {
      catalog::Route route = MakeRoute("/" + it.name + "/", it.is_idempotent, it.service);
      route.timeout = base::Duration::Milliseconds(it.deadline_ms);
      route.latency_objective = base::Duration::Milliseconds(it.objective_ms);
      route.priority = it.priority;
      route.has_affinity = it.objects > 0;
      configuration.routes.push_back(route);
    }
    auto next = std::make_shared<catalog::Catalog>();
    next->configuration = std::make_shared<const catalog::Configuration>(configuration);
    for (const auto& it : targets_) next->targets.push_back(it->record);
    for (auto& it : hosts_) {
      it->engine->SetHosts(static_cast<std::uint32_t>(hosts_.size()), {});
      it->engine->ApplyCatalog(next, At(now_ms_));
    }
  }

  /// Restarts some targets and slows others down.
  void Disrupt() {
    const auto slow_count =
        static_cast<std::size_t>(deployment_.slow_share * static_cast<double>(targets_.size()));
    for (std::size_t i = 0; i < slow_count; ++i) {
      targets_[random_.Below(static_cast<std::uint32_t>(targets_.size()))]->is_slow = true;
    }
    if (deployment_.restart_every == 0) return;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      if (i % static_cast<std::size_t>(deployment_.restart_every) == 0) targets_[i]->cache.clear();
    }
  }

  /// Hosts hear of the requests in flight of the other hosts of their region, as of the previous
  /// interval.
  void ExchangeLoads() {
    for (auto& receiver : hosts_) {
      std::vector<PeerLoad> loads;
      for (const auto& sender : hosts_) {
        if (sender == receiver || sender->region != receiver->region) continue;
        loads.insert(loads.end(), sender->loads.begin(), sender->loads.end());
      }
      receiver->engine->SetPeerLoads(loads, At(now_ms_));
    }
    for (auto& it : hosts_) it->loads = it->engine->OwnLoads();
  }

  void Arrive() {
    for (std::size_t route = 0; route < deployment_.routes.size(); ++route) {
      for (int region = 0; region < kRegions; ++region) {
        constexpr double kPeriodMs = 36'000;
        constexpr double kTwoPi = 6.283185307179586;
        const double phase = static_cast<double>(now_ms_) / kPeriodMs + region / 3.0;
        const double per_ms = deployment_.routes[route].per_s / 1e3 / kRegions *
                              (1 + deployment_.swing * std::sin(kTwoPi * phase));
        // Approximates a Poisson process: at most a few requests per millisecond.
        for (double rest = per_ms; rest > 0; rest -= 0.25) {
          if (random_.Unit() < std::min(rest, 0.25)) Request(route, region);
        }
      }
    }
  }

  void Request(std::size_t index, int region) {
    const ModelRoute& route = deployment_.routes[index];
    const auto per_region = static_cast<std::size_t>(deployment_.hosts_per_region);
    const std::size_t host_index = static_cast<std::size_t>(region) * per_region +
                                   random_.Below(static_cast<std::uint32_t>(per_region));
    Host& host = *hosts_[host_index];
    std::uint64_t key = 0;
    if (route.objects > 0) {
      const std::vector<double>& sums = popularity_[index];
      const auto it = std::lower_bound(sums.begin(), sums.end(), random_.Unit() * sums.back());
      key = base::Mix((index + 1) * 100'000 + static_cast<std::uint64_t>(it - sums.begin()));
    }
    const ExchangeId id = ++host.last_id;
    const bool is_counted = now_ms_ >= deployment_.warm_up_ms;
    host.requests[id] = {index, key, now_ms_, route.work_ms * (0.6 + 0.8 * random_.Unit()),
                         is_counted};
    if (is_counted) ++results_[index].requests;
    host.engine->OnRequest(id,
                           {.host = "h.example",
                            .target = "/" + route.name + "/1",
                            .affinity_key = key,
                            .deadline = At(now_ms_ + route.deadline_ms)},
                           At(now_ms_));
  }

  std::int64_t OneWayMs(const Host& host, const ModelTarget& target) const {
    return host.region == target.region ? kLocalOneWayMs : kRemoteOneWayMs;
  }

  void Send(Host& host, ExchangeId id, const AttemptCommand& command) {
    ModelTarget& target = *by_id_.at(command.target_id);
    const struct Request& request = host.requests.at(id);
    const Job job{
        &host, id, command.number, request.route, request.key, request.is_counted, request.work_ms};
    if (job.is_counted) {
      ++results_[job.route].attempts;
      if (host.region != target.region) ++results_[job.route].remote;
    }
    Schedule(now_ms_ + OneWayMs(host, target), [this, &target, job] { OnReceived(target, job); });
  }

  void OnReceived(ModelTarget& target, const Job& job) {
    if (target.running < target.service->slots) {
      Start(target, job);
    } else if (target.waiting.size() < target.service->queue) {
      target.waiting.push_back(job);
    } else {
      Answer(target, job, AttemptResult::kNotRun);
    }
  }

  void Start(ModelTarget& target, const Job& job) {
    ++target.running;
    const bool is_warm = job.key != 0 && std::find(target.cache.begin(), target.cache.end(),
                                                   job.key) != target.cache.end();
    if (is_warm && job.is_counted) ++results_[job.route].warm;
    double work = job.work_ms * (is_warm ? kWarmWork : 1);
    if (target.is_slow) work *= deployment_.slow_factor;
    if (target.is_crowded) work *= 1 + deployment_.crowding * (target.running - 1);
    target.busy_ms += work;
    Schedule(now_ms_ + std::max<std::int64_t>(1, static_cast<std::int64_t>(work)),
             [this, &target, job] { OnFinished(target, job); });
  }

  void OnFinished(ModelTarget& target, const Job& job) {
    --target.running;
    std::erase(target.cache, job.key);
    target.cache.push_back(job.key);
    if (target.cache.size() > target.service->cached_objects) target.cache.pop_front();
    Answer(target, job, AttemptResult::kAnswered);
    if (target.waiting.empty()) return;
    const Job next = target.waiting.front();
    target.waiting.pop_front();
    Start(target, next);
  }

  void Answer(ModelTarget& target, const Job& job, AttemptResult result) {
    const LoadReport load{.running = target.running,
                          .waiting = static_cast<std::uint32_t>(target.waiting.size()),
                          .slots = target.service->slots,
                          .slowness_percent = 100};
    Schedule(now_ms_ + OneWayMs(*job.host, target), [this, job, result, load] {
      job.host->engine->OnOutcome(job.id, job.number, {.result = result, .load = load},
                                  At(now_ms_));
    });
  }

  void OnDelivered(Host& host, ExchangeId id) {
    const struct Request& request = host.requests.at(id);
    if (!request.is_counted) return;
    ModelResult& result = results_[request.route];
    const std::int64_t elapsed = now_ms_ - request.arrived_ms + kCallerMs;
    result.total_ms += static_cast<double>(elapsed);
    ++(elapsed <= deployment_.routes[request.route].objective_ms ? result.in_time : result.late);
  }

  void OnLocalReply(Host& host, ExchangeId id) {
    const struct Request& request = host.requests.at(id);
    if (request.is_counted) ++results_[request.route].refused;
  }

  ModelDeployment deployment_;
  base::Random random_;
  std::vector<std::unique_ptr<ModelTarget>> targets_;
  std::unordered_map<std::string, ModelTarget*> by_id_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<ModelResult> results_;
  /// By route: sums of the demand for its objects, up to each.
  std::vector<std::vector<double>> popularity_;
  std::priority_queue<Event> events_;
  std::uint64_t sequence_ = 0;
  std::int64_t now_ms_ = 0;
};

}  // namespace mangonotch::steering
