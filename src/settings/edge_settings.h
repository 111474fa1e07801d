// The settings file of an entry host on the platform. What operators change while the system runs
// comes from the platform's store instead.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "logging/level.h"

namespace mangonotch::settings {

/// Addresses that the process binds.
struct EdgeListen {
  base::Endpoint callers;
  base::Endpoint readiness;
  /// Callers ask here which hosts to connect to.
  base::Endpoint lookup;
  /// UDP and TCP, for other hosts.
  base::Endpoint peers;
  base::Endpoint metrics;

  bool operator==(const EdgeListen&) const = default;
};

/// What the host may do at most.
struct EdgeBounds {
  /// Attempts beyond the first that a service may get for each request, over `retry_window`.
  double retry_ratio = 0.1;
  base::Duration retry_window = base::Duration::Seconds(10);
  /// Attempts beyond that, summed over all hosts.
  std::uint32_t retry_allowance = 10;
  /// Time between SIGTERM and the end that the platform enforces.
  base::Duration stop_time = base::Duration::Seconds(6);
  /// Longest time that callers keep an answer of the look-up.
  base::Duration lookup_ttl = base::Duration::Seconds(5);

  bool operator==(const EdgeBounds&) const = default;
};

struct EdgeSettings {
  base::HostId host;
  std::string region;
  std::string zone;
  EdgeListen listen;
  /// Region of each availability zone; names this host's zone.
  std::map<std::string, std::string, std::less<>> zones;
  /// Hosts that may run; their peers listen on this host's port.
  std::vector<base::IpAddress> seeds;
  base::Endpoint store;
  EdgeBounds bounds;
  /// Bandwidth of this host's link, in Mbit/s.
  std::uint32_t link_mbps = 100;
  /// Descriptors that the process may open.
  std::size_t descriptors = 1024;
  logging::Level log_level = logging::Level::kInfo;

  /// Parses and checks; `file` names the text in faults. Throws jsonc::FaultError with all faults.
  static EdgeSettings Parse(std::string_view text, std::string_view file);
  /// Reads the file at `path`. Throws base::Error when it cannot be read, else as Parse does.
  static EdgeSettings ReadFile(const std::string& path);

  bool operator==(const EdgeSettings&) const = default;
};

}  // namespace mangonotch::settings
