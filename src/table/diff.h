// The differences between two tables, described with the terms of the table file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "table/table.h"

namespace mangonotch::table {

enum class Change : std::uint8_t { kAdded, kRemoved, kChanged };

/// The kind of record that an entry is about.
enum class Subject : std::uint8_t {
  kTable,
  kRegion,
  kZone,
  kLink,
  kClientBlock,
  kService,
  kRoute,
  kServiceRegion,
  kServiceZone,
  kTarget,
};

struct DiffEntry {
  Change change = Change::kChanged;
  Subject subject = Subject::kTable;
  /// Identifies the record, such as "service tila, region uusimaa".
  std::string name;
  /// The field that changed, with its unit; empty when the whole subject was added or removed.
  std::string field;
  /// Old and new value; for a subject that was added or removed, all its fields.
  std::string before;
  std::string after;

  bool operator==(const DiffEntry&) const = default;
  /// "service tila, region uusimaa: weight 100 -> 80"
  std::string Text() const;
};

/// Changes from one table to another: removed records first, then added and changed ones, each in
/// file order. Ignores revision, author, time, edit identifier, history and the order of entries.
std::vector<DiffEntry> Diff(const Table& before, const Table& after);

}  // namespace mangonotch::table
