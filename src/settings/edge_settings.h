// The settings file of an entry host on the platform. Settings that operators change at run time
// come from the platform's store instead.
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
  /// Serves lookups: callers query which hosts to connect to.
  base::Endpoint lookup;
  /// Used by other hosts, over UDP and TCP.
  base::Endpoint peers;
  base::Endpoint metrics;

  bool operator==(const EdgeListen&) const = default;
};

/// Limits on retries, on the time to stop and on the caching of lookup responses, the pace at which
/// targets report, and the terms of tenants' limits.
struct EdgeBounds {
  /// Retries that a service may use per request, averaged over `retry_window`.
  double retry_ratio = 0.1;
  base::Duration retry_window = base::Duration::Seconds(10);
  /// Retries allowed beyond that ratio, summed over all hosts.
  std::uint32_t retry_allowance = 10;
  /// Time from SIGTERM until the platform kills the process.
  base::Duration stop_time = base::Duration::Seconds(6);
  /// Longest time that callers may cache a lookup response.
  base::Duration lookup_ttl = base::Duration::Seconds(5);
  /// Interval at which targets renew their entries in the store. An entry expires after three
  /// intervals without a renewal.
  base::Duration target_heartbeat = base::Duration::Milliseconds(1500);
  /// How tenants' limits are measured; see quota::Terms.
  base::Duration quota_window{};
  double quota_overage = 0;
  double quota_slack = 0;

  bool operator==(const EdgeBounds&) const = default;
};

struct EdgeSettings {
  base::HostId host;
  std::string region;
  std::string zone;
  EdgeListen listen;
  /// Region of each availability zone, this host's zone included.
  std::map<std::string, std::string, std::less<>> zones;
  /// Addresses of hosts that may be running; all use the same peer port as this host.
  std::vector<base::IpAddress> seeds;
  base::Endpoint store;
  EdgeBounds bounds;
  /// Bandwidth of this host's link, in Mbit/s.
  std::uint32_t link_mbps = 100;
  /// Memory of this host's machine, in MiB; 0 when it is not known.
  std::size_t memory_mb = 0;
  /// All hosts of the deployment start together for the first time, well before callers come.
  bool is_first_start = false;
  /// File descriptors that the process may open.
  std::size_t descriptors = 1024;
  logging::Level log_level = logging::Level::kInfo;

  /// Parses and validates `text`; faults name it `file`. Throws jsonc::FaultError with all faults.
  static EdgeSettings Parse(std::string_view text, std::string_view file);
  /// Reads the file at `path`. Throws base::Error when it cannot be read, and what Parse throws.
  static EdgeSettings ReadFile(const std::string& path);

  bool operator==(const EdgeSettings&) const = default;
};

}  // namespace mangonotch::settings
