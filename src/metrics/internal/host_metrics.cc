// Implementation of metrics::HostMetrics.
#include "metrics/host_metrics.h"

#include <array>

namespace mangonotch::metrics {
namespace {

// From a fast response within one zone (1 ms) to the longest request deadline in use (60 s).
constexpr std::array kLatencyBoundsS = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
                                        0.5,   1.0,   2.0,   5.0,  10.0, 20.0, 60.0};

}  // namespace

HostMetrics::HostMetrics(Registry& registry)
    : registry_(registry),
      revision_(registry.AddGauge("mangonotch_table_revision",
                                  "Revision of the operators' table in force on this host.")),
      members_(registry.AddGauge("mangonotch_members",
                                 "Live entry hosts that this host knows, including itself.")) {}

ServiceMetrics& HostMetrics::ForService(std::string_view service, base::WorkClass work_class) {
  const std::scoped_lock lock(mutex_);
  const auto key = std::pair(std::string{service}, work_class);
  const auto it = services_.find(key);
  if (it != services_.end()) {
    return it->second;
  }
  const std::string_view class_name = work_class == base::WorkClass::kLong ? "long" : "short";
  const auto gauge = [&](std::string_view name, std::string_view help) {
    return registry_.AddGauge(name, help, {{"service", service}, {"class", class_name}});
  };
  ServiceMetrics metrics{
      gauge("mangonotch_slots_held", "Slots granted to this host."),
      gauge("mangonotch_slots_in_use", "Slots with a request in flight."),
      gauge("mangonotch_queue_length", "Requests waiting for a slot."),
      registry_.AddHistogram("mangonotch_request_seconds",
                             "Time from a request's arrival to its complete response.",
                             kLatencyBoundsS, {{"service", service}, {"class", class_name}})};
  return services_.emplace(key, metrics).first->second;
}

}  // namespace mangonotch::metrics
