// Order of the reports that a target makes of itself to the store. The store may carry a report out
// late, or list it again from an older copy, so that the store's revisions do not give that order.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace mangonotch::catalog {

/// Position of a report among all reports under one target id.
struct ReportPosition {
  /// Start of the incarnation in milliseconds of Unix time; 0 when unknown.
  std::int64_t started_at_ms = 0;
  /// Increases with each report of the incarnation, and starts anew with the next one; nullopt when
  /// unknown.
  std::optional<std::uint64_t> sequence;

  bool operator==(const ReportPosition&) const = default;
};

/// False if an incarnation is not known.
constexpr bool IsSameIncarnation(const ReportPosition& a, const ReportPosition& b) {
  return a.started_at_ms != 0 && a.started_at_ms == b.started_at_ms;
}

/// Whether the target has made `a` before, as or after `b`; unordered if that is not known.
constexpr std::partial_ordering Compare(const ReportPosition& a, const ReportPosition& b) {
  if (a.started_at_ms == 0 || b.started_at_ms == 0) return std::partial_ordering::unordered;
  if (a.started_at_ms != b.started_at_ms) return a.started_at_ms <=> b.started_at_ms;
  if (!a.sequence || !b.sequence) return std::partial_ordering::unordered;
  return *a.sequence <=> *b.sequence;
}

}  // namespace mangonotch::catalog
