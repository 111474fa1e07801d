// One run of the soak test: the real program as several processes, stand-ins for the store and the
// workers behind fault proxies, callers, and a fault sequence derived from a seed. Compares the
// responses that callers got with what the workers ran, and reports violated invariants.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "platform/testing/stand_in_store.h"
#include "platform/testing/stand_in_worker.h"
#include "tests/soak/soak_client.h"
#include "tests/support/fault_proxy.h"
#include "tests/support/loopback_network.h"
#include "tests/support/process.h"

namespace mangonotch::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  /// Program under test.
  std::string binary;
  /// Existing folder for settings and logs.
  std::string folder;
  int hosts = 4;
  int workers = 6;
  int callers = 24;
  base::Duration fault_duration = base::Duration::Seconds(8);
};

struct SoakReport {
  /// Requests that callers sent.
  std::size_t requests = 0;
  std::size_t served = 0;
  /// Requests in the fault-free seconds at the end.
  std::size_t calm_requests = 0;
  std::size_t calm_served = 0;
  /// Start time and name of each fault.
  std::vector<std::string> faults;
  /// Requests served and requests sent in each second since the start.
  std::vector<std::pair<std::size_t, std::size_t>> by_second;
  /// Violated invariants, each with the request or worker concerned; empty when all hold.
  std::vector<std::string> violations;
};

class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);
  ~SoakRun();

  SoakReport Run();

 private:
  struct Host;
  struct Worker;

  void StartHost(std::size_t index);
  void RegisterWorker(Worker& worker, bool is_draining);
  void RunFor(base::Duration d);
  /// Injects one fault, drawn at random.
  void InjectFault();
  void InjectHostFault(std::uint32_t kind, Host& host);
  void InjectWorkerFault(std::uint32_t kind, Worker& worker);
  void InjectStoreFault(std::uint32_t kind);
  void EndFaults();
  void RestartExitedHosts();
  void RecordFault(const std::string& fault);
  SoakReport CheckInvariants();

  SoakOptions options_;
  base::Random random_;
  boost::asio::io_context context_;
  /// Provides the addresses of the hosts.
  support::LoopbackNetwork network_;
  platform::testing::RunCounts runs_;
  Observations observations_;
  platform::testing::StandInStore store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<SoakClient>> callers_;
  std::uint64_t configuration_version_ = 1;
  base::Instant started_at_;
  base::Instant calm_since_ = base::Instant::Never();
  SoakReport report_;
};

}  // namespace mangonotch::soak
