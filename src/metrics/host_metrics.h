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

/// Metrics of one service and class.
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

  /// Metrics of a service and class, made on first use; safe from every thread, and the reference
  /// stays valid. Look it up once and keep it. Those of a service that leaves the table stay: set
  /// their gauges to 0.
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
