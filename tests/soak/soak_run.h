// One run of the soak: the real program as several processes, stand-ins of the store and of
// workers behind proxies, callers, and faults drawn from a seed. Checks the promises from what
// callers and workers saw.
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
#include "tests/soak/fault_proxy.h"
#include "tests/soak/soak_client.h"
#include "tests/support/loopback_network.h"
#include "tests/support/process.h"

namespace mangonotch::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  /// Program under test.
  std::string binary;
  /// For settings and logs; exists.
  std::string folder;
  int hosts = 4;
  int workers = 6;
  int callers = 24;
  base::Duration faults_time = base::Duration::Seconds(8);
};

struct SoakReport {
  std::size_t asked = 0;
  std::size_t served = 0;
  /// Of the requests in the calm seconds at the end.
  std::size_t calm_asked = 0;
  std::size_t calm_served = 0;
  /// When each fault began, and which.
  std::vector<std::string> faults;
  /// Served and asked requests of each second since the start.
  std::vector<std::pair<std::size_t, std::size_t>> by_second;
  /// Broken promises, each with the request or worker; empty when all were kept.
  std::vector<std::string> broken;
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
  void EnterWorker(Worker& worker, bool is_draining);
  void RunFor(base::Duration d);
  /// Starts a fault and, where it has one, its end.
  void InjectFault();
  void HarmHost(std::uint32_t kind, Host& host);
  void HarmWorker(std::uint32_t kind, Worker& worker);
  void HarmStore(std::uint32_t kind);
  void EndFaults();
  void RestartEnded();
  void Note(const std::string& fault);
  SoakReport Judge();

  SoakOptions options_;
  base::Random random_;
  boost::asio::io_context context_;
  /// Holds the hosts' addresses.
  support::LoopbackNetwork network_;
  platform::testing::RunCounts runs_;
  Observations seen_;
  platform::testing::StandInStore store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<SoakClient>> callers_;
  std::uint64_t version_ = 1;
  base::Instant started_at_;
  base::Instant calm_since_ = base::Instant::Never();
  SoakReport report_;
};

}  // namespace mangonotch::soak
