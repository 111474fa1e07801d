// Rules by which records become the catalog.
#include "discovery/registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mangonotch::discovery {

void Registry::PutTarget(const catalog::Target& target, StoreRevision revision) {
  const auto [it, is_new] = targets_.try_emplace(target.id);
  Entry& entry = it->second;
  if (!is_new && revision <= entry.revision) return;
  catalog::Target next = target;
  // A later report of the same incarnation may round the cold time differently; the longer holds.
  if (!is_new && entry.target.started_at_ms == target.started_at_ms) {
    next.cold_until = std::max(next.cold_until, entry.target.cold_until);
  }
  has_changed_ = has_changed_ || is_new || !(entry.target == next);
  entry = {.target = std::move(next), .revision = revision};
}

void Registry::RemoveTarget(std::string_view id, StoreRevision revision, base::Instant now) {
  const auto it = targets_.find(id);
  if (it == targets_.end() || revision <= it->second.revision) return;
  const bool is_recovering =
      outage_end_ != base::Instant::Never() && now - outage_end_ < recovery_time_;
  if (is_recovering && !it->second.target.is_draining) {
    it->second.revision = revision;
    it->second.keep_until = outage_end_ + recovery_time_;
    return;
  }
  targets_.erase(it);
  has_changed_ = true;
}

void Registry::PutConfiguration(std::shared_ptr<const catalog::Configuration> configuration,
                                StoreRevision revision) {
  orders_revision_ = std::max(orders_revision_, revision);
  const bool is_newer = configuration && (!configuration_ ||
                                          configuration->version > configuration_->version);
  if (!is_newer) return;
  configuration_ = std::move(configuration);
  has_changed_ = true;
}

void Registry::PutEvacuation(std::string_view zone, bool is_evacuated, StoreRevision revision,
                             base::Instant now) {
  orders_revision_ = std::max(orders_revision_, revision);
  SetEvacuated(zone, is_evacuated, now);
}

base::Duration Registry::ColdTimeOf(std::string_view service) const {
  if (!configuration_) return {};
  for (const catalog::Service& it : configuration_->services) {
    if (it.name == service) return it.cold_time;
  }
  return {};
}

void Registry::SetEvacuated(std::string_view zone, bool is_evacuated, base::Instant now) {
  const bool was_evacuated = evacuated_zones_.contains(zone);
  if (was_evacuated == is_evacuated) return;
  has_changed_ = true;
  if (is_evacuated) {
    evacuated_zones_.emplace(zone);
    return;
  }
  evacuated_zones_.erase(evacuated_zones_.find(zone));
  // Targets that have had no work may have become cold, and say so only later.
  for (auto& [id, entry] : targets_) {
    if (entry.target.zone != zone) continue;
    const base::Instant cold_until = now + ColdTimeOf(entry.target.service);
    entry.target.cold_until = std::max(entry.target.cold_until, cold_until);
  }
}

void Registry::AdvanceTargets(StoreRevision revision) {
  targets_revision_ = std::max(targets_revision_, revision);
}

void Registry::AdvanceOrders(StoreRevision revision) {
  orders_revision_ = std::max(orders_revision_, revision);
}

void Registry::ReplaceTargets(std::span<const catalog::Target> targets, StoreRevision revision,
                              bool is_after_outage, base::Instant now) {
  if (revision < targets_revision_) return;
  std::set<std::string_view> listed;
  for (const catalog::Target& it : targets) {
    listed.insert(it.id);
    PutTarget(it, revision);
    targets_.find(it.id)->second.keep_until = base::Instant::Never();
  }
  for (auto it = targets_.begin(); it != targets_.end();) {
    Entry& entry = it->second;
    if (listed.contains(it->first) || entry.revision > revision) {
      ++it;
    } else if (is_after_outage && !entry.target.is_draining) {
      if (entry.keep_until == base::Instant::Never()) entry.keep_until = now + recovery_time_;
      ++it;
    } else {
      it = targets_.erase(it);
      has_changed_ = true;
    }
  }
  AdvanceTargets(revision);
}

void Registry::ReplaceOrders(std::shared_ptr<const catalog::Configuration> configuration,
                             std::span<const std::string> evacuated_zones, StoreRevision revision,
                             base::Instant now) {
  if (revision < orders_revision_) return;
  PutConfiguration(std::move(configuration), revision);
  const std::set<std::string, std::less<>> next(evacuated_zones.begin(), evacuated_zones.end());
  for (const std::string& it : std::vector(evacuated_zones_.begin(), evacuated_zones_.end())) {
    if (!next.contains(it)) SetEvacuated(it, false, now);
  }
  for (const std::string& it : next) SetEvacuated(it, true, now);
}

bool Registry::Merge(const CatalogCopy& copy, base::Instant now) {
  bool is_newer = false;
  if (copy.orders_revision > orders_revision_) {
    const auto& zones = copy.catalog.evacuated_zones;
    const std::vector<std::string> evacuated(zones.begin(), zones.end());
    ReplaceOrders(copy.catalog.configuration, evacuated, copy.orders_revision, now);
    is_newer = true;
  }
  if (copy.targets_revision > targets_revision_) {
    ReplaceTargets(copy.catalog.targets, copy.targets_revision, false, now);
    is_newer = true;
  }
  return is_newer;
}

CatalogCopy Registry::Copy() const {
  CatalogCopy copy{.targets_revision = targets_revision_, .orders_revision = orders_revision_};
  copy.catalog.configuration = configuration_;
  copy.catalog.evacuated_zones = evacuated_zones_;
  copy.catalog.targets.reserve(targets_.size());
  for (const auto& [id, entry] : targets_) copy.catalog.targets.push_back(entry.target);
  return copy;
}

base::Instant Registry::Expire(base::Instant now) {
  base::Instant next = base::Instant::Never();
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (it->second.keep_until <= now) {
      it = targets_.erase(it);
      has_changed_ = true;
      continue;
    }
    next = std::min(next, it->second.keep_until);
    ++it;
  }
  return next;
}

catalog::CatalogPtr Registry::TakeChange() {
  if (!std::exchange(has_changed_, false)) return nullptr;
  return std::make_shared<const catalog::Catalog>(Copy().catalog);
}

}  // namespace mangonotch::discovery
