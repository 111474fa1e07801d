// One table revision indexed for decisions: lookups by name and key, client blocks, and the region
// preferences of each home region. Built once per revision, immutable afterwards.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/types.h"
#include "base/ids.h"
#include "table/request_classifier.h"
#include "table/table.h"
#include "topology/client_map.h"

namespace mangonotch::control {

/// A target's location, address and slots, used to connect to it and to explain decisions.
struct TargetPlace {
  base::ServiceIndex service;
  base::RegionIndex region;
  base::ZoneIndex zone;
  std::string address;
  /// Slots of each class after the service's split.
  std::uint16_t short_slots = 0;
  std::uint16_t long_slots = 0;
};

/// A region's cap on moved work is split into two fixed halves, so that the cap holds without
/// coordination between them: one for slots granted to hosts of other regions, one for callers of
/// other regions that connect to the region's own hosts.
inline constexpr double kMovedHalf = 0.5;

/// Slots for callers of other regions that connect to a region's own hosts. The coordinator grants
/// them like the slots of a target, under a separate service, so the same deadlines, recovery and
/// limit over all hosts apply.
struct MovedPlaces {
  base::TargetKey target;
  base::ServiceKey service;
};

class SteeringTable {
 public:
  /// `table` must have passed validation; `text` is its serialized form, which peers pull.
  SteeringTable(table::Table table, std::string text);

  const table::Table& table() const { return *table_; }
  const std::shared_ptr<const table::Table>& shared_table() const { return table_; }
  const std::string& text() const { return text_; }
  base::Revision revision() const { return table_->revision; }

  std::optional<base::ServiceIndex> FindService(std::string_view name) const;
  std::optional<base::RegionIndex> FindRegion(std::string_view name) const;
  std::optional<base::ZoneIndex> FindZone(std::string_view name) const;
  const TargetPlace* FindTarget(base::TargetKey key) const;
  const table::Service& ServiceAt(base::ServiceIndex service) const {
    return table_->services[service.value];
  }
  /// Targets of a service with a weight above 0 in zones and regions with a weight above 0.
  std::span<const admission::Target> TargetsOf(base::ServiceIndex service) const {
    return targets_[service.value];
  }
  /// Regions that may serve a caller of region `home`, in the form that the gate expects. A home
  /// region with the highest weight keeps all its work; a lower weight moves the difference to the
  /// other regions in proportion to their weights.
  std::span<const admission::RegionPreference> PreferencesOf(base::ServiceIndex service,
                                                             base::RegionIndex home) const {
    return preferences_[service.value][home.value];
  }
  std::span<const std::uint32_t> DistancesFrom(base::RegionIndex region) const {
    return table_->regions[region.value].distance_ms;
  }
  /// Keys of a service's slots for moved work; the same in every region.
  MovedPlaces MovedPlacesOf(base::ServiceIndex service) const {
    return moved_places_[service.value];
  }
  /// The service whose slots for moved work have the key `target`, if any.
  std::optional<base::ServiceIndex> FindMovedPlaces(base::TargetKey target) const;
  const table::RequestClassifier& classifier() const { return classifier_; }
  const topology::ClientMap& clients() const { return clients_; }
  std::span<const base::TargetKey> target_keys() const { return target_keys_; }

 private:
  void PrepareTargets(const table::Service& service);
  void PreparePreferences(const table::Service& service);

  std::shared_ptr<const table::Table> table_;  // Never null.
  std::string text_;
  table::RequestClassifier classifier_;
  topology::ClientMap clients_;
  std::vector<std::vector<admission::Target>> targets_;
  /// By service, then home region.
  std::vector<std::vector<std::vector<admission::RegionPreference>>> preferences_;
  std::unordered_map<std::uint64_t, TargetPlace> places_;
  std::vector<base::TargetKey> target_keys_;
  std::vector<MovedPlaces> moved_places_;  // By service.
};

using SteeringTablePtr = std::shared_ptr<const SteeringTable>;

}  // namespace mangonotch::control
