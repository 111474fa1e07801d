// Changes of the catalog as hosts send them to each other.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/instant.h"
#include "catalog/catalog.h"
#include "catalog/store_position.h"

namespace mangonotch::discovery {

using catalog::StorePosition;
using catalog::StoreRevision;

struct TargetChange {
  catalog::Target target;
  StoreRevision revision = 0;
  /// The target had reported this before its entry was removed, and is live all the same: the store
  /// has listed it longer than it keeps an entry that is not renewed.
  bool is_confirmed = false;
};

struct TargetRemoval {
  std::string id;
  StoreRevision revision = 0;
  /// Of the last report that is known of the target.
  catalog::ReportPosition last_report{};
  /// The target has left: it does not come back in its incarnation.
  bool was_draining = false;
  /// By the clock of the process that holds the record.
  base::Instant forget_at{};
};

/// Catalog changes that a host sends to hosts that do not watch the store.
struct CatalogChanges {
  /// Sequence number of the sender's catalog with these changes applied.
  std::uint64_t sequence = 0;
  /// `targets` lists all targets of the sender; targets missing from it were removed at or before
  /// `targets_revision`.
  bool is_full = false;
  StoreRevision targets_revision = 0;
  std::vector<TargetChange> targets{};
  /// If `is_full`, those that the sender has not forgotten.
  std::vector<TargetRemoval> removals{};
  /// Revision of the operator records: the configuration and the zone evacuations.
  StoreRevision operator_revision = 0;
  /// Null if the sender has no configuration or its operator records have not changed.
  std::shared_ptr<const catalog::Configuration> configuration{};
  /// Ignored without a configuration. Without those that are kept in force after a restore: each
  /// host keeps them itself.
  std::vector<std::string> evacuated_zones{};
  /// Newest changes that the sender has applied.
  StorePosition newest{};
};

}  // namespace mangonotch::discovery
