// Starting the hosts and running the stand-ins.
#include "tests/edge_tests/edge_deployment.h"

#include <sys/stat.h>

#include <algorithm>
#include <cstdio>

#include "http1/message.h"
#include "http1/tests/loopback.h"
#include "tests/support/edge_settings.h"

namespace mangonotch::edge_tests {
namespace {

using base::Duration;
using platform::testing::StandInWorker;

constexpr const char* kService = "status";
constexpr Duration kStartTime = Duration::Seconds(20);

base::Endpoint LocalPort(std::uint16_t port) {
  return {.address = *base::ParseIpAddress("127.0.0.1"), .port = port};
}

}  // namespace

EdgeDeployment::EdgeDeployment(const std::string& name, int host_count, Duration work_time,
                               int memory_mb)
    : network_(context_), store_(context_, LocalPort(0)) {
  store_.Put(std::string(platform::testing::kConfigurationStoreKey),
             platform::testing::MakeConfiguration(1, kCallerHost, kService));
  for (const char* const id : {"w-1", "w-2"}) {
    workers_.push_back(std::make_unique<StandInWorker>(
        context_, LocalPort(0),
        platform::testing::WorkerOptions{
            .id = id, .service = kService, .zone = "north-a", .work_time = work_time},
        runs_));
    store_.Put(workers_.back()->EntryKey(), NextReport(workers_.size() - 1, false));
  }
  const std::string folder = std::string(MANGONOTCH_TEST_LOGS) + "/" + name;
  mkdir(MANGONOTCH_TEST_LOGS, 0755);
  mkdir(folder.c_str(), 0755);
  for (int i = 1; i <= host_count; ++i) StartHost(folder, i, memory_mb);
}

bool EdgeDeployment::RunUntilAllHaveLogged(Duration limit, const std::string& text) {
  return RunUntil(limit, [&] {
    return std::all_of(hosts_.begin(), hosts_.end(),
                       [&](const EdgeProcess& it) { return it.HasLogged(text); });
  });
}

std::string EdgeDeployment::NextReport(std::size_t i, bool is_draining) {
  StandInWorker& worker = *workers_[i];
  return worker.Entry("127.0.0.1:" + std::to_string(worker.port()), is_draining);
}

void EdgeDeployment::StartHost(const std::string& folder, int number, int memory_mb) {
  const std::string name = "host-" + std::to_string(number);
  EdgeProcess host{.ip = network_.Host(number),
                   .settings_path = folder + "/" + name + ".jsonc",
                   .log_path = folder + "/" + name + ".log",
                   .store_proxy = std::make_unique<support::FaultProxy>(context_, LocalPort(0),
                                                                        LocalPort(store_.port())),
                   .process = nullptr};
  support::WriteEdgeSettings(host.settings_path, {.name = name,
                                                  .ip = host.ip,
                                                  .region = "north",
                                                  .seed_ip = network_.Host(1),
                                                  .store = LocalPort(host.store_proxy->port()),
                                                  .memory_mb = memory_mb});
  std::remove(host.log_path.c_str());  // Of an earlier run; it need not exist.
  StartProcess(host);
  hosts_.push_back(std::move(host));
}

void EdgeDeployment::StartProcess(EdgeProcess& host) {
  const std::vector<std::string> argv = {MANGONOTCH_BINARY, "edge", host.settings_path};
  host.process = std::make_unique<support::Process>(argv, host.log_path);
}

std::string EdgeDeployment::ReceivedByCaller(std::size_t i, const std::string& request_id,
                                             Duration limit) {
  http1::LoopbackSocket caller(boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(hosts_[i].ip), support::kEdgeCallerPort));
  caller.Send(http1::Serialize(platform::testing::MakeCallerRequest(
      "GET", kCallerHost, "/look/1", request_id, "1", Duration::Seconds(4))));
  RunUntil(limit, [&] {
    return caller.Received().find("whole answer to " + request_id) != std::string::npos ||
           caller.IsClosed();
  });
  return caller.Received();
}

void EdgeDeployment::Restart(std::size_t i) {
  EdgeProcess& host = hosts_[i];
  host.process->Kill();
  StartProcess(host);
}

void EdgeDeployment::RunFor(Duration d) {
  context_.restart();
  context_.run_for(http1::ToChrono(d));
}

bool EdgeDeployment::RunUntilReady() {
  return RunUntil(kStartTime, [&] {
    return std::all_of(hosts_.begin(), hosts_.end(), [](const EdgeProcess& it) {
      return it.HasLogged("configuration=1 targets=2");
    });
  });
}

}  // namespace mangonotch::edge_tests
