// Engine: updates from the catalog and the other hosts.
#pragma once

#include <unordered_set>

#include "steering/engine.h"

namespace mangonotch::steering {

/// The state of a target that has left the catalog is kept for this time after it last named a
/// limit: the target may return, and the limit then still holds.
inline constexpr base::Duration kLimitRetention = base::Duration::Seconds(60);

template <typename Port, DecisionObserver Observer>
ServiceState& Engine<Port, Observer>::ServiceOf(const std::string& name) {
  return services_.try_emplace(name, name, settings_.retry_limits).first->second;
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::SetRetryLimits(const RetryLimits& limits, base::Instant now) {
  settings_.retry_limits = limits;
  for (auto& [name, service] : services_) service.budget().SetLimits(limits, now);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::ApplyCatalog(catalog::CatalogPtr next, base::Instant now) {
  const catalog::CatalogPtr before = std::exchange(catalog_, std::move(next));
  if (!before || before->configuration != catalog_->configuration) {
    catalog::RouteTable routes{catalog_->configuration};
    routes_ = std::move(routes);
    tenants_ = catalog::TenantTable{catalog_->configuration};
    if (catalog_->configuration) limiter_.SetTenants(catalog_->configuration->tenants);
    wrr_weights_.clear();
  }
  for (auto& [name, service] : services_) service.targets().clear();
  if (catalog_->configuration) {
    for (const catalog::Service& it : catalog_->configuration->services) {
      ServiceOf(it.name).SetColdStart(it.cold_rate, it.cold_time);
    }
  }
  for (auto& [id, target] : targets_) target->SetListed(false);
  for (const catalog::Target& it : catalog_->targets) {
    const auto zone = settings_.zones.find(it.zone);
    const std::string region = zone == settings_.zones.end() ? std::string() : zone->second;
    auto [entry, is_new] = targets_.try_emplace(it.id);
    if (is_new || entry->second->record().service != it.service) {
      entry->second = std::make_shared<TargetState>(it, region);
    } else {
      entry->second->Update(it, region);
    }
    ServiceOf(it.service).targets().push_back(entry->second);
  }
  std::erase_if(targets_, [&](const auto& it) {
    const TargetLimit& limit = it.second->limit();
    const bool is_limited = limit.is_active() && now < limit.last_named_at() + kLimitRetention;
    const bool has_signals = now < it.second->signals().keep_until();
    // Requests in flight are part of the target's load if it returns.
    const bool is_busy = it.second->own_in_flight() > 0;
    return !it.second->is_listed() && !is_limited && !has_signals && !is_busy;
  });
  for (auto& [name, service] : services_) DispatchWaiting(service, now);
}

template <typename Port, DecisionObserver Observer>
void Engine<Port, Observer>::SetPeerLoads(std::span<const PeerLoad> loads, base::Instant now) {
  std::unordered_map<std::uint64_t, std::uint32_t> by_key;
  for (const PeerLoad& it : loads) by_key[it.target_key] += it.in_flight;
  for (auto& [id, target] : targets_) {
    const auto entry = by_key.find(target->key());
    target->SetPeerInFlight(entry == by_key.end() ? 0 : entry->second);
  }
  for (auto& [name, service] : services_) DispatchWaiting(service, now);
}

template <typename Port, DecisionObserver Observer>
std::vector<PeerLoad> Engine<Port, Observer>::OwnLoads() const {
  std::vector<PeerLoad> loads;
  for (const auto& [id, target] : targets_) {
    if (target->own_in_flight() > 0) loads.push_back({target->key(), target->own_in_flight()});
  }
  return loads;
}

template <typename Port, DecisionObserver Observer>
const std::string& Engine<Port, Observer>::PickService(const catalog::Route& route) {
  if (route.services.size() == 1) return route.services.front().service;
  std::vector<double>& current_weights = wrr_weights_[route.name];
  current_weights.resize(route.services.size());
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < current_weights.size(); ++i) {
    current_weights[i] += route.services[i].weight;
    total += route.services[i].weight;
    if (current_weights[i] > current_weights[best]) best = i;
  }
  current_weights[best] -= total;
  return route.services[best].service;
}

}  // namespace mangonotch::steering
