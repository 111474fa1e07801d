// Positions in the history of the store, by which hosts compare what they know.
#pragma once

#include <algorithm>
#include <cstdint>

namespace mangonotch::catalog {

/// Revision of the store at which a record was read; increases with every write to the store.
using StoreRevision = std::uint64_t;

/// A revision for each of the two kinds of records, which are watched separately.
struct StorePosition {
  /// The operators' records: the configuration and the zone evacuations.
  StoreRevision operator_records = 0;
  StoreRevision targets = 0;

  bool operator==(const StorePosition&) const = default;
};

/// Whether a host that has applied all changes up to `applied` lacks the change at `newest`.
constexpr bool IsBehind(const StorePosition& applied, const StorePosition& newest) {
  return applied.operator_records < newest.operator_records || applied.targets < newest.targets;
}

/// The higher revision of both, for each kind of records.
constexpr StorePosition Latest(const StorePosition& a, const StorePosition& b) {
  return {.operator_records = std::max(a.operator_records, b.operator_records),
          .targets = std::max(a.targets, b.targets)};
}

/// The lower revision of both, for each kind of records.
constexpr StorePosition Earliest(const StorePosition& a, const StorePosition& b) {
  return {.operator_records = std::min(a.operator_records, b.operator_records),
          .targets = std::min(a.targets, b.targets)};
}

}  // namespace mangonotch::catalog
