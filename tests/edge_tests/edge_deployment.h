// Entry hosts as separate processes, against a store and workers inside the test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/instant.h"
#include "http1/clock.h"
#include "platform/testing/stand_in_store.h"
#include "platform/testing/stand_in_worker.h"
#include "tests/support/fault_proxy.h"
#include "tests/support/loopback_network.h"
#include "tests/support/process.h"

namespace mangonotch::edge_tests {

inline constexpr const char* kCallerHost = "test.example";

/// A host that reaches the store through a proxy.
struct EdgeProcess {
  /// True if `text` is in the host's log.
  bool HasLogged(const std::string& text) const {
    return process->Output().find(text) != std::string::npos;
  }

  std::string ip;
  std::string settings_path;
  std::string log_path;
  std::unique_ptr<support::FaultProxy> store_proxy;
  std::unique_ptr<support::Process> process;
};

/// Hosts of one region with two workers, all in the same availability zone.
class EdgeDeployment {
 public:
  /// Starts `host_count` hosts, with settings and logs in a folder named `name`. `memory_mb` is the
  /// memory of each host's machine, 0 if their settings do not say it.
  EdgeDeployment(const std::string& name, int host_count, base::Duration work_time,
                 int memory_mb = 0);

  /// Runs the stand-ins for `d`.
  void RunFor(base::Duration d);
  /// Runs the stand-ins until `condition` holds, which is checked every `interval`; false when it
  /// does not hold within `limit`.
  template <typename Condition>
  bool RunUntil(base::Duration limit, Condition condition,
                base::Duration interval = base::Duration::Milliseconds(20)) {
    const base::Instant end = http1::Now() + limit;
    while (http1::Now() < end) {
      RunFor(interval);
      if (condition()) return true;
    }
    return false;
  }
  /// Runs until all hosts know the workers; false when they do not in time.
  bool RunUntilReady();

  /// Runs until the logs of all hosts hold `text`; false when they do not within `limit`.
  bool RunUntilAllHaveLogged(base::Duration limit, const std::string& text);
  /// The entry of worker `i` with its next report.
  std::string NextReport(std::size_t i, bool is_draining);

  /// What a caller within the limits receives from host `i` for an idempotent request with the id
  /// `request_id`, until its answer is complete, its connection is closed or `limit` has passed.
  std::string ReceivedByCaller(std::size_t i, const std::string& request_id, base::Duration limit);

  /// Kills the host's process and starts another one in its place, which adds to the same log.
  void Restart(std::size_t i);

  EdgeProcess& host(std::size_t i) { return hosts_[i]; }
  platform::testing::StandInWorker& worker(std::size_t i) { return *workers_[i]; }
  platform::testing::StandInStore& store() { return store_; }
  const platform::testing::RunCounts& runs() const { return runs_; }

 private:
  void StartHost(const std::string& folder, int number, int memory_mb);
  static void StartProcess(EdgeProcess& host);

  boost::asio::io_context context_;
  support::LoopbackNetwork network_;
  platform::testing::RunCounts runs_;
  platform::testing::StandInStore store_;
  std::vector<std::unique_ptr<platform::testing::StandInWorker>> workers_;
  std::vector<EdgeProcess> hosts_;
};

}  // namespace mangonotch::edge_tests
