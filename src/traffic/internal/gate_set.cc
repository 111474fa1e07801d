// Implementation of traffic::GateSet.
#include "traffic/gate_set.h"

#include "table/capacity.h"

namespace mangonotch::traffic {

std::shared_ptr<ServiceGate> GateSet::Find(base::ServiceKey service) const {
  const std::lock_guard lock(mutex_);
  const auto it = gates_.find(service.value);
  return it == gates_.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<ServiceGate>> GateSet::All() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<ServiceGate>> out;
  for (const auto& [key, gate] : gates_) out.push_back(gate);
  return out;
}

void GateSet::Configure(const control::SteeringTable& table) {
  for (std::uint32_t i = 0; i < table.table().services.size(); ++i) {
    const table::Service& service = table.table().services[i];
    std::shared_ptr<ServiceGate> gate = Find(service.key);
    if (!gate) {
      ServiceGate::Gate::Settings settings;
      settings.queue_capacity = {service.queue_limit, service.queue_limit};
      settings.seed = service.key.value;
      gate = std::make_shared<ServiceGate>(settings);
      const std::lock_guard lock(mutex_);
      gates_[service.key.value] = gate;
    }
    gate->Update([&](auto& it, base::Instant now) {
      it.SetTargets(table.TargetsOf(base::ServiceIndex{i}), now);
    });
  }
}

void GateSet::SetGrants(const control::SteeringTable& table,
                        std::span<const shares::Grant> grants) {
  std::unordered_map<std::uint32_t, std::vector<admission::Grant>> by_service;
  for (const shares::Grant& it : grants) {
    if (const auto service = table.FindMovedPlaces(it.target)) SetMovedPlaces(table, *service, it);
    const control::TargetPlace* place = table.FindTarget(it.target);
    if (place == nullptr) continue;
    by_service[place->service.value].push_back({.target = it.target,
                                                .work_class = it.work_class,
                                                .slots = it.slots,
                                                .deadline = it.deadline});
  }
  for (const auto& entry : by_service) {
    const auto gate = Find(table.ServiceAt(base::ServiceIndex{entry.first}).key);
    if (gate) gate->Update([&](auto& it, base::Instant now) { it.SetGrants(entry.second, now); });
  }
}

void GateSet::SetMovedPlaces(const control::SteeringTable& table, base::ServiceIndex index,
                             const shares::Grant& grant) {
  const table::Service& service = table.ServiceAt(index);
  const auto gate = Find(service.key);
  const auto own_region = table.FindRegion(region_);
  if (!gate || !own_region) return;
  const table::ServiceRegion* it = table::FindServiceRegion(service, *own_region);
  if (it == nullptr) return;
  gate->SetMovedPlaces(grant.slots, grant.deadline,
                       {.region_limit = it->limit,
                        .cap_percent = 100,
                        .ramp_points_per_minute =
                            control::kMovedHalf * it->moved_in_ramp_percent_per_minute / hosts_});
}

void GateSet::SetLeaving(const control::SteeringTable& table, base::TargetKey target,
                         bool leaving) {
  const control::TargetPlace* place = table.FindTarget(target);
  if (place == nullptr) return;
  const auto gate = Find(table.ServiceAt(place->service).key);
  if (!gate) return;
  gate->Update([&](auto& it, base::Instant now) {
    if (leaving) {
      it.MarkLeaving(target, now);
    } else {
      it.ClearLeaving(target, now);
    }
  });
}

void GateSet::ReportLoad(const control::SteeringTable& table, base::TargetKey target,
                         std::uint16_t load_per_mille) {
  const control::TargetPlace* place = table.FindTarget(target);
  if (place == nullptr) return;
  const auto gate = Find(table.ServiceAt(place->service).key);
  if (!gate) return;
  gate->Update([&](auto& it, base::Instant now) { it.ReportLoad(target, load_per_mille, now); });
}

control::GateUsage GateSet::Usage(const control::SteeringTable& table) {
  control::GateUsage usage;
  std::uint64_t held = 0;
  std::uint64_t free_slots = 0;
  const auto own_region = table.FindRegion(region_);
  for (const table::Service& service : table.table().services) {
    const auto gate = Find(service.key);
    if (!gate) continue;
    gate->Update([&](auto& it, base::Instant now) {
      for (const admission::SlotUsage& slots : it.Usage(now)) {
        if (slots.in_use > 0) {
          usage.in_use.push_back({slots.target, slots.work_class, slots.in_use});
        }
        if (slots.work_class != base::WorkClass::kShort) continue;
        held += slots.held;
        free_slots += slots.held - slots.in_use;
      }
      for (const auto& region : service.regions) {
        for (const auto work_class : {base::WorkClass::kShort, base::WorkClass::kLong}) {
          const admission::Demand demand = it.DemandFor(work_class, region.region, now);
          const auto wanted = demand.waiting + demand.waiting_as_fallback + demand.headroom;
          if (wanted == 0) continue;
          usage.demand.push_back({.region = region.region,
                                  .service = service.key,
                                  .work_class = work_class,
                                  .wanted = static_cast<std::uint16_t>(wanted)});
        }
      }
    });
    if (!own_region) continue;
    const control::MovedPlaces places = table.MovedPlacesOf(*table.FindService(service.name));
    const ServiceGate::MovedUse moved = gate->moved_use();
    if (moved.in_flight > 0) {
      usage.in_use.push_back({places.target, base::WorkClass::kShort, moved.in_flight});
    }
    if (moved.wanted > 0) {
      usage.demand.push_back({*own_region, places.service, base::WorkClass::kShort, moved.wanted});
    }
  }
  usage.room_per_mille = held == 0 ? 0 : static_cast<std::uint16_t>(free_slots * 1000 / held);
  return usage;
}

void GateSet::Tick() {
  for (const auto& gate : All()) {
    gate->Update([](auto& it, base::Instant now) { it.Tick(now); });
  }
}

}  // namespace mangonotch::traffic
