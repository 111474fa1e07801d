// Callers outside the limits: each sends a start, then a block again and again up to a number of
// bytes, and then keeps its connection open without reading.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "http1/tests/loopback.h"
#include "tests/edge_tests/edge_deployment.h"

namespace mangonotch::edge_tests {

/// What one caller sends.
struct CallerScript {
  std::string start;
  std::string block;
  /// Times that `block` is sent; the last one without its last `cut_bytes`.
  std::size_t repeats = 0;
  std::size_t cut_bytes = 0;
};

class Crowd {
 public:
  /// Connects `size` callers to `host`.
  Crowd(const EdgeProcess& host, std::size_t size, CallerScript script);

  /// Runs the stand-ins while the callers send, until each has sent everything or was
  /// disconnected; false when that takes longer than `limit`.
  bool Send(EdgeDeployment& deployment, base::Duration limit);

 private:
  struct Caller {
    std::unique_ptr<http1::LoopbackSocket> socket;
    /// Bytes of the script that have been sent.
    std::size_t sent = 0;
  };

  /// Sends as much as the socket takes at once; true when the caller has ended.
  bool Advance(Caller& caller) const;

  CallerScript script_;
  /// `script_.block` as often as it fits into one write.
  std::string blocks_;
  std::vector<Caller> callers_;
};

/// Memory and descriptors of a process.
struct ProcessUsage {
  /// Largest resident memory so far, in KiB.
  std::size_t peak_kib = 0;
  std::size_t descriptors = 0;
};

/// All zero when the process does not run.
ProcessUsage UsageOf(pid_t pid);

}  // namespace mangonotch::edge_tests
