// Counts of the control thread, as metrics, and the state that status pages show.
#pragma once

#include <atomic>
#include <cstdint>

#include "metrics/registry.h"

namespace mangonotch::control {

struct ControlCounters {
  explicit ControlCounters(metrics::Registry& registry);

  metrics::Counter messages_in;
  metrics::Counter messages_out;
  metrics::Counter bytes_in;
  metrics::Counter bytes_out;
  /// Messages from unknown hosts or replaced incarnations.
  metrics::Counter messages_refused;
  metrics::Counter messages_malformed;
  metrics::Counter store_reads;
  metrics::Counter store_writes;
  metrics::Counter store_failures;
  metrics::Counter tables_refused;
  std::atomic<std::uint64_t> revision{0};
  std::atomic<bool> is_coordinator{false};
  /// Slots are granted to this host.
  std::atomic<bool> has_grants{false};
};

}  // namespace mangonotch::control
