// Implementation of SoakRun: fault injection and the checks after the run.
#include "tests/soak/soak_run.h"

#include <signal.h>

#include <algorithm>

#include "http1/asio_address.h"
#include "http1/clock.h"
#include "tests/support/edge_settings.h"

namespace mangonotch::soak {
namespace {

using base::Duration;
using platform::testing::StandInWorker;
using platform::testing::StoreMode;

constexpr const char* kService = "status";
constexpr const char* kRegions[] = {"north", "south"};
/// Time between the starts of two faults; faults overlap.
constexpr Duration kFaultInterval = Duration::Milliseconds(700);
/// Fault-free time before the first fault, and the time after the last fault in which service must
/// recover.
constexpr Duration kWarmUpTime = Duration::Seconds(3);
constexpr Duration kRecoveryTime = Duration::Seconds(6);
/// Measurement window after the recovery.
constexpr Duration kCalmTime = Duration::Seconds(2);
/// A draining worker must get no new work from this long after the store serves again.
constexpr Duration kDrainGrace = Duration::Milliseconds(3000);
/// Least ratio of served requests in the calm time at the end.
constexpr double kMinCalmServedRatio = 0.9;

base::Endpoint MakeEndpoint(const std::string& ip, std::uint16_t port) {
  return {.address = *base::ParseIpAddress(ip), .port = port};
}

}  // namespace

struct SoakRun::Worker {
  std::unique_ptr<StandInWorker> server;
  std::unique_ptr<support::FaultProxy> proxy;
  bool is_draining = false;
};

struct SoakRun::Host {
  std::string name;
  std::string ip;
  std::string region;
  std::string settings_path;
  std::unique_ptr<support::FaultProxy> store_proxy;
  std::unique_ptr<support::Process> process;
  int starts = 0;
  bool is_paused = false;
};

SoakRun::SoakRun(SoakOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      network_(context_),
      store_(context_, MakeEndpoint("127.0.0.1", 0)) {
  store_.Put(
      std::string(platform::testing::kConfigurationStoreKey),
      platform::testing::MakeConfiguration(configuration_version_, "soak.example", kService));
  for (int i = 0; i < options_.workers; ++i) {
    auto worker = std::make_unique<Worker>();
    worker->server = std::make_unique<StandInWorker>(
        context_, MakeEndpoint("127.0.0.1", 0),
        platform::testing::WorkerOptions{.id = "w-" + std::to_string(i),
                                         .service = kService,
                                         .zone = std::string(kRegions[i % 2]) + "-a"},
        runs_);
    worker->proxy = std::make_unique<support::FaultProxy>(
        context_, MakeEndpoint("127.0.0.1", 0), MakeEndpoint("127.0.0.1", worker->server->port()));
    RegisterWorker(*worker, false);
    workers_.push_back(std::move(worker));
  }
  std::vector<base::Endpoint> lookup_addresses;
  for (int i = 0; i < options_.hosts; ++i) {
    auto host = std::make_unique<Host>();
    host->name = "host-" + std::to_string(i);
    host->ip = network_.Host(i + 1);
    host->region = kRegions[i % 2];
    host->store_proxy = std::make_unique<support::FaultProxy>(
        context_, MakeEndpoint("127.0.0.1", 0), MakeEndpoint("127.0.0.1", store_.port()));
    lookup_addresses.push_back(MakeEndpoint(host->ip, support::kEdgeLookupPort));
    hosts_.push_back(std::move(host));
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) StartHost(i);
  for (int i = 0; i < options_.callers; ++i) {
    callers_.push_back(std::make_unique<SoakClient>(
        context_, "c" + std::to_string(i), kRegions[i % 2], lookup_addresses,
        options_.seed * 1000 + static_cast<std::uint64_t>(i), observations_));
  }
}

SoakRun::~SoakRun() = default;

void SoakRun::RegisterWorker(Worker& worker, bool is_draining) {
  const std::string address = "127.0.0.1:" + std::to_string(worker.proxy->port());
  store_.Put(worker.server->EntryKey(), worker.server->Entry(address, is_draining));
}

void SoakRun::StartHost(std::size_t index) {
  Host& host = *hosts_[index];
  host.settings_path = options_.folder + "/" + host.name + ".jsonc";
  support::WriteEdgeSettings(host.settings_path,
                             {.name = host.name,
                              .ip = host.ip,
                              .region = host.region,
                              .seed_ip = hosts_[0]->ip,
                              .store = MakeEndpoint("127.0.0.1", host.store_proxy->port())});
  const std::vector<std::string> argv = {options_.binary, "edge", host.settings_path};
  const std::string log =
      options_.folder + "/" + host.name + "." + std::to_string(++host.starts) + ".log";
  host.process = std::make_unique<support::Process>(argv, log);
  host.is_paused = false;
}

void SoakRun::RunFor(Duration d) {
  context_.restart();
  context_.run_for(http1::ToChrono(d));
}

void SoakRun::RecordFault(const std::string& fault) {
  report_.faults.push_back("+" + std::to_string((http1::Now() - started_at_).milliseconds()) +
                           "ms " + fault);
}

SoakReport SoakRun::Run() {
  started_at_ = http1::Now();
  RunFor(Duration::Milliseconds(500));
  for (const auto& it : callers_) it->Start();
  RunFor(kWarmUpTime);
  const base::Instant end = http1::Now() + options_.fault_duration;
  while (http1::Now() < end) {
    InjectFault();
    RunFor(kFaultInterval);
    RestartExitedHosts();
  }
  EndFaults();
  RunFor(kRecoveryTime);
  calm_since_ = http1::Now();
  RunFor(kCalmTime);
  for (const auto& it : callers_) it->Stop();
  RunFor(Duration::Milliseconds(1500));
  return CheckInvariants();
}

void SoakRun::InjectFault() {
  constexpr std::uint32_t kHostFaults = 6;
  constexpr std::uint32_t kWorkerFaults = 5;
  constexpr std::uint32_t kStoreFaults = 5;
  std::uint32_t kind = random_.Below(kHostFaults + kWorkerFaults + kStoreFaults);
  if (kind < kHostFaults) {
    InjectHostFault(kind, *hosts_[random_.Below(static_cast<std::uint32_t>(hosts_.size()))]);
    return;
  }
  kind -= kHostFaults;
  if (kind < kWorkerFaults) {
    InjectWorkerFault(kind, *workers_[random_.Below(static_cast<std::uint32_t>(workers_.size()))]);
    return;
  }
  InjectStoreFault(kind - kWorkerFaults);
}

void SoakRun::InjectHostFault(std::uint32_t kind, Host& host) {
  const char* const names[] = {"kill", "terminate", "pause", "hang up", "cut from store", "resume"};
  RecordFault(std::string(names[kind]) + " " + host.name);
  switch (kind) {
    case 0:
      host.process->Signal(SIGKILL);
      break;
    case 1:
      host.process->Signal(SIGTERM);
      break;
    case 2:
      host.process->Signal(SIGSTOP);
      host.is_paused = true;
      break;
    case 3:
      host.process->Signal(SIGHUP);
      break;
    case 4:
      host.store_proxy->SetFault({.delay = {}, .drops_requests = false, .drops_responses = true});
      break;
    default:
      host.process->Signal(SIGCONT);
      host.is_paused = false;
      host.store_proxy->SetFault({});
      break;
  }
}

void SoakRun::InjectWorkerFault(std::uint32_t kind, Worker& worker) {
  const char* const names[] = {"reset connections of", "delay", "silence", "slow", "drain"};
  RecordFault(std::string(names[kind]) + " " + worker.server->options().id);
  const auto draining = std::count_if(workers_.begin(), workers_.end(),
                                      [](const auto& it) { return it->is_draining; });
  switch (kind) {
    case 0:
      worker.proxy->ResetAll();
      break;
    case 1:
      worker.proxy->SetFault({.delay = Duration::Milliseconds(150)});
      break;
    case 2:
      worker.proxy->SetFault(
          {.delay = {}, .drops_requests = random_.Below(2) == 0, .drops_responses = true});
      break;
    case 3:
      worker.server->SetWorkTime(Duration::Milliseconds(200));
      break;
    default:
      if (worker.is_draining || draining + 2 >= static_cast<std::ptrdiff_t>(workers_.size())) break;
      worker.is_draining = true;
      RegisterWorker(worker, true);
      break;
  }
}

void SoakRun::InjectStoreFault(std::uint32_t kind) {
  const char* const names[] = {"store silent", "store busy", "store loses answers", "store serves",
                               "configuration and history"};
  RecordFault(names[kind]);
  constexpr StoreMode kModes[] = {StoreMode::kSilent, StoreMode::kBusy, StoreMode::kLosingAnswers,
                                  StoreMode::kServing};
  if (kind < std::size(kModes)) {
    store_.SetMode(kModes[kind]);
    return;
  }
  store_.Put(
      std::string(platform::testing::kConfigurationStoreKey),
      platform::testing::MakeConfiguration(++configuration_version_, "soak.example", kService));
  store_.Compact();
}

void SoakRun::RestartExitedHosts() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i]->process->Wait(0) != -1) {
      RecordFault("restart " + hosts_[i]->name);
      StartHost(i);
    }
  }
}

