// Positions in the history of the store, by which hosts compare what they know.
#pragma once

#include <algorithm>
#include <cstdint>

namespace mangonotch::catalog {

/// Position in the store's history at which a record was read; increases with every write to the
/// store. A store that is restored from an older copy begins a new era, in which it gives out
/// revisions again, so the era is compared first.
using StoreRevision = std::uint64_t;

/// Low bits of a StoreRevision that hold the revision within the era; the others hold the era.
inline constexpr unsigned kRevisionBits = 48;
inline constexpr std::uint64_t kMaxEraRevision = (std::uint64_t{1} << kRevisionBits) - 1;
inline constexpr std::uint64_t kMaxEra = ~std::uint64_t{0} >> kRevisionBits;

/// `era` is at most kMaxEra, `revision` at most kMaxEraRevision.
constexpr StoreRevision MakeRevision(std::uint64_t era, std::uint64_t revision) {
  return era << kRevisionBits | revision;
}
constexpr std::uint64_t EraOf(StoreRevision revision) { return revision >> kRevisionBits; }
constexpr std::uint64_t RevisionInEra(StoreRevision revision) { return revision & kMaxEraRevision; }

/// Whether the store has been restored since `known`; 0 if nothing is known.
constexpr bool IsNewEra(StoreRevision known, StoreRevision revision) {
  return known != 0 && EraOf(revision) > EraOf(known);
}

/// The era itself is news to hosts that have not seen it, also if the copy has no records.
constexpr StoreRevision StartOfEra(StoreRevision revision) {
  return MakeRevision(EraOf(revision), 0);
}

/// A revision for each of the two kinds of records, which are watched separately.
struct StorePosition {
  /// The operators' records: the configuration and the zone evacuations.
  StoreRevision operator_records = 0;
  StoreRevision targets = 0;
  /// Version of the configuration. A host that starts after the store was restored reads an older
  /// configuration than the other hosts have, at the same revision.
  std::uint64_t configuration_version = 0;

  bool operator==(const StorePosition&) const = default;
};

/// Whether a host that has applied all changes up to `applied` lacks the change at `newest`.
constexpr bool IsBehind(const StorePosition& applied, const StorePosition& newest) {
  return applied.operator_records < newest.operator_records || applied.targets < newest.targets ||
         applied.configuration_version < newest.configuration_version;
}

/// The higher of both in each field.
constexpr StorePosition Latest(const StorePosition& a, const StorePosition& b) {
  return {.operator_records = std::max(a.operator_records, b.operator_records),
          .targets = std::max(a.targets, b.targets),
          .configuration_version = std::max(a.configuration_version, b.configuration_version)};
}

/// The lower of both in each field.
constexpr StorePosition Earliest(const StorePosition& a, const StorePosition& b) {
  return {.operator_records = std::min(a.operator_records, b.operator_records),
          .targets = std::min(a.targets, b.targets),
          .configuration_version = std::min(a.configuration_version, b.configuration_version)};
}

}  // namespace mangonotch::catalog
