// Immutable snapshot of the configuration and the known targets, which the control thread passes to
// the traffic thread.
#pragma once

#include <array>
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
#include "catalog/report_position.h"

namespace mangonotch::catalog {

/// A service that receives a share of a route's requests in proportion to its weight.
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
  /// Maximum number of targets that one request may be sent to, including the first.
  std::uint32_t max_attempts = 1;
  /// Request timeout, counted from the request's arrival.
  base::Duration timeout;
  /// Response time up to which an answer has its full value to the caller.
  base::Duration latency_objective;
  /// Lower values are served first; 0 is the highest priority.
  std::uint32_t priority = 0;
  bool has_affinity = false;
  /// Never empty.
  std::vector<WeightedService> services;
  /// Regions whose targets may serve the requests; empty for all regions.
  std::vector<std::string> allowed_regions;
  /// Requests need no key of a tenant.
  bool allows_anonymous = false;

  bool operator==(const Route&) const = default;
};

/// Digest of an API key. Hosts keep and exchange digests only, never the keys.
using KeyDigest = std::array<std::uint8_t, 16>;

/// A customer of the deployment, known by its API keys.
struct Tenant {
  /// Never empty; unique in a configuration.
  std::string name;
  /// Each digest belongs to one tenant only.
  std::vector<KeyDigest> keys;
  /// Compared before the route's priority; 0 is the highest.
  std::uint32_t priority = 0;
  /// Requests per second from all hosts together, averaged; 0 for no limit.
  double rate_limit = 0;
  /// Requests beyond `rate_limit` that may come at once.
  double burst = 0;
  /// As in Route; a request is bound by both.
  std::vector<std::string> allowed_regions;

  bool operator==(const Tenant&) const = default;
};

struct Service {
  std::string name;
  std::string health_path;
  /// Maximum number of connections that one target accepts from all hosts together.
  std::uint32_t max_connections = 0;
  /// Time after its start during which a target counts as cold.
  base::Duration cold_time;
  /// Maximum requests per second for a cold target, from all hosts together; 0 for no limit.
  double cold_rate = 0;

  bool operator==(const Service&) const = default;
};

/// Size and time limits for callers' requests and connections.
struct CallerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  base::Duration header_time = base::Duration::Seconds(5);
  base::Duration idle_time = base::Duration::Seconds(60);

  bool operator==(const CallerLimits&) const = default;
};

struct Configuration {
  /// Increases with each accepted configuration.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  /// Empty if the deployment does not distinguish tenants: requests then need no key.
  std::vector<Tenant> tenants;

  bool operator==(const Configuration&) const = default;
};

/// One incarnation of a target, as its last known report describes it.
struct Target {
  /// Unique among all targets; a restarted target may keep it.
  std::string id;
  std::string service;
  base::Endpoint address;
  std::string zone;
  /// Number of requests that the target processes concurrently.
  std::uint32_t slots = 1;
  bool is_draining = false;
  /// End of the cold period, by the clock of the process that holds the record.
  base::Instant cold_until;
  /// Of the report that this record comes from.
  ReportPosition report;

  bool operator==(const Target&) const = default;
};

struct Catalog {
  /// Null until the first configuration is known.
  std::shared_ptr<const Configuration> configuration;
  std::vector<Target> targets;
  /// Availability zones whose targets receive no new requests.
  std::set<std::string, std::less<>> evacuated_zones;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

}  // namespace mangonotch::catalog
