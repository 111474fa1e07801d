// What an edit changes, in the words of the table file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "table/table.h"

namespace mangonotch::table {

enum class Change : std::uint8_t { kAdded, kRemoved, kChanged };

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
  /// Which one: "service tila, region uusimaa".
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

/// Changes from one table to another, in the order of the file. Revision, author, time, edit
/// identifier and history are no changes; neither is the order of entries.
std::vector<DiffEntry> Diff(const Table& before, const Table& after);

}  // namespace mangonotch::table
