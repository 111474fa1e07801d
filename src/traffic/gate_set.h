// The gates of all services, and what the control thread does to them.
#pragma once

#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "control/gate_port.h"
#include "control/steering_table.h"
#include "shares/holdings.h"
#include "traffic/service_gate.h"

namespace mangonotch::traffic {

class GateSet {
 public:
  /// `region` is this host's own; `hosts` of it share the ramp of moved work.
  GateSet(std::string region, std::uint32_t hosts) : region_(std::move(region)), hosts_(hosts) {}

  /// Null for a service that no table revision has named yet.
  std::shared_ptr<ServiceGate> Find(base::ServiceKey service) const;

  // What control::GatePort asks for.
  void Configure(const control::SteeringTable& table);
  void SetGrants(const control::SteeringTable& table, std::span<const shares::Grant> grants);
  void SetLeaving(const control::SteeringTable& table, base::TargetKey target, bool leaving);
  void ReportLoad(const control::SteeringTable& table, base::TargetKey target,
                  std::uint16_t load_per_mille);
  control::GateUsage Usage(const control::SteeringTable& table);
  void Tick();

 private:
  std::vector<std::shared_ptr<ServiceGate>> All() const;
  void SetMovedPlaces(const control::SteeringTable& table, base::ServiceIndex index,
                      const shares::Grant& grant);

  const std::string region_;
  const std::uint32_t hosts_;

  mutable std::mutex mutex_;
  /// By service key; guarded by mutex_. A gate stays when its service leaves the table, as requests
  /// may be in flight.
  std::unordered_map<std::uint64_t, std::shared_ptr<ServiceGate>> gates_;
};

static_assert(control::GatePort<GateSet>);

}  // namespace mangonotch::traffic