void SoakRun::EndFaults() {
  RecordFault("end of faults");
  store_.SetMode(StoreMode::kServing);
  for (const auto& it : hosts_) {
    it->process->Signal(SIGCONT);
    it->store_proxy->SetFault({});
  }
  for (const auto& it : workers_) {
    it->proxy->SetFault({});
    // Discarded bytes are lost for good; the reset makes both ends notice.
    it->proxy->ResetAll();
    it->server->SetWorkTime(Duration::Milliseconds(20));
    if (it->is_draining) it->server->StartDraining(kDrainGrace);
  }
  // Time for hosts that got SIGTERM to exit, so that they are restarted.
  for (int i = 0; i < 8; ++i) {
    RunFor(Duration::Seconds(1));
    RestartExitedHosts();
  }
}

SoakReport SoakRun::CheckInvariants() {
  const std::size_t seconds =
      static_cast<std::size_t>((http1::Now() - started_at_).milliseconds() / 1000) + 1;
  report_.by_second.resize(seconds);
  for (const auto& [id, observation] : observations_) {
    const auto run = runs_.find(id);
    const int times = run == runs_.end() ? 0 : run->second;
    ++report_.requests;
    report_.served += observation.was_served ? 1 : 0;
    auto& second = report_.by_second[static_cast<std::size_t>(
        (observation.at - started_at_).milliseconds() / 1000)];
    second.first += observation.was_served ? 1 : 0;
    ++second.second;
    if (observation.at >= calm_since_) {
      ++report_.calm_requests;
      report_.calm_served += observation.was_served ? 1 : 0;
    }
    if (observation.is_non_idempotent && times > 1) {
      report_.violations.push_back(id + " ran more than once");
    }
    if (observation.is_non_idempotent && observation.was_told_not_run && times > 0) {
      report_.violations.push_back(id + " was reported as not run but ran");
    }
    if (observation.was_invalid_success) {
      report_.violations.push_back(id + " got a success response that no worker sent for it");
    }
    if (observation.was_served && times == 0) {
      report_.violations.push_back(id + " was served but never ran");
    }
  }
  for (const auto& it : workers_) {
    if (it->server->late_runs() > 0) {
      report_.violations.push_back(it->server->options().id + " got work after it had to be left");
    }
  }
  if (static_cast<double>(report_.calm_served) <
      kMinCalmServedRatio * static_cast<double>(report_.calm_requests)) {
    report_.violations.push_back(
        "service did not recover, requests served: " + std::to_string(report_.calm_served) +
        " of " + std::to_string(report_.calm_requests));
  }
  return report_;
}

}  // namespace mangonotch::soak
