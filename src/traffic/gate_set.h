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
  /// `region` is this host's own.
  explicit GateSet(std::string region) : region_(std::move(region)) {}

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

  const std::string region_;

  mutable std::mutex mutex_;
  /// By service key; guarded by mutex_. A gate stays when its service leaves the table, as requests
  /// may be in flight.
  std::unordered_map<std::uint64_t, std::shared_ptr<ServiceGate>> gates_;
};

static_assert(control::GatePort<GateSet>);

}  // namespace mangonotch::traffic
