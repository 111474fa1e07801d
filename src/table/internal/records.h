// A table as a flat list of named records with text fields, for comparing tables.
#pragma once

#include <string>
#include <vector>

#include "table/diff.h"
#include "table/table.h"

namespace mangonotch::table::internal {

struct Field {
  std::string name;
  std::string value;
  std::string unit;

  std::string Text() const { return unit.empty() ? value : value + " " + unit; }
};

struct Record {
  Subject subject = Subject::kTable;
  /// Unique among the records of the same subject in a validated table.
  std::string name;
  std::vector<Field> fields;
};

/// All records, in file order.
std::vector<Record> Flatten(const Table& table);

}  // namespace mangonotch::table::internal
