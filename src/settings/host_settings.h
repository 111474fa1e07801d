// The settings file of one entry host. Settings that the operators change at run time are in the
// table instead.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "base/ids.h"
#include "logging/level.h"

namespace mangonotch::settings {

/// Heartbeat intervals grow by 25 ms per host of a region, so this limit keeps them within 1.5 s.
inline constexpr std::size_t kMaxHostsPerRegion = 60;

/// Addresses that this process binds, as ip:port.
struct ListenAddresses {
  std::string callers;
  /// Used for UDP and for TCP.
  std::string peers;
  std::string peer_http;
  std::string metrics;
  std::string admin;

  bool operator==(const ListenAddresses&) const = default;
};

/// Another entry host that this host knows when it starts.
struct Seed {
  base::HostId host;
  std::string region;
  std::string zone;
  std::string callers;
  std::string peers;
  std::string peer_http;

  bool operator==(const Seed&) const = default;
};

/// Limits on the resources that callers can occupy in the process.
struct HostLimits {
  std::size_t connections = 2'000;
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  base::Duration header_time = base::Duration::Seconds(5);
  base::Duration body_time = base::Duration::Seconds(30);
  base::Duration idle_time = base::Duration::Seconds(60);
  std::size_t traffic_threads = 32;
  /// Maximum number of entries in the ticket register; a full register refuses new tickets.
  std::size_t tickets = 100'000;
  /// Maximum total size of the responses stored in the ticket register.
  std::size_t ticket_bytes = std::size_t{32} * 1024 * 1024;

  bool operator==(const HostLimits&) const = default;
};

struct HostSettings {
  base::HostId host;
  std::string region;
  std::string zone;
  ListenAddresses listen;
  /// The other hosts. The file may list this host too; Parse leaves it out.
  std::vector<Seed> seeds;
  std::string store;
  std::string host_list;
  /// HTTP path of the host list, with a leading slash.
  std::string host_list_path;
  HostLimits limits;
  logging::Level log_level = logging::Level::kInfo;

  /// Parses and validates `text`; faults name it `file`. Throws jsonc::FaultError with all faults.
  static HostSettings Parse(std::string_view text, std::string_view file);
  /// Reads the file at `path`. Throws base::Error when it cannot be read, and what Parse throws.
  static HostSettings ReadFile(const std::string& path);

  bool operator==(const HostSettings&) const = default;
};

}  // namespace mangonotch::settings
