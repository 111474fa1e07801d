// Registry: the operators' records, which are the configuration and the zone evacuations.
#include <algorithm>
#include <set>
#include <utility>

#include "discovery/registry.h"

namespace mangonotch::discovery {

void Registry::PutConfiguration(std::shared_ptr<const catalog::Configuration> configuration,
                                StoreRevision revision) {
  AdvanceOperatorRecords(revision);
  AdvanceNewest({.operator_records = revision});
  ApplyConfiguration(std::move(configuration));
}

void Registry::ApplyConfiguration(std::shared_ptr<const catalog::Configuration> configuration) {
  const bool is_newer =
      configuration && (!configuration_ || configuration->version > configuration_->version);
  if (!is_newer) return;
  configuration_ = std::move(configuration);
  AdvanceNewest({.configuration_version = configuration_->version});
  operator_sequence_ = ++sequence_;
}

void Registry::PutEvacuation(std::string_view zone, bool is_evacuated, StoreRevision revision,
                             base::Instant now) {
  // Not `<=`: records that were written together have the same revision.
  if (revision < operator_revision_) return;
  AdvanceOperatorRecords(revision);
  AdvanceNewest({.operator_records = revision});
  SetEvacuated(zone, is_evacuated, now);
}

void Registry::AdvanceOperatorRecords(StoreRevision revision) {
  operator_revision_ = std::max(operator_revision_, revision);
}

void Registry::ReplaceOperatorRecords(std::shared_ptr<const catalog::Configuration> configuration,
                                      std::span<const std::string> evacuated_zones,
                                      StoreRevision revision, base::Instant now) {
  if (revision < operator_revision_) return;
  if (catalog::IsNewEra(operator_revision_, revision)) {
    outage_.OnRestored(now);
    KeepEvacuations(evacuated_zones, now);
  }
  AdvanceOperatorRecords(revision);
  AdvanceNewest({.operator_records = catalog::StartOfEra(revision)});
  ApplyConfiguration(std::move(configuration));
  const std::set<std::string, std::less<>> next(evacuated_zones.begin(), evacuated_zones.end());
  for (const std::string& it : std::vector(evacuated_zones_.begin(), evacuated_zones_.end())) {
    if (!next.contains(it) && !kept_evacuations_.contains(it)) SetEvacuated(it, false, now);
  }
  for (const std::string& it : next) SetEvacuated(it, true, now);
}

void Registry::KeepEvacuations(std::span<const std::string> listed, base::Instant now) {
  // Sent on also if nothing else changes: each host has to learn that the store lacks them.
  operator_sequence_ = ++sequence_;
  for (const std::string& it : evacuated_zones_) {
    const bool is_listed = std::find(listed.begin(), listed.end(), it) != listed.end();
    if (!is_listed) kept_evacuations_.insert_or_assign(it, outage_.recovery_end().value_or(now));
  }
}

void Registry::SetEvacuated(std::string_view zone, bool is_evacuated, base::Instant now) {
  const auto kept = kept_evacuations_.find(zone);
  const bool was_kept = kept != kept_evacuations_.end();
  if (was_kept) kept_evacuations_.erase(kept);
  const bool was_evacuated = evacuated_zones_.contains(zone);
  if (was_evacuated == is_evacuated && !was_kept) return;
  operator_sequence_ = ++sequence_;
  if (is_evacuated) {
    evacuated_zones_.emplace(zone);
    return;
  }
  evacuated_zones_.erase(evacuated_zones_.find(zone));
  // Targets that received no requests during the evacuation may have become cold and report it only
  // later.
  for (auto& [id, entry] : targets_) {
    if (entry.target.zone != zone) continue;
    const base::Instant cold_until = now + ColdTimeOf(entry.target.service);
    entry.target.cold_until = std::max(entry.target.cold_until, cold_until);
    entry.sequence = ++sequence_;
  }
}

base::Duration Registry::ColdTimeOf(std::string_view service) const {
  if (!configuration_) return {};
  for (const catalog::Service& it : configuration_->services) {
    if (it.name == service) return it.cold_time;
  }
  return {};
}

base::Instant Registry::ExpireEvacuations(base::Instant now) {
  base::Instant next = base::Instant::Never();
  std::vector<std::string> expired;
  for (const auto& [zone, keep_until] : kept_evacuations_) {
    if (keep_until <= now) {
      expired.push_back(zone);
    } else {
      next = std::min(next, keep_until);
    }
  }
  for (const std::string& it : expired) SetEvacuated(it, false, now);
  return next;
}

}  // namespace mangonotch::discovery
