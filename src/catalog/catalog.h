// What the operators have configured and which targets exist, as one immutable snapshot that the
// control thread hands to the traffic thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "base/endpoint.h"
#include "base/instant.h"

namespace mangonotch::catalog {

/// One of the services that share the requests of a route.
struct WeightedService {
  std::string service;
  double weight = 1;

  bool operator==(const WeightedService&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  bool is_idempotent = false;
  /// Targets that one request may be sent to, the first included.
  std::uint32_t max_attempts = 1;
  /// Longest time that a request may be kept waiting.
  base::Duration timeout;
  /// Time within which an answer is fully useful to the caller.
  base::Duration latency_objective;
  /// 0 is served first.
  std::uint32_t priority = 0;
  bool has_affinity = false;
  /// Never empty.
  std::vector<WeightedService> services;
  /// Regions that may run the requests; empty for all.
  std::vector<std::string> allowed_regions;

  bool operator==(const Route&) const = default;
};

struct Service {
  std::string name;
  std::string health_path;
  /// Connections that one target accepts from all hosts together.
  std::uint32_t max_connections = 0;
  /// How long a target is cold after its start.
  base::Duration cold_time;
  /// Requests a second that a cold target bears; 0 for no limit.
  double cold_rate = 0;

  bool operator==(const Service&) const = default;
};

/// Bounds on what callers may send and how long they may take.
struct CallerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  base::Duration header_time = base::Duration::Seconds(5);
  base::Duration idle_time = base::Duration::Seconds(60);

  bool operator==(const CallerLimits&) const = default;
};

struct Configuration {
  /// Grows with each accepted configuration.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;

  bool operator==(const Configuration&) const = default;
};

/// One incarnation of a target.
struct Target {
  /// Unique among all targets; a restarted target may keep it.
  std::string id;
  std::string service;
  base::Endpoint address;
  std::string zone;
  /// Requests that it works on at the same time.
  std::uint32_t slots = 1;
  bool is_draining = false;
  /// End of the cold time, by the clock of the process that holds the record.
  base::Instant cold_until;
  /// Milliseconds of Unix time at which the incarnation started; 0 when unknown.
  std::int64_t started_at_ms = 0;

  bool operator==(const Target&) const = default;
};

struct Catalog {
  /// Null until the first configuration is known.
  std::shared_ptr<const Configuration> configuration;
  std::vector<Target> targets;
  /// Availability zones whose targets get no new work.
  std::set<std::string, std::less<>> evacuated_zones;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

}  // namespace mangonotch::catalog
