// The settings file of one entry host. Everything that the operators change while the system runs
// is in the table instead.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "base/ids.h"
#include "logging/level.h"

namespace mangonotch::settings {

/// Heartbeat intervals grow by 25 ms per member of a region; with 60 hosts they stay at 1.5 s.
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

/// An entry host that is known from the start.
struct Seed {
  base::HostId host;
  std::string region;
  std::string zone;
  std::string callers;
  std::string peers;
  std::string peer_http;

  bool operator==(const Seed&) const = default;
};

/// Bounds on what callers can make the process hold.
struct HostLimits {
  std::size_t connections = 2'000;
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  base::Duration header_time = base::Duration::Seconds(5);
  base::Duration body_time = base::Duration::Seconds(30);
  base::Duration idle_time = base::Duration::Seconds(60);
  std::size_t traffic_threads = 32;
  /// Entries of the ticket register; a full register refuses new tickets.
  std::size_t tickets = 100'000;
  /// Bytes of kept answers in the ticket register.
  std::size_t ticket_bytes = std::size_t{32} * 1024 * 1024;

  bool operator==(const HostLimits&) const = default;
};

struct HostSettings {
  base::HostId host;
  std::string region;
  std::string zone;
  ListenAddresses listen;
  /// May name this host too; `ReadHostSettings` leaves it out of the list.
  std::vector<Seed> seeds;
  std::string store;
  std::string host_list;
  /// HTTP path of the host list, with a leading slash.
  std::string host_list_path;
  HostLimits limits;
  logging::Level log_level = logging::Level::kInfo;

  /// Parses and checks; `file` names the text in faults. Throws jsonc::FaultError with all faults.
  static HostSettings Parse(std::string_view text, std::string_view file);
  /// Reads the file at `path`. Throws base::Error when it cannot be read, else as Parse does.
  static HostSettings ReadFile(const std::string& path);

  bool operator==(const HostSettings&) const = default;
};

}  // namespace mangonotch::settings
