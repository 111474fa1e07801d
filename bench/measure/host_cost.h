// What the entry hosts of a deployment and the store have used so far, and the use between two such
// readings.
#pragma once

#include <string>

#include "base/instant.h"
#include "tests/support/deployment.h"

namespace mangonotch::bench {

/// Sums over all entry hosts, but for what is said to be of one.
struct Reading {
  base::Instant time;
  double cpu_s = 0;
  double coordinator_cpu_s = 0;  // Of the first coordinator found, as its bytes below.
  double resident_mb = 0;
  double max_resident_mb = 0;
  double messages = 0;
  double bytes = 0;
  double coordinator_bytes = 0;
  double store_reads = 0;  // Watches count as one read each.
  double store_writes = 0;
};

Reading ReadCosts(support::Deployment& deployment);

/// Rates for one host; those of the store are for the whole deployment.
struct Cost {
  double cpu_percent = 0;              // Of one core, mean of the hosts.
  double coordinator_cpu_percent = 0;  // Of one core.
  double resident_mb = 0;
  double max_resident_mb = 0;
  double messages_per_s = 0;  // In and out.
  double bytes_per_s = 0;     // In and out.
  double coordinator_bytes_per_s = 0;
  double store_reads_per_s = 0;
  double store_writes_per_s = 0;
};

Cost Between(const Reading& from, const Reading& to, std::size_t hosts);

}  // namespace mangonotch::bench
