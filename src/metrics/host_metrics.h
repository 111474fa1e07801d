// The metrics of an entry host that do not depend on other modules' enumerations.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "base/duration.h"
#include "base/ids.h"
#include "metrics/registry.h"

namespace mangonotch::metrics {

/// Metrics of one service and work class.
struct ServiceMetrics {
  Gauge slots_held;
  Gauge slots_in_use;
  Gauge queue_length;
  Histogram latency;

  void ObserveLatency(base::Duration elapsed) { latency.Observe(elapsed.seconds()); }
};

class HostMetrics {
 public:
  /// `registry` must outlive this object.
  explicit HostMetrics(Registry& registry);

  /// Returns the metrics of a service and class, created on first use. Thread-safe; the reference
  /// stays valid, so callers can store it. The metrics of a service that is removed from the table
  /// remain: set their gauges to 0.
  ServiceMetrics& ForService(std::string_view service, base::WorkClass work_class);

  Gauge& revision() { return revision_; }
  Gauge& members() { return members_; }

 private:
  Registry& registry_;
  Gauge revision_;
  Gauge members_;
  std::mutex mutex_;
  std::map<std::pair<std::string, base::WorkClass>, ServiceMetrics> services_;
};

}  // namespace mangonotch::metrics
